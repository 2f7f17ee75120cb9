import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createLeaving} from '../../../src/relay/front/leaving.js';
import {silentLog} from '../../support/silent_log.js';
import {createFreezableClock} from '../fleet/fleet_network.js';

const GRACE_MS = 8_000;

function startLeaving() {
  const clock = createVirtualClock(1_000);
  const ownClock = createFreezableClock(clock);
  const leaving = createLeaving(
    {
      clock: ownClock.host,
      log: silentLog,
      openCount: () => 0,
      lastRequestAtMs: () => 1_000,
      onLeave: () => undefined,
    },
    {graceMs: GRACE_MS},
  );
  const state = {hasEnded: false};
  void leaving.ended.then(() => (state.hasEnded = true));
  leaving.start();
  return {clock, state, suspend: ownClock.stop};
}

test('a leaving host that was suspended reads what arrived meanwhile before it ends', async () => {
  // Guards against callers whose connections are reset although the host has
  // time left to serve them.
  const {clock, state, suspend} = startLeaving();
  await clock.advance(2_000);
  suspend(1_000);
  await clock.advance(1_300);
  assert.equal(state.hasEnded, false);
  await clock.advance(200);
  assert.equal(state.hasEnded, true);
});

test('a leaving host ends before it is killed, however long it was suspended', async () => {
  const {clock, state, suspend} = startLeaving();
  await clock.advance(2_000);
  suspend(5_800);
  await clock.advance(5_801);
  assert.equal(state.hasEnded, true);
});
