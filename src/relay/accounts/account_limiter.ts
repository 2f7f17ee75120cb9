/**
 * Enforces the rate limits of client accounts. A limit covers the requests that
 * all hosts admit together. Requests aren't queued: each is admitted or refused
 * by the best information that this host has about the account's bucket.
 */

import type {AccountQuota} from '../../core/routing_types.js';
import type {Clock} from '../../ports/clock.js';
import type {Random} from '../../ports/random.js';
import type {PeerRequestClient} from '../fleet/peer_request_client.js';
import type {QuotaReply, QuotaRequest} from './quota_messages.js';
import {
  admissibleShare,
  quotaRetryAfterMs,
  type AccountLevel,
} from './quota_rules.js';
import type {
  HostIncarnation,
  SpendingLedger,
  SpendingRecord,
} from './spending_ledger.js';

/** The information that a refusal is based on, for the log. */
export type LimitSource = 'owner' | 'ledger' | 'coordinator' | 'own-share';

export type LimitVerdict =
  | {readonly kind: 'allowed'}
  | {
      readonly kind: 'limited';
      readonly retryAfterMs: number;
      readonly levelUnits: number;
      readonly source: LimitSource;
      /** Time since a coordinator sent the level. */
      readonly ageMs: number;
    };

export interface AccountLimiter {
  /** Takes the cost from the account's bucket, unless it is limited. */
  take(
    account: string,
    quota: AccountQuota,
    costUnits: number,
  ): LimitVerdict | Promise<LimitVerdict>;
  /** Returns the cost of a request that was sent to no upstream. */
  refund(account: string, costUnits: number): void;
  /** Returns the totals of this host, which its peers need. */
  spending(): readonly SpendingRecord[];
  /** Stores the accounts near their limit that a coordinator sent. */
  applyLevels(coordinatorId: string, levels: readonly AccountLevel[]): void;
}

export interface AccountLimiterHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly ledger: SpendingLedger;
  self(): HostIncarnation;
  readonly client: Pick<PeerRequestClient<QuotaRequest, QuotaReply>, 'ask'>;
  /** Returns the host that owns the account's bucket, if one is known. */
  ownerOf(account: string): string | undefined;
  /** Returns whether this host receives the spending of all other hosts. */
  hasAllSpending(): boolean;
  /** Returns the number of hosts that share the limits, including this one. */
  hostCount(): number;
}

/** Coordinators send the levels twice a second; some datagrams are lost. */
const LEVELS_VALID_MS = 2_000;
const MS_PER_SECOND = 1_000;

interface OwnTotals {
  offeredUnits: number;
  admittedUnits: number;
  returnedUnits: number;
}

interface OwnShare {
  levelUnits: number;
  updatedAtMs: number;
}

interface ReportedLevels {
  readonly levels: ReadonlyMap<string, AccountLevel>;
  readonly heardAtMs: number;
}

/** The level of an account's bucket as far as this host knows it. */
interface KnownLevel {
  /** Undefined if the account isn't near its limit. */
  readonly level?: AccountLevel;
  readonly source: LimitSource;
  readonly ageMs: number;
}

export function createAccountLimiter(host: AccountLimiterHost): AccountLimiter {
  const {clock, random, ledger} = host;
  const totals = new Map<string, OwnTotals>();
  const ownShares = new Map<string, OwnShare>();
  const levelsByCoordinator = new Map<string, ReportedLevels>();

  function totalsOf(account: string): OwnTotals {
    const known = totals.get(account) ?? {
      offeredUnits: 0,
      admittedUnits: 0,
      returnedUnits: 0,
    };
    totals.set(account, known);
    return known;
  }

  const spending = (): readonly SpendingRecord[] =>
    [...totals].map(([account, own]) => ({
      account,
      offeredUnits: Math.round(own.offeredUnits),
      admittedUnits: Math.round(own.admittedUnits),
      returnedUnits: Math.round(own.returnedUnits),
    }));

  /**
   * Returns the strictest of the coordinators' levels, since one of them may
   * not have received the spending of all hosts yet.
   */
  function findReportedLevel(
    account: string,
    quota: AccountQuota,
  ): KnownLevel | undefined {
    const nowMs = clock.nowMs();
    const source = 'coordinator';
    let strictest: KnownLevel | undefined;
    for (const [coordinatorId, {levels, heardAtMs}] of levelsByCoordinator) {
      const ageMs = nowMs - heardAtMs;
      if (ageMs >= LEVELS_VALID_MS) {
        levelsByCoordinator.delete(coordinatorId);
        continue;
      }
      const level = levels.get(account);
      const isStricter =
        level &&
        (!strictest?.level ||
          admissibleShare(level, quota) <
            admissibleShare(strictest.level, quota));
      if (!strictest || isStricter) strictest = {level, source, ageMs};
    }
    return strictest;
  }

  /**
   * Applies an even share of the limit, for a host that has no level from the
   * ledger or from a coordinator.
   */
  function takeFromOwnShare(
    account: string,
    quota: AccountQuota,
    costUnits: number,
  ): LimitVerdict {
    const nowMs = clock.nowMs();
    const unitsPerS = quota.unitsPerS / host.hostCount();
    const capacityUnits = quota.burstUnits / host.hostCount();
    const share = ownShares.get(account) ?? {
      levelUnits: capacityUnits,
      updatedAtMs: nowMs,
    };
    ownShares.set(account, share);
    const elapsedMs = nowMs - share.updatedAtMs;
    share.levelUnits = Math.min(
      capacityUnits,
      share.levelUnits + (unitsPerS * elapsedMs) / MS_PER_SECOND,
    );
    share.updatedAtMs = nowMs;
    // The share of a burst is often smaller than one request, so the bucket may
    // go below zero.
    if (share.levelUnits > 0) {
      share.levelUnits -= costUnits;
      return {kind: 'allowed'};
    }
    const ownQuota = {...quota, unitsPerS};
    return refuse(share.levelUnits, 'own-share', 0, ownQuota, costUnits);
  }

  function refuse(
    levelUnits: number,
    source: LimitSource,
    ageMs: number,
    quota: AccountQuota,
    costUnits: number,
  ): LimitVerdict {
    const draw = random.nextFloat();
    const retryAfterMs = quotaRetryAfterMs(levelUnits, costUnits, quota, draw);
    return {kind: 'limited', retryAfterMs, levelUnits, source, ageMs};
  }

  /** Admits a random share of the requests when no owner has decided. */
  function admitByShare(
    {level, source, ageMs}: KnownLevel,
    quota: AccountQuota,
    costUnits: number,
  ): LimitVerdict {
    if (!level) return {kind: 'allowed'};
    const share = admissibleShare(level, quota);
    if (share >= 1 || random.nextFloat() < share) return {kind: 'allowed'};
    return refuse(level.levelUnits, source, ageMs, quota, costUnits);
  }

  async function requestFromOwner(
    owner: string,
    account: string,
    quota: AccountQuota,
    costUnits: number,
    known: KnownLevel,
  ): Promise<LimitVerdict> {
    const kind = 'quota-ask';
    const answer = await host.client.ask(owner, {kind, account, costUnits});
    if (!answer) return admitByShare(known, quota, costUnits);
    if (answer.isGranted) return {kind: 'allowed'};
    return refuse(answer.levelUnits, 'owner', 0, quota, costUnits);
  }

  /** Returns undefined if this host has no current information. */
  function findLevel(
    account: string,
    quota: AccountQuota,
  ): KnownLevel | undefined {
    if (!host.hasAllSpending()) return findReportedLevel(account, quota);
    const isNear = ledger.isNearLimit(account);
    const level = isNear ? ledger.level(account) : undefined;
    return {level, source: 'ledger', ageMs: 0};
  }

  function decide(
    account: string,
    quota: AccountQuota,
    costUnits: number,
  ): LimitVerdict | Promise<LimitVerdict> {
    const known = findLevel(account, quota);
    if (!known) return takeFromOwnShare(account, quota, costUnits);
    if (!known.level) return {kind: 'allowed'};
    const owner = host.ownerOf(account);
    return owner === undefined
      ? admitByShare(known, quota, costUnits)
      : requestFromOwner(owner, account, quota, costUnits, known);
  }

  function countAdmitted(
    verdict: LimitVerdict,
    own: OwnTotals,
    costUnits: number,
  ): LimitVerdict {
    if (verdict.kind === 'allowed') own.admittedUnits += costUnits;
    return verdict;
  }

  return {
    take(account, quota, costUnits) {
      const own = totalsOf(account);
      own.offeredUnits += costUnits;
      ledger.record(host.self(), spending());
      const verdict = decide(account, quota, costUnits);
      return verdict instanceof Promise
        ? verdict.then(each => countAdmitted(each, own, costUnits))
        : countAdmitted(verdict, own, costUnits);
    },
    refund(account, costUnits) {
      totalsOf(account).returnedUnits += costUnits;
      const share = ownShares.get(account);
      if (share) share.levelUnits += costUnits;
    },
    spending,
    applyLevels(coordinatorId, levels) {
      levelsByCoordinator.set(coordinatorId, {
        levels: new Map(levels.map(level => [level.account, level])),
        heardAtMs: clock.nowMs(),
      });
    },
  };
}
