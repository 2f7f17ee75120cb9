import assert from 'node:assert/strict';
import {test} from 'node:test';
import {simulateSlotLoad} from './slot_load.js';

/** Both keepers are cut off when the calls increase. */
const CUT_OFF = {basePerS: 132, hasKeepers: true, keepersCutOffAtMs: 4_000};

test('hosts without keepers do not fill the queues of the upstreams', async () => {
  // Guards against calls that are refused or reset by upstreams: 68 hosts that
  // chose freely sent 600 calls a second at once, and 1,497 of 3,450 were
  // rejected. Since: 11, and the others are refused with a retry time.
  for (const seed of [1, 2, 3]) {
    const load = await simulateSlotLoad({...CUT_OFF, seed, burstPerS: 600});
    const text = JSON.stringify(load);
    assert.ok(load.rejected < 100, text);
    assert.ok(load.onTime / load.calls > 0.32, text);
  }
});

test('hosts without keepers serve a demand that the upstreams can meet', async () => {
  // Guards against a part of 0.3 calls that leaves upstreams idle: with a fixed
  // part 0.75 of the calls were on time.
  for (const isUneven of [false, true]) {
    for (const seed of [1, 2, 3]) {
      const options = {...CUT_OFF, seed, burstPerS: 300, isUneven};
      const load = await simulateSlotLoad(options);
      assert.ok(load.onTime / load.calls > 0.9, JSON.stringify(load));
      assert.equal(load.rejected, 0);
    }
  }
});

test('hosts use their keepers again when these return', async () => {
  // Guards against hosts that keep to their own part, and against twice the
  // calls at upstreams while the keeper knows nothing of the calls that run.
  for (const seed of [1, 2, 3]) {
    const times = {keepersCutOffAtMs: 4_000, keepersReturnAtMs: 6_000};
    const load = await simulateSlotLoad({
      ...{...CUT_OFF, ...times, seed},
      burstPerS: 300,
    });
    const text = JSON.stringify(load);
    assert.ok(load.onTime / load.calls > 0.95, text);
    assert.equal(load.rejected, 0, text);
    assert.ok(load.silences < 500, text);
  }
});
