import assert from 'node:assert/strict';
import {test} from 'node:test';
import {placersOf, playBurst, type BurstOptions} from './burst_load.js';

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

const manyHosts: BurstOptions = {
  ...burst,
  hostCount: 79,
  prefillEngines: 10,
  decodeEngines: 32,
  calmPerS: 60,
  burstPerS: 110,
  burstMs: 3_000,
};

test('one that places for many gives no memory away twice and serves more on time', async () => {
  // Most prompts are read in vain: 79 hosts tell each other of their promises
  // each 0.3 s, and many place on the engine that was seen with most room.
  // Engines are promised more than twice their memory; by a placer, all of it.
  const load = {...manyHosts, seed: 3};
  const inTurn = await playBurst({...load, hasGroups: false, announceMs: 300});
  const byPlacer = await playBurst(load);
  assert.ok(inTurn.highestUse > 1.5, JSON.stringify(inTurn));
  assert.ok(byPlacer.highestUse < 1.05, JSON.stringify(byPlacer));
  const gain = shareOnTime(byPlacer) - shareOnTime(inTurn);
  assert.ok(gain > 0.1, JSON.stringify({inTurn, byPlacer}));
});

test('a burst is served though the host that places for all is frozen', async () => {
  const load = {...manyHosts, seed: 3, burstPerS: 60};
  const served = await playBurst(load);
  const frozen = await playBurst({...load, silentHosts: placersOf(load)});
  assert.ok(shareOnTime(served) > 0.98, JSON.stringify(served));
  assert.ok(shareOnTime(frozen) > 0.95, JSON.stringify(frozen));
  assert.ok(frozen.highestUse < 1.1, JSON.stringify(frozen));
});
