import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {test} from 'node:test';
import {holdSignals} from '../../src/cli/held_signals.js';

test('a signal that comes while a process starts is not lost and does not end it', () => {
  // A host that was just started dies by a SIGHUP that only says that its
  // settings changed, since nothing handles signals before all is loaded.
  const source = new EventEmitter();
  const handled: string[] = [];
  const signals = holdSignals(source);
  source.emit('SIGHUP');
  source.emit('SIGTERM');
  assert.equal(handled.length, 0);
  signals.handTo({
    SIGTERM: () => handled.push('SIGTERM'),
    SIGINT: () => handled.push('SIGINT'),
    SIGHUP: () => handled.push('SIGHUP'),
  });
  assert.deepEqual(handled, ['SIGHUP', 'SIGTERM']);
  source.emit('SIGINT');
  assert.deepEqual(handled, ['SIGHUP', 'SIGTERM', 'SIGINT']);
});
