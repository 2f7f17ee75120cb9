import assert from 'node:assert/strict';
import {test} from 'node:test';
import {simulateSlotLoad} from './slot_load.js';

test('calls that take longer than all before keep their slots', async () => {
  // Guards against slots that expire since recent calls were short, and are
  // given again while their calls run.
  for (const seed of [1, 2, 3]) {
    const kept = await simulateSlotLoad({
      ...{basePerS: 60, burstPerS: 60, goalMs: 2_000, deadlineMs: 6_000},
      slowdown: {fromMs: 4_000, factor: 10},
      hasKeepers: true,
      seed,
    });
    assert.ok(kept.maxConcurrency <= 8, JSON.stringify(kept));
    assert.equal(kept.rejected, 0, JSON.stringify(kept));
  }
});
