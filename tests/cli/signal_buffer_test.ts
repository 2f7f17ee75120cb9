import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {test} from 'node:test';
import {bufferSignals} from '../../src/cli/signal_buffer.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';

test('a signal during the start of a process is neither lost nor fatal', () => {
  // Guards against a process that ends during its start on a SIGHUP for changed
  // settings, because no signal handler exists until all modules are loaded.
  const source = new EventEmitter();
  const handled: string[] = [];
  const buffer = bufferSignals(source, createVirtualClock());
  source.emit('SIGHUP');
  source.emit('SIGTERM');
  assert.equal(handled.length, 0);
  buffer.forwardTo({
    SIGTERM: () => handled.push('SIGTERM'),
    SIGINT: () => handled.push('SIGINT'),
    SIGHUP: () => handled.push('SIGHUP'),
  });
  assert.deepEqual(handled, ['SIGHUP', 'SIGTERM']);
  source.emit('SIGINT');
  assert.deepEqual(handled, ['SIGHUP', 'SIGTERM', 'SIGINT']);
});

test('a signal during the start of a process counts from when it was received', () => {
  // Guards against a process that takes its whole grace after a slow start, and is killed.
  const source = new EventEmitter();
  const clock = createVirtualClock(100);
  const buffer = bufferSignals(source, clock);
  source.emit('SIGTERM');
  clock.advanceSync(800);
  const waited: number[] = [];
  const SIGTERM = (waitedMs: number) => waited.push(waitedMs);
  buffer.forwardTo({SIGTERM, SIGINT: SIGTERM, SIGHUP: SIGTERM});
  source.emit('SIGINT');
  assert.deepEqual(waited, [800, 0]);
});

test('a signal during the load of modules counts from its earliest arrival', () => {
  // Guards against requests that begin too late in the grace of a process whose
  // loop was blocked when the signal arrived.
  const source = new EventEmitter();
  const clock = createVirtualClock();
  const buffer = bufferSignals(source, clock);
  clock.advanceSync(250);
  clock.standStill(700);
  clock.advanceSync(0);
  source.emit('SIGTERM');
  const waited: number[] = [];
  const note = (waitedMs: number) => waited.push(waitedMs);
  buffer.forwardTo({SIGTERM: note, SIGINT: note, SIGHUP: note});
  assert.ok(waited[0] >= 700 && waited[0] <= 800, String(waited[0]));
  assert.equal(clock.pendingCount(), 0);
});
