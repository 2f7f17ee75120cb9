import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  makeLimitFleet,
  mostAllowed,
  type LimitFleet,
  type LimitFleetOptions,
} from './limit_fleet.js';

const FLEETS = [
  {hostCount: 9, upstreamCount: 4, callsPerS: 30, seeds: 9},
  {hostCount: 300, upstreamCount: 8, callsPerS: 160, seeds: 3},
];
const LIMITS_PER_S = [0.3, 2, 20];

interface Play {
  readonly options: LimitFleetOptions;
  readonly callsPerS: number;
  readonly limitPerS: number;
}

function* plays(lossShare = 0): Generator<Play> {
  for (const {hostCount, upstreamCount, callsPerS, seeds} of FLEETS) {
    for (let seed = 1; seed <= seeds; seed++) {
      const options = {hostCount, upstreamCount, seed, lossShare};
      const limitPerS = LIMITS_PER_S[seed % LIMITS_PER_S.length];
      yield {options, callsPerS, limitPerS};
    }
  }
}

/** Two upstreams name a limit from the third second on. */
async function playToLimit(play: Play): Promise<LimitFleet> {
  const fleet = makeLimitFleet(play.options);
  await fleet.offer(play.callsPerS, 3_000);
  for (const id of fleet.upstreamIds.slice(0, 2)) {
    fleet.setLimit(id, play.limitPerS);
  }
  return fleet;
}

function assertHeld(fleet: LimitFleet, play: Play): void {
  for (const id of fleet.upstreamIds.slice(0, 2)) {
    const most = fleet.mostInWindow(id, 0);
    const {hostCount, seed} = play.options;
    assert.ok(
      most <= mostAllowed(play.limitPerS),
      `${most} at ${play.limitPerS} a second, ${hostCount} hosts, seed ${seed}`,
    );
  }
}

test('few and many hosts keep to the limit that an upstream names', async () => {
  // Guards against a limit that each host applies by itself.
  for (const play of plays()) {
    const fleet = await playToLimit(play);
    await fleet.offer(play.callsPerS, 10_000);
    assertHeld(fleet, play);
    // The other upstreams take what these do not.
    assert.equal(fleet.refusedSince(0), 0);
  }
});

test('an upstream gets most of what it says that it takes', async () => {
  // Guards against a limit divided among hosts, which is less than a request
  // for each.
  for (const play of plays()) {
    const fleet = await playToLimit(play);
    await fleet.offer(play.callsPerS, 4_000);
    const sinceMs = fleet.clock.nowMs();
    await fleet.offer(play.callsPerS, 20_000);
    const offeredPerS = play.callsPerS / play.options.upstreamCount;
    const takesPerS = Math.min(offeredPerS, play.limitPerS);
    const [id] = fleet.upstreamIds;
    const perS = fleet.arrivalsSince(id, sinceMs) / 20;
    assert.ok(
      perS > 0.6 * takesPerS,
      `${perS} of ${takesPerS}, ${play.options.hostCount} hosts`,
    );
  }
});

test('the limit holds while datagrams are lost', async () => {
  // Guards against a second host that gives the whole rate away again where
  // the first one is not heard.
  for (const play of plays(0.3)) {
    const fleet = await playToLimit(play);
    await fleet.offer(play.callsPerS, 10_000);
    assertHeld(fleet, play);
  }
});

test('the limit holds when its owner dies, starts again or is cut off', async () => {
  // Guards against an owner that begins with a full bucket.
  for (const play of plays()) {
    const fleet = await playToLimit(play);
    await fleet.offer(play.callsPerS, 4_000);
    const [first, second] = fleet.upstreamIds;
    const owner = fleet.ownerOf(first);
    fleet.kill(owner);
    await fleet.offer(play.callsPerS, 3_000);
    fleet.restart(owner);
    await fleet.offer(play.callsPerS, 3_000);
    fleet.cut(fleet.ownerOf(second), 3_000);
    await fleet.offer(play.callsPerS, 6_000);
    assertHeld(fleet, play);
  }
});

test('a limit ends at all hosts soon after the upstream names none', async () => {
  // Guards against hosts that keep to a limit of which they hear nothing more.
  for (const play of plays()) {
    const fleet = await playToLimit(play);
    const {limitPerS, callsPerS} = play;
    await fleet.offer(callsPerS, 5_000);
    const [id] = fleet.upstreamIds;
    fleet.setLimit(id, undefined);
    // One more request shows it; the slowest upstream takes one in 4 s.
    await fleet.offer(callsPerS, 1_000 / limitPerS + 4_000);
    const sinceMs = fleet.clock.nowMs();
    await fleet.offer(callsPerS, 5_000);
    const offeredPerS = callsPerS / play.options.upstreamCount;
    const perS = fleet.arrivalsSince(id, sinceMs) / 5;
    assert.ok(perS > 0.7 * offeredPerS, `${perS} of ${offeredPerS}`);
  }
});

test('a limit that rises and falls binds each time', async () => {
  // Guards against permits that were promised at an earlier rate.
  for (const play of plays()) {
    const fleet = await playToLimit(play);
    const [id] = fleet.upstreamIds;
    for (const limitPerS of [20, undefined, 20, 3]) {
      fleet.setLimit(id, limitPerS);
      await fleet.offer(play.callsPerS, 3_000);
    }
    const fellAtMs = fleet.clock.nowMs();
    await fleet.offer(play.callsPerS, 8_000);
    const most = fleet.mostInWindow(id, fellAtMs);
    assert.ok(most <= mostAllowed(3), `${most}`);
  }
});
