/**
 * Hosts that hold one account to its limit together, in virtual time: three of
 * them coordinate, datagrams take time and may be lost, and hosts may restart.
 */

import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {
  createVirtualClock,
  type VirtualClock,
} from '../../../src/core/virtual_clock.js';
import {
  createAccountLimiter,
  type AccountLimiter,
} from '../../../src/relay/accounts/account_limiter.js';
import type {AccountQuota} from '../../../src/relay/accounts/client_account.js';
import {
  createSpendingLedger,
  type SpendingLedger,
} from '../../../src/relay/accounts/spending_ledger.js';

export const ACCOUNT = 'rmtp';
/** A small account: about seven streams a second fit. */
export const QUOTA: AccountQuota = {
  unit: 'tokens',
  unitsPerS: 36_000,
  burstUnits: 36_000,
  tokensOfPlainRequest: 200,
};
export const STREAM_TOKENS = 5_300;

const COORDINATOR_COUNT = 3;
const STATE_EVERY_MS = 600;
const VIEW_EVERY_MS = 500;
const LINK_MS = 5;

interface QuotaHost {
  readonly hostId: string;
  readonly limiter: AccountLimiter;
  readonly ledger: SpendingLedger;
}

/** A request that was let through or refused. */
export interface Arrival {
  readonly atMs: number;
  readonly isAllowed: boolean;
}

export interface QuotaFleet {
  readonly clock: VirtualClock;
  readonly arrivals: readonly Arrival[];
  /** Streams of the account arrive at drawn hosts for a while. */
  offer(streamsPerS: number, durationMs: number): Promise<void>;
  setQuota(quota: AccountQuota): void;
  restart(hostIndexes: readonly number[]): void;
  /** Hosts that hear and tell nothing. */
  cut(hostIndexes: readonly number[]): void;
  lose(share: number): void;
  /** Most tokens let through in any window of so long. */
  mostTokensIn(windowMs: number): number;
  /** Of the streams since then. */
  allowedShareSince(sinceMs: number): number;
  /** The same for one bucket that sees each stream at once. */
  exactShareSince(sinceMs: number): number;
}

export function makeQuotaFleet(hostCount: number, seed: number): QuotaFleet {
  const clock = createVirtualClock(1_000);
  const random = createSeededRandom(seed);
  const arrivals: Arrival[] = [];
  const isCut = new Set<number>();
  let quota = QUOTA;
  let lossShare = 0;
  let lives = 0;

  function makeHost(index: number): QuotaHost {
    const hostId = `host-${index}`;
    const ledger = createSpendingLedger({clock, quotaOf: () => quota});
    const limiter = createAccountLimiter({
      clock,
      random,
      ledger,
      self: {hostId, incarnation: `life-${lives++}`},
      isHearingAll: () => index < COORDINATOR_COUNT,
      hostCount: () => hostCount,
    });
    return {hostId, limiter, ledger};
  }

  const hosts = Array.from({length: hostCount}, (_, i) => makeHost(i));
  const incarnations = hosts.map((_, i) => `${i}`);

  function deliver(from: number, to: number, action: () => void): void {
    if (isCut.has(from) || isCut.has(to)) return;
    if (random.nextFloat() < lossShare) return;
    clock.setTimer(LINK_MS, action);
  }

  function tellState(from: number): void {
    const records = hosts[from].limiter.spending();
    const incarnation = incarnations[from];
    for (let to = 0; to < COORDINATOR_COUNT; to++) {
      if (to === from) continue;
      const {hostId} = hosts[from];
      deliver(from, to, () =>
        hosts[to].ledger.hear({hostId, incarnation}, records),
      );
    }
    clock.setTimer(STATE_EVERY_MS, () => tellState(from));
  }

  function tellView(from: number): void {
    const levels = hosts[from].ledger.nearLimit();
    const {hostId} = hosts[from];
    for (let to = COORDINATOR_COUNT; to < hostCount; to++) {
      deliver(from, to, () => hosts[to].limiter.hear(hostId, levels));
    }
    clock.setTimer(VIEW_EVERY_MS, () => tellView(from));
  }

  for (let i = 0; i < hostCount; i++) {
    clock.setTimer(random.nextInt(STATE_EVERY_MS), () => tellState(i));
  }
  for (let i = 0; i < COORDINATOR_COUNT; i++) {
    clock.setTimer(random.nextInt(VIEW_EVERY_MS), () => tellView(i));
  }

  function arrive(): void {
    const {limiter} = hosts[random.nextInt(hostCount)];
    const verdict = limiter.take(ACCOUNT, quota, STREAM_TOKENS);
    const isAllowed = verdict.kind === 'allowed';
    arrivals.push({atMs: clock.nowMs(), isAllowed});
  }

  return {
    clock,
    arrivals,
    async offer(streamsPerS, durationMs) {
      const endAtMs = clock.nowMs() + durationMs;
      for (;;) {
        const gapMs = (-Math.log(1 - random.nextFloat()) * 1_000) / streamsPerS;
        if (clock.nowMs() + gapMs >= endAtMs) break;
        clock.advanceSync(gapMs);
        arrive();
      }
      await clock.advance(Math.max(0, endAtMs - clock.nowMs()));
    },
    setQuota(next) {
      quota = next;
    },
    restart(hostIndexes) {
      for (const index of hostIndexes) {
        hosts[index] = makeHost(index);
        incarnations[index] = `${index}-${lives}`;
      }
    },
    cut(hostIndexes) {
      isCut.clear();
      for (const index of hostIndexes) isCut.add(index);
    },
    lose(share) {
      lossShare = share;
    },
    mostTokensIn(windowMs) {
      const allowed = arrivals.filter(each => each.isAllowed);
      let most = 0;
      let first = 0;
      for (let last = 0; last < allowed.length; last++) {
        while (allowed[last].atMs - allowed[first].atMs > windowMs) first++;
        most = Math.max(most, last - first + 1);
      }
      return most * STREAM_TOKENS;
    },
    exactShareSince(sinceMs) {
      let levelUnits = quota.burstUnits;
      let updatedAtMs = 0;
      let offered = 0;
      let allowed = 0;
      for (const {atMs} of arrivals) {
        const gained = ((atMs - updatedAtMs) * quota.unitsPerS) / 1_000;
        levelUnits = Math.min(quota.burstUnits, levelUnits + gained);
        updatedAtMs = atMs;
        const isAllowed = levelUnits >= STREAM_TOKENS;
        if (isAllowed) levelUnits -= STREAM_TOKENS;
        if (atMs < sinceMs) continue;
        offered++;
        allowed += Number(isAllowed);
      }
      return allowed / offered;
    },
    allowedShareSince(sinceMs) {
      const since = arrivals.filter(({atMs}) => atMs >= sinceMs);
      const allowed = since.filter(({isAllowed}) => isAllowed);
      return allowed.length / since.length;
    },
  };
}
