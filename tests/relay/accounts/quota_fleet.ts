/**
 * Simulates hosts that enforce the limit of one account, in virtual time. Three
 * hosts are coordinators, datagrams are delayed and may be lost, and hosts may
 * restart.
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
import {createQuotaOwner} from '../../../src/relay/accounts/quota_owner.js';
import type {
  QuotaReply,
  QuotaRequest,
  QuotaMessage,
} from '../../../src/relay/accounts/quota_messages.js';
import {
  createLimitPools,
  type HostIncarnation,
} from '../../../src/relay/accounts/limit_pools.js';
import {
  createSpendingLedger,
  type SpendingLedger,
} from '../../../src/relay/accounts/spending_ledger.js';
import {rankOwners} from '../../../src/relay/fleet/owners.js';
import {createPeerRequestClient} from '../../../src/relay/fleet/peer_request_client.js';
import {createPeerRequestServer} from '../../../src/relay/fleet/peer_request_server.js';

export const ACCOUNT = 'rmtp';
/** Allows about seven streams per second. */
export const QUOTA: AccountQuota = {
  unit: 'tokens',
  unitsPerS: 36_000,
  burstUnits: 36_000,
  tokensOfPlainRequest: 200,
};
export const STREAM_TOKENS = 5_300;

const COORDINATOR_COUNT = 3;
const STATE_INTERVAL_MS = 600;
const LEVELS_INTERVAL_MS = 500;
const LINK_DELAY_MS = 5;
/** Time until hosts know which others they reach. */
const DETECTION_MS = 2_000;
export const LIMIT_SLACK = 140_000;
/** As in `relay_accounts.ts`. */
const TOLERANCE_UNITS = (LIMIT_SLACK * 3) / 4;
const MAX_HOSTS = 300;
/** The first one owns the account if all are candidates, and so on. */
const HOST_IDS = rankOwners(
  'quota',
  ACCOUNT,
  Array.from({length: MAX_HOSTS}, (_, i) => `host-${i}`),
);

interface QuotaHost {
  readonly hostId: string;
  readonly limiter: AccountLimiter;
  readonly ledger: SpendingLedger;
  self(): HostIncarnation;
  receive(fromHostId: string, message: QuotaMessage): void;
}

/** A request that was admitted or refused. */
export interface Arrival {
  readonly atMs: number;
  readonly isAllowed: boolean;
  readonly priority?: number;
}

export interface QuotaFleetOptions {
  /** Whether the first coordinator answers hosts that ask; true if absent. */
  readonly isOwned?: boolean;
  /** Of the account; `QUOTA` if absent. */
  readonly quota?: AccountQuota;
  readonly costUnits?: number;
  /** Shares of the priorities 0, 1, … of the streams; none if absent. */
  readonly priorityShares?: readonly number[];
  /** Replaces the reserve that the owner learned, to compare other rules. */
  readonly reserveOf?: (request: QuotaRequest) => number | undefined;
  /** Hosts with smaller indexes are of the build without priorities. */
  readonly oldHostCount?: number;
}

export interface QuotaFleet {
  readonly clock: VirtualClock;
  readonly arrivals: readonly Arrival[];
  /** Sends streams of the account to random hosts at this rate. */
  offer(streamsPerS: number, durationMs: number): Promise<void>;
  setQuota(quota: AccountQuota): void;
  restart(hostIndexes: readonly number[]): void;
  /** Makes three other hosts the coordinators. */
  changeCoordinators(): void;
  /** Partitions these hosts from all others; replaces earlier partitions. */
  cut(hostIndexes: readonly number[]): void;
  /** Partitions the hosts by the side of each; replaces earlier partitions. */
  split(sideOf: (hostIndex: number) => number): void;
  /** Loses what passes from one host to another, in one direction. */
  setLinkFilter(isLost: (from: number, to: number) => boolean): void;
  setLossShare(share: number): void;
  /** Lets every second host regard another coordinator as the owner. */
  setTwoOwners(hasTwo: boolean): void;
  /** Returns the maximum of tokens admitted in any window of this length. */
  maxTokensInWindow(windowMs: number): number;
  /**
   * Returns the share of the streams since `sinceMs` that were admitted, of one
   * priority or of all.
   */
  allowedShareSince(sinceMs: number, priority?: number): number;
  /** Returns the share that a single bucket without delay would admit. */
  idealShareSince(sinceMs: number): number;
}

export function makeQuotaFleet(
  hostCount: number,
  seed: number,
  options: QuotaFleetOptions = {},
): QuotaFleet {
  const {isOwned = true, priorityShares = [], oldHostCount = 0} = options;
  const {costUnits = STREAM_TOKENS} = options;
  const clock = createVirtualClock(1_000);
  const random = createSeededRandom(seed);
  /** Separate, so that all rules for priorities get the same load. */
  const loadRandom =
    priorityShares.length > 0 ? createSeededRandom(seed + 1_000) : random;
  const arrivals: Arrival[] = [];
  let sides: readonly number[] = Array.from({length: hostCount}, () => 0);
  let splitAtMs = Number.NEGATIVE_INFINITY;
  let isLinkLost: (from: number, to: number) => boolean = () => false;
  let quota = options.quota ?? QUOTA;
  let lossShare = 0;
  let incarnationCount = 0;
  let firstCoordinator = 0;
  let hasTwoOwners = false;
  let askPriority: number | undefined;

  function makeHost(index: number): QuotaHost {
    const hostId = HOST_IDS[index];
    const incarnation = `life-${incarnationCount++}`;
    const bornAtMs = clock.nowMs();
    const self = () => ({
      hostId,
      incarnation,
      aliveMs: clock.nowMs() - bornAtMs,
    });
    const quotaOf = () => quota;
    const pools = createLimitPools({
      ...{clock, random, hostId, quotaOf, hostCount: () => hostCount},
      toleranceUnits: () => TOLERANCE_UNITS,
    });
    const ledger = createSpendingLedger({clock, pools, quotaOf});
    let asked: QuotaRequest | undefined;
    const grant: SpendingLedger['grant'] = (from, account, cost, reserve) => {
      const {reserveOf = () => reserve} = options;
      return ledger.grant(from, account, cost, asked && reserveOf(asked));
    };
    const owner = createQuotaOwner({
      clock,
      ledger: {...ledger, grant},
      pools,
      onInvalidField: () => undefined,
    });
    const tell = (toHostId: string, message: QuotaMessage) => {
      const to = hosts.findIndex(each => each.hostId === toHostId);
      if (to === index) hosts[to].receive(hostId, message);
      else deliver(index, to, () => hosts[to].receive(hostId, message));
    };
    const firstAskId = incarnationCount * 1_000_000;
    const client = createPeerRequestClient<QuotaRequest, QuotaReply>({
      clock,
      firstAskId,
      tell,
    });
    const server = createPeerRequestServer<QuotaRequest, QuotaReply>({
      decide(from, {priority, reserveUnits, ...request}) {
        asked = {...request, priority, reserveUnits};
        return owner.handle(from, index < oldHostCount ? request : asked);
      },
      tell,
    });
    const limiter = createAccountLimiter({
      clock,
      random,
      ledger,
      self,
      client,
      hostId,
      ownerCandidates: () => candidates(index).map(each => HOST_IDS[each]),
    });
    return {
      hostId,
      limiter,
      ledger,
      self,
      receive(fromHostId, message) {
        const isIgnored = !isOwned && index === firstCoordinator;
        if (isIgnored && fromHostId !== hostId) return;
        if (message.kind === 'quota-ask') server.receive(fromHostId, message);
        else client.receive(fromHostId, message);
      },
    };
  }

  const hosts: QuotaHost[] = [];
  for (let i = 0; i < hostCount; i++) hosts.push(makeHost(i));

  const coordinators = () =>
    Array.from({length: COORDINATOR_COUNT}, (_, i) => firstCoordinator + i);

  /** The hosts from which this one expects answers. */
  function candidates(index: number): readonly number[] {
    if (hasTwoOwners) return [firstCoordinator + (index % 2)];
    if (clock.nowMs() - splitAtMs < DETECTION_MS) return coordinators();
    const onSide = sides
      .map((side, each) => (side === sides[index] ? each : -1))
      .filter(each => each >= 0);
    const ranked = [
      ...onSide.filter(each => each >= firstCoordinator),
      ...onSide,
    ];
    return ranked.slice(0, Math.min(COORDINATOR_COUNT, onSide.length));
  }

  function split(next: readonly number[]): void {
    sides = next;
    splitAtMs = clock.nowMs();
  }

  function deliver(from: number, to: number, action: () => void): void {
    if (sides[from] !== sides[to] || isLinkLost(from, to)) return;
    if (random.nextFloat() < lossShare) return;
    clock.setTimer(LINK_DELAY_MS, action);
  }

  function sendState(from: number): void {
    const records = hosts[from].limiter.spending();
    const self = hosts[from].self();
    const ceded = hosts[from].limiter.cededTimes();
    hosts[from].ledger.record(self, records, ceded);
    for (const to of candidates(from)) {
      if (to === from) continue;
      deliver(from, to, () => hosts[to].ledger.record(self, records, ceded));
    }
    clock.setTimer(STATE_INTERVAL_MS, () => sendState(from));
  }

  function sendLevels(nth: number): void {
    const from = coordinators()[nth];
    const levels = hosts[from].ledger.nearLimit();
    const {hostId} = hosts[from];
    for (let to = 0; to < hostCount; to++) {
      if (coordinators().includes(to)) continue;
      deliver(from, to, () => hosts[to].limiter.applyLevels(hostId, levels));
    }
    clock.setTimer(LEVELS_INTERVAL_MS, () => sendLevels(nth));
  }

  for (let i = 0; i < hostCount; i++) {
    clock.setTimer(random.nextInt(STATE_INTERVAL_MS), () => sendState(i));
  }
  for (let i = 0; i < COORDINATOR_COUNT; i++) {
    clock.setTimer(random.nextInt(LEVELS_INTERVAL_MS), () => sendLevels(i));
  }

  /** Draws the priority of a stream, if there are priorities. */
  function drawPriority(): number | undefined {
    if (priorityShares.length === 0) return undefined;
    let draw = loadRandom.nextFloat();
    const found = priorityShares.findIndex(share => (draw -= share) < 0);
    return found < 0 ? priorityShares.length - 1 : found;
  }

  async function arrive(): Promise<void> {
    const index = loadRandom.nextInt(hostCount);
    const {limiter} = hosts[index];
    const priority = drawPriority();
    askPriority = index < oldHostCount ? undefined : priority;
    const arrival = {atMs: clock.nowMs(), isAllowed: false, priority};
    arrivals.push(arrival);
    const verdict = await limiter.take({
      account: ACCOUNT,
      quota,
      costUnits,
      priority: askPriority,
    });
    arrival.isAllowed = verdict.kind === 'allowed';
  }

  return {
    clock,
    arrivals,
    async offer(streamsPerS, durationMs) {
      const endAtMs = clock.nowMs() + durationMs;
      for (;;) {
        const gapMs =
          (-Math.log(1 - loadRandom.nextFloat()) * 1_000) / streamsPerS;
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
      split(
        sides.map((_, each) => (hostIndexes.includes(each) ? each + 1 : 0)),
      );
    },
    split: sideOf => split(sides.map((_, index) => sideOf(index))),
    setLinkFilter(isLost) {
      isLinkLost = isLost;
    },
    setLossShare(share) {
      lossShare = share;
    },
    setTwoOwners(hasTwo) {
      hasTwoOwners = hasTwo;
    },
    maxTokensInWindow(windowMs) {
      const allowed = arrivals.filter(each => each.isAllowed);
      let most = 0;
      let first = 0;
      for (let last = 0; last < allowed.length; last++) {
        while (allowed[last].atMs - allowed[first].atMs > windowMs) first++;
        most = Math.max(most, last - first + 1);
      }
      return most * costUnits;
    },
    idealShareSince(sinceMs) {
      let levelUnits = quota.burstUnits;
      let updatedAtMs = 0;
      let offered = 0;
      let allowed = 0;
      for (const {atMs} of arrivals) {
        const gained = ((atMs - updatedAtMs) * quota.unitsPerS) / 1_000;
        levelUnits = Math.min(quota.burstUnits, levelUnits + gained);
        updatedAtMs = atMs;
        const isAllowed = levelUnits >= costUnits;
        if (isAllowed) levelUnits -= costUnits;
        if (atMs < sinceMs) continue;
        offered++;
        allowed += Number(isAllowed);
      }
      return allowed / offered;
    },
    allowedShareSince(sinceMs, ofPriority) {
      const since = arrivals.filter(
        ({atMs, priority = ofPriority}) =>
          atMs >= sinceMs && priority === (ofPriority ?? priority),
      );
      const allowed = since.filter(({isAllowed}) => isAllowed);
      return allowed.length / since.length;
    },
  };
}
