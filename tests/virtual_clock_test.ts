import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../src/core/virtual_clock.js';

test('timers run in order of time, and of creation at the same time', () => {
  const clock = createVirtualClock();
  const seen: string[] = [];
  clock.setTimer(20, () => seen.push('late'));
  clock.setTimer(10, () => seen.push('first'));
  clock.setTimer(10, () => seen.push('second'));
  const cleared = clock.setTimer(15, () => seen.push('cleared'));
  clock.clearTimer(cleared);
  assert.equal(clock.pendingCount(), 3);
  clock.advanceSync(20);
  assert.deepEqual(seen, ['first', 'second', 'late']);
  assert.equal(clock.pendingCount(), 0);
  assert.equal(clock.nowMs(), 20);
});
