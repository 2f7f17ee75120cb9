import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {AccountQuota} from '../../../src/core/routing_types.js';
import {createLimitParts} from '../../../src/relay/accounts/limit_parts.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createFleetSize} from '../../../src/relay/fleet/fleet_size.js';
import {
  LIMIT_SLACK,
  makeQuotaFleet,
  STREAM_TOKENS,
  type QuotaFleet,
} from './quota_fleet.js';

const WINDOW_MS = 8_000;
const HOST_COUNTS = [9, 54, 68, 195];
const RATES = [36_000, 174_000];
const RUNS = {numRuns: 25, seed: 31};

const toQuota = (unitsPerS: number): AccountQuota => ({
  unit: 'tokens',
  unitsPerS,
  burstUnits: unitsPerS,
  tokensOfPlainRequest: 200,
});

/** What all hosts may admit in a window, as the users state it. */
const allowedTokens = ({unitsPerS, burstUnits}: AccountQuota) =>
  ((unitsPerS * WINDOW_MS) / 1_000 + burstUnits) * 1.1 + LIMIT_SLACK;

interface SplitCase {
  readonly hostCount: number;
  readonly unitsPerS: number;
  /** Relative sizes of the sides. */
  readonly sides: readonly number[];
  /** Share of the hosts that reach no other host. */
  readonly isolatedShare: number;
  /** From the split until the account exceeds its limit; negative: before. */
  readonly hotAfterMs: number;
  readonly factor: number;
  readonly seed: number;
}

const splitCases = fc.record<SplitCase>({
  hostCount: fc.constantFrom(...HOST_COUNTS),
  unitsPerS: fc.constantFrom(...RATES),
  sides: fc.array(fc.integer({min: 1, max: 5}), {minLength: 1, maxLength: 5}),
  isolatedShare: fc.constantFrom(0, 0.1, 0.35, 0.6, 1),
  hotAfterMs: fc.constantFrom(-3_000, 0, 300, 1_000, 4_000, 9_000),
  factor: fc.constantFrom(1, 2, 6),
  seed: fc.integer({min: 1, max: 1_000}),
});

function split(fleet: QuotaFleet, {sides, isolatedShare, seed}: SplitCase) {
  const slots = sides.flatMap((size, side) => Array(size).fill(side));
  fleet.split(index => {
    // Spreads the first hosts, which are the owners, over all kinds of sides.
    const draw = ((index + 1) * (seed + 7) * 0.618034) % 1;
    return draw < isolatedShare ? 100 + index : slots[index % slots.length];
  });
}

async function playSplit(each: SplitCase): Promise<void> {
  const quota = toQuota(each.unitsPerS);
  const fleet = makeQuotaFleet(each.hostCount, each.seed, {quota});
  const fitting = each.unitsPerS / STREAM_TOKENS;
  await fleet.offer(fitting / 1.8, 4_000);
  if (each.hotAfterMs < 0) await fleet.offer(fitting * each.factor, 3_000);
  split(fleet, each);
  await fleet.offer(fitting / 1.8, Math.max(0, each.hotAfterMs));
  await fleet.offer(fitting * each.factor, 10_000);
  fleet.split(() => 0);
  await fleet.offer(fitting * each.factor, 4_000);
  assertWithin(fleet, quota);
}

function assertWithin(fleet: QuotaFleet, quota: AccountQuota): void {
  const tokens = fleet.maxTokensInWindow(WINDOW_MS);
  assert.ok(tokens <= allowedTokens(quota), `${tokens}`);
}

test('the hosts on all sides of any split keep to a limit together', async () => {
  // Guards against sides that each grant the whole limit of an account.
  await fc.assert(fc.asyncProperty(splitCases, playSplit), RUNS);
});

test('a limit holds while hosts are cut off again and again', async () => {
  // Guards against a host that brings a new share with each cut.
  for (const hostCount of HOST_COUNTS) {
    for (const unitsPerS of RATES) {
      const quota = toQuota(unitsPerS);
      const fleet = makeQuotaFleet(hostCount, hostCount, {quota});
      const offered = (unitsPerS / STREAM_TOKENS) * 4;
      for (let i = 0; i < 10; i++) {
        const cutCount = Math.round(hostCount * (i % 2 ? 0.35 : 0.8));
        fleet.cut(Array.from({length: cutCount}, (_, index) => index));
        await fleet.offer(offered, 300 + 400 * (i % 5));
        fleet.cut([]);
        await fleet.offer(offered, 900);
      }
      assertWithin(fleet, quota);
    }
  }
});

test('a limit holds while links lose what passes in one direction', async () => {
  // Guards against an owner that counts the part of a host that uses it itself.
  for (const hostCount of HOST_COUNTS) {
    const quota = toQuota(RATES[0]);
    const offered = (quota.unitsPerS / STREAM_TOKENS) * 4;
    for (const isLost of [
      (from: number, to: number) => from < hostCount / 2 && to % 3 === 0,
      (from: number, to: number) => to < hostCount / 2 && from % 3 === 0,
    ]) {
      const fleet = makeQuotaFleet(hostCount, 5, {quota});
      await fleet.offer(offered / 7, 4_000);
      fleet.setLinkFilter(isLost);
      await fleet.offer(offered, 12_000);
      assertWithin(fleet, quota);
    }
  }
});

test('a lowered limit holds on all sides of a split within a window', async () => {
  // Guards against parts of the earlier limit that stay usable.
  const lower = toQuota(20_000);
  for (const hostCount of HOST_COUNTS) {
    const fleet = makeQuotaFleet(hostCount, 3, {quota: toQuota(174_000)});
    await fleet.offer(20, 4_000);
    fleet.cut(Array.from({length: Math.round(hostCount / 3)}, (_, i) => i));
    await fleet.offer(20, 3_000);
    fleet.setQuota(lower);
    const sinceMs = fleet.clock.nowMs();
    await fleet.offer(20, WINDOW_MS);
    const admitted = fleet.arrivals.filter(
      ({atMs, isAllowed}) => isAllowed && atMs >= sinceMs,
    );
    const tokens = admitted.length * STREAM_TOKENS;
    assert.ok(tokens <= allowedTokens(lower), `${hostCount}: ${tokens}`);
  }
});

test('an account within its limit is served by the hosts that reach most others', async () => {
  // Guards against a side that grants too little because hosts are out of reach.
  for (const hostCount of HOST_COUNTS) {
    const quota = toQuota(RATES[1]);
    const fleet = makeQuotaFleet(hostCount, 9, {quota});
    const usual = quota.unitsPerS / STREAM_TOKENS / 1.8;
    await fleet.offer(usual, 4_000);
    const cutCount = Math.floor(hostCount / 3);
    fleet.cut(Array.from({length: cutCount}, (_, i) => hostCount - 1 - i));
    const sinceMs = fleet.clock.nowMs();
    await fleet.offer(usual, 10_000);
    const majority = 1 - cutCount / hostCount;
    const share = fleet.allowedShareSince(sinceMs);
    assert.ok(share > 0.97 * majority, `${hostCount} hosts: ${share}`);
  }
});

test('an account whose limit has no burst is served at its rate', async () => {
  // Guards against a bucket that can't hold what is ceded between two reports.
  for (const hostCount of HOST_COUNTS) {
    const quota = {...toQuota(RATES[1]), burstUnits: 0};
    const fleet = makeQuotaFleet(hostCount, 4, {quota});
    await fleet.offer(quota.unitsPerS / STREAM_TOKENS / 2, 10_000);
    const share = fleet.allowedShareSince(2_000);
    assert.ok(share > 0.95, `${hostCount} hosts: ${share}`);
  }
});

test('a part is ceded to one owner at a time', async () => {
  // Guards against two owners that grant the same part, since one is silent.
  const clock = createVirtualClock(1_000);
  const parts = createLimitParts({
    clock,
    hostId: 'host-1',
    ownerCandidates: () => ['host-2', 'host-3'],
    probe: () => undefined,
  });
  const first = parts.ownerOf('a');
  await clock.advance(1_000);
  parts.noteUnanswered(first);
  const second = parts.ownerOf('a');
  await clock.advance(500);
  assert.deepEqual(parts.cededTimes(), {[second]: 1_500});
  parts.noteUnanswered(second);
  assert.equal(parts.ownerOf('a'), 'host-1');
  await clock.advance(2_000);
  parts.noteAnswered(first);
  assert.deepEqual(parts.cededTimes(), {[first]: 1_000});
});

test('a host that has seen no other does not take the whole limit', () => {
  // Guards against a host that starts cut off and counts itself alone.
  let knownPeerCount = 0;
  const host = {
    hostId: 'a',
    hasSeeds: true,
    knownPeerCount: () => knownPeerCount,
  };
  const size = createFleetSize(host);
  assert.equal(size.count(), Number.POSITIVE_INFINITY);
  size.noteListed([{hostId: 'a'}, {hostId: 'b'}]);
  assert.equal(size.count(), Number.POSITIVE_INFINITY);
  size.noteListed([{hostId: 'a'}]);
  assert.equal(size.count(), 1);
  knownPeerCount = 2;
  assert.equal(size.count(), 3);
  assert.equal(createFleetSize({...host, hasSeeds: false}).count(), 3);
});
