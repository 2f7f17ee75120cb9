import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {test} from 'node:test';
import {catchSignals} from '../../src/cli/early_signals.js';
import {
  bufferSignals,
  type SignalHandlers,
} from '../../src/cli/signal_buffer.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';

function handleEach(
  handle: (signal: string, waitedMs: number) => void,
): SignalHandlers {
  return {
    SIGTERM: waitedMs => handle('SIGTERM', waitedMs),
    SIGINT: waitedMs => handle('SIGINT', waitedMs),
    SIGQUIT: waitedMs => handle('SIGQUIT', waitedMs),
    SIGHUP: waitedMs => handle('SIGHUP', waitedMs),
    SIGUSR1: waitedMs => handle('SIGUSR1', waitedMs),
    SIGUSR2: waitedMs => handle('SIGUSR2', waitedMs),
  };
}

test('a signal during the start of a process is neither lost nor fatal', () => {
  // Guards against a process that ends during its start on a SIGHUP for changed
  // settings, because no signal handler exists until all modules are loaded.
  const source = new EventEmitter();
  const handled: string[] = [];
  const buffer = bufferSignals(source, createVirtualClock());
  source.emit('SIGHUP');
  source.emit('SIGTERM');
  assert.equal(handled.length, 0);
  buffer.forwardTo(handleEach(signal => handled.push(signal)));
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
  buffer.forwardTo(handleEach((_, waitedMs) => waited.push(waitedMs)));
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
  buffer.forwardTo(handleEach((_, waitedMs) => waited.push(waitedMs)));
  assert.ok(waited[0] >= 700 && waited[0] <= 800, String(waited[0]));
  assert.equal(clock.pendingCount(), 0);
});

test('a signal before the signal buffer is loaded counts from the start', () => {
  const source = new EventEmitter();
  const clock = createVirtualClock(100);
  const early = catchSignals(source, () => clock.nowMs());
  clock.advanceSync(20);
  source.emit('SIGTERM');
  clock.advanceSync(30);
  const buffer = bufferSignals(early, clock, early.sinceMs);
  assert.ok(buffer.isEnding());
  const waited: number[] = [];
  buffer.forwardTo(handleEach((_, waitedMs) => waited.push(waitedMs)));
  source.emit('SIGTERM');
  assert.deepEqual(waited, [50, 0]);
});
