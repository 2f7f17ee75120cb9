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
import {createPriorityMix} from './priority_mix.js';
import {
  admissibleShare,
  quotaRetryAfterMs,
  type AccountLevel,
} from './quota_rules.js';
import {admissibleShareOf, reserveUnitsFor} from './reserve_rules.js';
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
      /** Units kept for more urgent requests of the account. */
      readonly reserveUnits: number;
    };

/** A request to be charged to its account. */
export interface Charge {
  readonly account: string;
  readonly quota: AccountQuota;
  readonly costUnits: number;
  /**
   * 0 is the most urgent. Undefined if all requests of the account are equally
   * urgent.
   */
  readonly priority?: number;
}

export interface AccountLimiter {
  /** Takes the cost from the account's bucket, unless it is limited. */
  take(charge: Charge): LimitVerdict | Promise<LimitVerdict>;
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
/**
 * Time constant of this host's mix of priorities. One of 70 hosts gets a few
 * requests of an account near its limit in this time.
 */
const MIX_DECAY_MS = 20_000;
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
  const mix = createPriorityMix(clock, MIX_DECAY_MS);
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
  function takeFromOwnShare(charge: Charge): LimitVerdict {
    const {account, costUnits, priority} = charge;
    const nowMs = clock.nowMs();
    const quota = {
      ...charge.quota,
      unitsPerS: charge.quota.unitsPerS / host.hostCount(),
      burstUnits: charge.quota.burstUnits / host.hostCount(),
    };
    const share = ownShares.get(account) ?? {
      levelUnits: quota.burstUnits,
      updatedAtMs: nowMs,
    };
    ownShares.set(account, share);
    const elapsedMs = nowMs - share.updatedAtMs;
    share.levelUnits = Math.min(
      quota.burstUnits,
      share.levelUnits + (quota.unitsPerS * elapsedMs) / MS_PER_SECOND,
    );
    share.updatedAtMs = nowMs;
    const {levelUnits} = share;
    const offeredUnitsPerS = mix.of(account)?.unitsPerS ?? 0;
    const level = {account, levelUnits, offeredUnitsPerS};
    // The share of a burst is often smaller than one request, so the bucket may
    // go below zero, and a request needs no room besides the reserve.
    const own = {account, quota, costUnits: 0, priority};
    const reserveUnits = reserveOf(own, level);
    if (levelUnits > reserveUnits) {
      share.levelUnits -= costUnits;
      return {kind: 'allowed'};
    }
    const known = {level, source: 'own-share' as const, ageMs: 0};
    return refuse({...charge, quota}, known, reserveUnits);
  }

  /** Returns the units to keep for more urgent requests of the account. */
  function reserveOf(charge: Charge, level: AccountLevel): number {
    const {account, quota, costUnits, priority} = charge;
    const known = priority === undefined ? undefined : mix.of(account);
    if (priority === undefined || !known) return 0;
    return reserveUnitsFor(priority, known, level, quota, costUnits);
  }

  function refuse(
    {quota, costUnits}: Charge,
    {level, source, ageMs}: Required<KnownLevel>,
    reserveUnits: number,
  ): LimitVerdict {
    const {levelUnits} = level;
    const neededUnits = costUnits + reserveUnits;
    const draw = random.nextFloat();
    const retryAfterMs = quotaRetryAfterMs(
      levelUnits,
      neededUnits,
      quota,
      draw,
    );
    const kind = 'limited';
    return {kind, retryAfterMs, levelUnits, source, ageMs, reserveUnits};
  }

  /**
   * Admits a random share of the requests when no owner has decided, the share
   * of urgent requests first.
   */
  function admitByShare(
    charge: Charge,
    known: Required<KnownLevel>,
  ): LimitVerdict {
    const {account, quota, priority} = charge;
    const shareOfAll = admissibleShare(known.level, quota);
    const knownMix = priority === undefined ? undefined : mix.of(account);
    const share =
      priority === undefined || !knownMix
        ? shareOfAll
        : admissibleShareOf(priority, knownMix, shareOfAll);
    if (share >= 1 || random.nextFloat() < share) return {kind: 'allowed'};
    return refuse(charge, known, 0);
  }

  async function requestFromOwner(
    owner: string,
    charge: Charge,
    known: Required<KnownLevel>,
  ): Promise<LimitVerdict> {
    const {account, costUnits, priority} = charge;
    const reserveUnits = Math.round(reserveOf(charge, known.level));
    const answer = await host.client.ask(owner, {
      kind: 'quota-ask',
      account,
      costUnits,
      ...(priority !== undefined && {priority}),
      ...(reserveUnits > 0 && {reserveUnits}),
    });
    if (!answer) return admitByShare(charge, known);
    if (answer.isGranted) return {kind: 'allowed'};
    const level = {...known.level, levelUnits: answer.levelUnits};
    const applied = answer.reserveUnits ?? 0;
    return refuse(charge, {level, source: 'owner', ageMs: 0}, applied);
  }

  /** Returns undefined if this host has no current information. */
  function findLevel({account, quota}: Charge): KnownLevel | undefined {
    if (!host.hasAllSpending()) return findReportedLevel(account, quota);
    const isNear = ledger.isNearLimit(account);
    const level = isNear ? ledger.level(account) : undefined;
    return {level, source: 'ledger', ageMs: 0};
  }

  function decide(charge: Charge): LimitVerdict | Promise<LimitVerdict> {
    const known = findLevel(charge);
    if (!known) return takeFromOwnShare(charge);
    const {level} = known;
    if (!level) return {kind: 'allowed'};
    const near = {...known, level};
    const owner = host.ownerOf(charge.account);
    return owner === undefined
      ? admitByShare(charge, near)
      : requestFromOwner(owner, charge, near);
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
    take(charge) {
      const {account, costUnits, priority} = charge;
      const own = totalsOf(account);
      own.offeredUnits += costUnits;
      mix.record(account, priority, costUnits);
      ledger.record(host.self(), spending());
      const verdict = decide(charge);
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
