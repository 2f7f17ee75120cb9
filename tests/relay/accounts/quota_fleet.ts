/**
 * Hosts that hold one account to its limit together, in virtual time: three of
 * them coordinate, datagrams take time and may be lost, and hosts may restart.
 */

import type {AccountQuota} from '../../../src/core/routing_types.js';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {
  createVirtualClock,
  type VirtualClock,
} from '../../../src/core/virtual_clock.js';
import {
  createAccountLimiter,
  type AccountLimiter,
} from '../../../src/relay/accounts/account_limiter.js';
import {answerQuotaAsk} from '../../../src/relay/accounts/quota_desk.js';
import type {
  QuotaAnswer,
  QuotaAsk,
  QuotaMessage,
} from '../../../src/relay/accounts/quota_messages.js';
import {
  createSpendingLedger,
  type SpendingHost,
  type SpendingLedger,
} from '../../../src/relay/accounts/spending_ledger.js';
import {createAskClient} from '../../../src/relay/fleet/ask_client.js';
import {createAskDesk} from '../../../src/relay/fleet/ask_desk.js';

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
  self(): SpendingHost;
  receive(fromHostId: string, message: QuotaMessage): void;
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
  /** Three others coordinate from now on. */
  changeCoordinators(): void;
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

export function makeQuotaFleet(
  hostCount: number,
  seed: number,
  isOwned = true,
): QuotaFleet {
  const clock = createVirtualClock(1_000);
  const random = createSeededRandom(seed);
  const arrivals: Arrival[] = [];
  const isCut = new Set<number>();
  let quota = QUOTA;
  let lossShare = 0;
  let lives = 0;
  let firstCoordinator = 0;

  function makeHost(index: number): QuotaHost {
    const hostId = `host-${index}`;
    const incarnation = `life-${lives++}`;
    const bornAtMs = clock.nowMs();
    const self = () => ({
      hostId,
      incarnation,
      aliveMs: clock.nowMs() - bornAtMs,
    });
    const ledger = createSpendingLedger({clock, quotaOf: () => quota});
    const tell = (toHostId: string, message: QuotaMessage) => {
      const to = hosts.findIndex(each => each.hostId === toHostId);
      deliver(index, to, () => hosts[to].receive(hostId, message));
    };
    const firstAskId = lives * 1_000_000;
    const client = createAskClient<QuotaAsk, QuotaAnswer>({
      clock,
      firstAskId,
      tell,
    });
    const desk = createAskDesk<QuotaAsk, QuotaAnswer>({
      clock,
      decide: (from, ask) => answerQuotaAsk(ledger, from, ask),
      tell,
    });
    const limiter = createAccountLimiter({
      clock,
      random,
      ledger,
      self,
      isHearingAll: () => coordinators().includes(index),
      hostCount: () => hostCount,
      client,
      ownerOf: () => (isOwned ? hosts[firstCoordinator].hostId : undefined),
    });
    return {
      hostId,
      limiter,
      ledger,
      self,
      receive(fromHostId, message) {
        if (message.kind === 'quota-ask') desk.receive(fromHostId, message);
        else client.receive(fromHostId, message);
      },
    };
  }

  const hosts: QuotaHost[] = [];
  for (let i = 0; i < hostCount; i++) hosts.push(makeHost(i));

  const coordinators = () =>
    Array.from({length: COORDINATOR_COUNT}, (_, i) => firstCoordinator + i);

  function deliver(from: number, to: number, action: () => void): void {
    if (isCut.has(from) || isCut.has(to)) return;
    if (random.nextFloat() < lossShare) return;
    clock.setTimer(LINK_MS, action);
  }

  function tellState(from: number): void {
    const records = hosts[from].limiter.spending();
    const self = hosts[from].self();
    for (const to of coordinators()) {
      if (to === from) continue;
      deliver(from, to, () => hosts[to].ledger.hear(self, records));
    }
    clock.setTimer(STATE_EVERY_MS, () => tellState(from));
  }

  function tellView(nth: number): void {
    const from = coordinators()[nth];
    const levels = hosts[from].ledger.nearLimit();
    const {hostId} = hosts[from];
    for (let to = 0; to < hostCount; to++) {
      if (coordinators().includes(to)) continue;
      deliver(from, to, () => hosts[to].limiter.hear(hostId, levels));
    }
    clock.setTimer(VIEW_EVERY_MS, () => tellView(nth));
  }

  for (let i = 0; i < hostCount; i++) {
    clock.setTimer(random.nextInt(STATE_EVERY_MS), () => tellState(i));
  }
  for (let i = 0; i < COORDINATOR_COUNT; i++) {
    clock.setTimer(random.nextInt(VIEW_EVERY_MS), () => tellView(i));
  }

  async function arrive(): Promise<void> {
    const {limiter} = hosts[random.nextInt(hostCount)];
    const arrival = {atMs: clock.nowMs(), isAllowed: false};
    arrivals.push(arrival);
    const verdict = await limiter.take(ACCOUNT, quota, STREAM_TOKENS);
    arrival.isAllowed = verdict.kind === 'allowed';
  }

  return {
    clock,
    arrivals,
    async offer(streamsPerS, durationMs) {
      const endAtMs = clock.nowMs() + durationMs;
      for (;;) {
        const gapMs = (-Math.log(1 - random.nextFloat()) * 1_000) / streamsPerS;
        if (clock.nowMs() + gapMs >= endAtMs) break;
        await clock.advance(gapMs);
        void arrive();
      }
      await clock.advance(Math.max(0, endAtMs - clock.nowMs()));
    },
    setQuota(next) {
      quota = next;
    },
    restart(hostIndexes) {
      for (const index of hostIndexes) {
        hosts[index] = makeHost(index);
      }
    },
    changeCoordinators() {
      firstCoordinator += COORDINATOR_COUNT;
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
