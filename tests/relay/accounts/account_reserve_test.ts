import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  makeQuotaFleet,
  QUOTA,
  STREAM_TOKENS,
  type QuotaFleet,
  type QuotaFleetOptions,
} from './quota_fleet.js';

const WINDOW_MS = 8_000;
const HOSTS = 82;
const SEEDS = Array.from({length: 8}, (_, i) => i + 1);
const PRIORITY_SHARES = [0.18, 0.55, 0.27];
/** Streams per second that exactly use up the limit. */
const FITTING = QUOTA.unitsPerS / STREAM_TOKENS;
/** As in `account_limiter_test.ts`. */
const ALLOWED_TOKENS =
  ((QUOTA.unitsPerS * WINDOW_MS) / 1_000 + QUOTA.burstUnits) * 1.1 + 140_000;

interface Served {
  /** Means over all seeds: the admitted share by priority, and of all. */
  readonly shares: readonly number[];
  readonly all: number;
  readonly mostTokens: number;
}

/** Runs 6 s of the usual rate, the events, and `durationMs` of `factor`. */
async function serve(
  factor: number,
  options: QuotaFleetOptions = {},
  disturb: (fleet: QuotaFleet) => Promise<void> | void = () => undefined,
  durationMs = 12_000,
): Promise<Served> {
  const shares = PRIORITY_SHARES.map(() => 0);
  let all = 0;
  let mostTokens = 0;
  for (const seed of SEEDS) {
    const priorityShares = PRIORITY_SHARES;
    const fleet = makeQuotaFleet(HOSTS, seed, {priorityShares, ...options});
    await fleet.offer(FITTING / 1.8, 6_000);
    await disturb(fleet);
    const fromMs = fleet.clock.nowMs();
    await fleet.offer(FITTING * factor, durationMs);
    shares.forEach((_, priority) => {
      shares[priority] +=
        fleet.allowedShareSince(fromMs, priority) / SEEDS.length;
    });
    all += fleet.allowedShareSince(fromMs) / SEEDS.length;
    mostTokens = Math.max(mostTokens, fleet.maxTokensInWindow(WINDOW_MS));
  }
  return {shares, all, mostTokens};
}

function assertInOrder({shares, mostTokens}: Served): void {
  const [first, second, third] = shares;
  assert.ok(first >= second && second >= third, `${shares}`);
  assert.ok(mostTokens <= ALLOWED_TOKENS, `${mostTokens}`);
}

/** For accounts that send 4 times their limit. */
function assertUrgentFirst(served: Served): void {
  assertInOrder(served);
  const {shares, all} = served;
  assert.ok(shares[0] > 1.5 * shares[1], `${shares}`);
  // A single bucket without delay admits 0.265.
  assert.ok(all > 0.2, `${all}`);
}

const withoutReserve: QuotaFleetOptions = {reserveOf: () => 0};
/** A fixed part of the bucket for each priority, as an alternative. */
const withFixedReserve: QuotaFleetOptions = {
  reserveOf: ({priority = 0}) => (priority * QUOTA.burstUnits) / 4,
};

test('urgent requests come first within a limit that is exceeded 4 times', async () => {
  // Guards against refusing urgent and less urgent requests alike.
  const alike = await serve(4, withoutReserve);
  const served = await serve(4);
  assertUrgentFirst(served);
  assert.ok(served.shares[0] > 0.7, `${served.shares}`);
  assert.ok(served.all > 0.96 * alike.all, `${served.all}, ${alike.all}`);
});

test('the reserve costs an account near its limit little', async () => {
  // Guards against a reserve that stays unused while other requests are refused.
  for (const factor of [1 / 1.8, 1, 1.2]) {
    const alike = await serve(factor, withoutReserve);
    const served = await serve(factor);
    assertInOrder(served);
    assert.ok(served.all > 0.95 * alike.all, `${served.all}, ${alike.all}`);
  }
  const fixed = await serve(0.8, withFixedReserve);
  const learned = await serve(0.8);
  assert.ok(learned.all > fixed.all, `${learned.all}, ${fixed.all}`);
});

test('hosts without an owner admit urgent requests first', async () => {
  // Guards against a reserve that holds only while the owner answers.
  assertUrgentFirst(await serve(4, {isOwned: false}));
});

test('requests of a single priority are decided as without priorities', async () => {
  // Guards against a reserve in deployments that have no use for it.
  for (const seed of SEEDS) {
    const run = async (oldHostCount: number) => {
      const options = {priorityShares: [1], oldHostCount};
      const fleet = makeQuotaFleet(HOSTS, seed, options);
      await fleet.offer(FITTING * 3, 8_000);
      return fleet.arrivals;
    };
    assert.deepEqual(await run(0), await run(HOSTS));
  }
});

test('the order holds when the owner dies and when it returns', async () => {
  // Guards against a successor without history that reserves nothing, and
  // against an owner that returns, is charged at once for all that was admitted
  // meanwhile, and refuses nearly everything for as long.
  const die = async (fleet: QuotaFleet) => {
    fleet.cut([0]);
    await fleet.offer(FITTING * 4, 2_000);
    fleet.changeCoordinators();
  };
  assertUrgentFirst(await serve(4, {}, die, 4_000));
  const comeBack = async (fleet: QuotaFleet) => {
    fleet.cut([0]);
    await fleet.offer(FITTING * 4, 6_000);
    fleet.cut([]);
  };
  assertUrgentFirst(await serve(4, {}, comeBack, 6_000));
});

test('the order holds on both sides of a partition and with lost datagrams', async () => {
  // Guards against hosts without levels that admit less urgent requests first.
  // The partition is that of `account_limiter_test.ts`.
  const cut = (fleet: QuotaFleet) =>
    fleet.cut(Array.from({length: 14}, (_, i) => 20 + i));
  assertUrgentFirst(await serve(4, {}, cut));
  assertUrgentFirst(await serve(4, {}, fleet => fleet.setLossShare(0.2)));
});

test('the limit and the order hold with two owners', async () => {
  // Guards against each of two owners granting the full limit.
  assertUrgentFirst(await serve(4, {}, fleet => fleet.setTwoOwners(true)));
});

test('the order holds after all hosts restart at once', async () => {
  // Guards against a reserve that needs a long history.
  const restart = (fleet: QuotaFleet) =>
    fleet.restart(Array.from({length: HOSTS}, (_, i) => i));
  assertUrgentFirst(await serve(4, {}, restart, 8_000));
});

test('hosts of the previous build keep to the limit beside newer ones', async () => {
  // Guards against an owner that refuses or miscounts requests without the new
  // fields, and against hosts that depend on an owner that ignores them.
  for (const oldHostCount of [1, HOSTS / 2]) {
    const {shares, all, mostTokens} = await serve(4, {oldHostCount});
    assert.ok(shares[0] >= shares[2], `${shares}`);
    assert.ok(all > 0.24, `${all}`);
    assert.ok(mostTokens <= ALLOWED_TOKENS, `${mostTokens}`);
  }
});
