import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  makeLimitFleet,
  maxAllowed,
  type LimitFleet,
  type LimitFleetOptions,
} from './limit_fleet.js';

const FLEETS = [
  {hostCount: 9, upstreamCount: 4, callsPerS: 30, seeds: 9},
  {hostCount: 300, upstreamCount: 8, callsPerS: 160, seeds: 3},
];
const LIMITS_PER_S = [0.3, 2, 20];

interface Scenario {
  readonly options: LimitFleetOptions;
  readonly callsPerS: number;
  readonly limitPerS: number;
}

function* scenarios(lossShare = 0): Generator<Scenario> {
  for (const {hostCount, upstreamCount, callsPerS, seeds} of FLEETS) {
    for (let seed = 1; seed <= seeds; seed++) {
      const options = {hostCount, upstreamCount, seed, lossShare};
      const limitPerS = LIMITS_PER_S[seed % LIMITS_PER_S.length];
      yield {options, callsPerS, limitPerS};
    }
  }
}

/** Runs for three seconds and then lets two upstreams name a limit. */
async function startLimits(scenario: Scenario): Promise<LimitFleet> {
  const fleet = makeLimitFleet(scenario.options);
  await fleet.offer(scenario.callsPerS, 3_000);
  for (const id of fleet.upstreamIds.slice(0, 2)) {
    fleet.setLimit(id, scenario.limitPerS);
  }
  return fleet;
}

function assertLimitsHold(fleet: LimitFleet, scenario: Scenario): void {
  for (const id of fleet.upstreamIds.slice(0, 2)) {
    const most = fleet.maxInWindow(id, 0);
    const {hostCount, seed} = scenario.options;
    assert.ok(
      most <= maxAllowed(scenario.limitPerS),
      `${most} at ${scenario.limitPerS} a second, ${hostCount} hosts, seed ${seed}`,
    );
  }
}

test('small and large fleets keep to the limit that an upstream names', async () => {
  // Guards against hosts that each apply the full limit.
  for (const scenario of scenarios()) {
    const fleet = await startLimits(scenario);
    await fleet.offer(scenario.callsPerS, 10_000);
    assertLimitsHold(fleet, scenario);
    // The other upstreams have room for the remaining requests.
    assert.equal(fleet.refusedSince(0), 0);
  }
});

test('an upstream receives most of the rate that it names', async () => {
  // Guards against a limit divided among the hosts. Each share is less than one
  // request.
  for (const scenario of scenarios()) {
    const fleet = await startLimits(scenario);
    await fleet.offer(scenario.callsPerS, 4_000);
    const sinceMs = fleet.clock.nowMs();
    await fleet.offer(scenario.callsPerS, 20_000);
    const offeredPerS = scenario.callsPerS / scenario.options.upstreamCount;
    const expectedPerS = Math.min(offeredPerS, scenario.limitPerS);
    const [id] = fleet.upstreamIds;
    const perS = fleet.arrivalsSince(id, sinceMs) / 20;
    assert.ok(
      perS > 0.6 * expectedPerS,
      `${perS} of ${expectedPerS}, ${scenario.options.hostCount} hosts`,
    );
  }
});

test('the limit holds while datagrams are lost', async () => {
  // Guards against a backup that grants the whole rate again while messages of
  // the owner are lost.
  for (const scenario of scenarios(0.3)) {
    const fleet = await startLimits(scenario);
    await fleet.offer(scenario.callsPerS, 10_000);
    assertLimitsHold(fleet, scenario);
  }
});

test('the limit holds when its owner fails, restarts or is partitioned', async () => {
  // Guards against an owner that starts with a full bucket.
  for (const scenario of scenarios()) {
    const fleet = await startLimits(scenario);
    await fleet.offer(scenario.callsPerS, 4_000);
    const [first, second] = fleet.upstreamIds;
    const owner = fleet.ownerOf(first);
    fleet.kill(owner);
    await fleet.offer(scenario.callsPerS, 3_000);
    fleet.restart(owner);
    await fleet.offer(scenario.callsPerS, 3_000);
    fleet.cut(fleet.ownerOf(second), 3_000);
    await fleet.offer(scenario.callsPerS, 6_000);
    assertLimitsHold(fleet, scenario);
  }
});

test('a limit ends on all hosts soon after the upstream names none', async () => {
  // Guards against hosts that keep a limit because they don't receive its end.
  for (const scenario of scenarios()) {
    const fleet = await startLimits(scenario);
    const {limitPerS, callsPerS} = scenario;
    await fleet.offer(callsPerS, 5_000);
    const [id] = fleet.upstreamIds;
    fleet.setLimit(id, undefined);
    // One more request shows the end; the slowest upstream gets one in 4 s.
    await fleet.offer(callsPerS, 1_000 / limitPerS + 4_000);
    const sinceMs = fleet.clock.nowMs();
    await fleet.offer(callsPerS, 5_000);
    const offeredPerS = callsPerS / scenario.options.upstreamCount;
    const perS = fleet.arrivalsSince(id, sinceMs) / 5;
    assert.ok(perS > 0.7 * offeredPerS, `${perS} of ${offeredPerS}`);
  }
});

test('each new limit holds when it rises and falls', async () => {
  // Guards against permits that were granted at an earlier rate.
  for (const scenario of scenarios()) {
    const fleet = await startLimits(scenario);
    const [id] = fleet.upstreamIds;
    for (const limitPerS of [20, undefined, 20, 3]) {
      fleet.setLimit(id, limitPerS);
      await fleet.offer(scenario.callsPerS, 3_000);
    }
    const fellAtMs = fleet.clock.nowMs();
    await fleet.offer(scenario.callsPerS, 8_000);
    const most = fleet.maxInWindow(id, fellAtMs);
    assert.ok(most <= maxAllowed(3), `${most}`);
  }
});
