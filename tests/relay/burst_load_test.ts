import assert from 'node:assert/strict';
import {test} from 'node:test';
import {playBurst, type BurstOptions} from './burst_load.js';

const burst: BurstOptions = {
  seed: 20261202,
  hostCount: 4,
  prefillEngines: 3,
  decodeEngines: 10,
  calmPerS: 12.7,
  burstPerS: 27,
  burstMs: 4_000,
};

function shareOnTime(result: {onTime: number; late: number; refused: number}) {
  return result.onTime / (result.onTime + result.late + result.refused);
}

test('a calm hour is served on time, and nobody waits', async () => {
  const result = await playBurst({...burst, burstPerS: 12.7});
  assert.ok(shareOnTime(result) > 0.99, JSON.stringify(result));
  assert.equal(result.refused, 0);
});

test('engines divided by the work serve more of a burst on time', async () => {
  // Bookkeepers wait in each burst though five engines read prompts with
  // little to do: 8 of 13 decoded, while the work needs 10. In a burst of 6 s
  // the share on time rises on five seeds from 0.75 to 0.86 with the first
  // division to 0.85 to 0.97 with the second.
  for (const seed of [1, 2, 3]) {
    const load = {...burst, seed, burstMs: 6_000};
    const asStarted = await playBurst({
      ...load,
      prefillEngines: 5,
      decodeEngines: 8,
    });
    const byWork = await playBurst(load);
    const gain = shareOnTime(byWork) - shareOnTime(asStarted);
    assert.ok(gain > 0.05, JSON.stringify({seed, asStarted, byWork}));
    assert.ok(byWork.refused < asStarted.refused);
  }
});

test('hosts that share their books never overfill an engine by much', async () => {
  // Engines preempt streams in the middle: hosts that decide by themselves
  // give the same memory away twice.
  for (const seed of [1, 2, 3]) {
    const result = await playBurst({...burst, seed, burstPerS: 40});
    assert.ok(result.highestUse < 1.1, JSON.stringify({seed, result}));
  }
});

test('nobody is held beyond the time at which callers leave', async () => {
  const result = await playBurst({...burst, burstPerS: 60});
  assert.ok(result.refused > 0, JSON.stringify(result));
  assert.ok(result.longestHeldMs < 3_600, JSON.stringify(result));
});
