/**
 * Enforces the rate limits of client accounts. A limit covers the requests that
 * all hosts admit together. Requests aren't queued: the owner of the account's
 * bucket admits or refuses each. A host that reaches no owner admits what its
 * own part of the limit holds.
 */

import type {AccountQuota} from '../../core/routing_types.js';
import type {Clock} from '../../ports/clock.js';
import type {Random} from '../../ports/random.js';
import type {PeerRequestClient} from '../fleet/peer_request_client.js';
import type {QuotaReply, QuotaRequest} from './quota_messages.js';
import {createPriorityMix} from './priority_mix.js';
import {createLimitParts, type CededTimes} from './limit_parts.js';
import type {HostIncarnation} from './limit_pools.js';
import {quotaRetryAfterMs, type AccountLevel} from './quota_rules.js';
import {reserveUnitsFor} from './reserve_rules.js';
import type {SpendingLedger, SpendingRecord} from './spending_ledger.js';

export type LimitVerdict =
  | {readonly kind: 'allowed'}
  | {
      readonly kind: 'limited';
      readonly retryAfterMs: number;
      readonly levelUnits: number;
      /** The host that refused the request; undefined if none answered. */
      readonly owner?: string;
      /** The share of the limit that the owner may grant, from 0 to 1. */
      readonly share: number;
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
  take(charge: Charge): Promise<LimitVerdict>;
  /** Returns the cost of a request that was sent to no upstream. */
  refund(account: string, costUnits: number): void;
  /** Returns the totals of this host, which its peers need. */
  spending(): readonly SpendingRecord[];
  /** Returns how long this host has ceded its parts of the limits. */
  cededTimes(): CededTimes;
  /** Stores the accounts near their limit that a coordinator sent. */
  applyLevels(coordinatorId: string, levels: readonly AccountLevel[]): void;
}

export interface AccountLimiterHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly ledger: SpendingLedger;
  self(): HostIncarnation;
  readonly client: Pick<PeerRequestClient<QuotaRequest, QuotaReply>, 'ask'>;
  readonly hostId: string;
  /** Returns the hosts that may own buckets, by this host's information. */
  ownerCandidates(): readonly string[];
}

/** Coordinators send the levels twice a second; some datagrams are lost. */
const LEVELS_VALID_MS = 2_000;
/**
 * Time constant of this host's mix of priorities. One of 70 hosts gets a few
 * requests of an account near its limit in this time.
 */
const MIX_DECAY_MS = 20_000;
/** Two owners may be lost at once; the third or this host itself answers. */
const MAX_OWNERS_ASKED = 4;

interface OwnTotals {
  offeredUnits: number;
  admittedUnits: number;
  returnedUnits: number;
}

interface ReportedLevels {
  readonly levels: ReadonlyMap<string, AccountLevel>;
  readonly heardAtMs: number;
}

export function createAccountLimiter(host: AccountLimiterHost): AccountLimiter {
  const {clock, random, ledger} = host;
  const parts = createLimitParts({
    clock,
    hostId: host.hostId,
    ownerCandidates: host.ownerCandidates,
    probe: ownerId => void probe(ownerId),
  });
  const mix = createPriorityMix(clock, MIX_DECAY_MS);
  const totals = new Map<string, OwnTotals>();
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

  /** Returns the highest rate that this host or a coordinator knows. */
  function offeredUnitsPerS(account: string): number {
    let highest = ledger.level(account)?.offeredUnitsPerS ?? 0;
    for (const [coordinatorId, {levels, heardAtMs}] of levelsByCoordinator) {
      if (clock.nowMs() - heardAtMs >= LEVELS_VALID_MS) {
        levelsByCoordinator.delete(coordinatorId);
      }
      const reported = levels.get(account)?.offeredUnitsPerS ?? 0;
      highest = Math.max(highest, reported);
    }
    return highest;
  }

  /** Returns the units to keep for more urgent requests of the account. */
  function reserveOf({account, quota, costUnits, priority}: Charge): number {
    const known = priority === undefined ? undefined : mix.of(account);
    if (priority === undefined || !known) return 0;
    const level = {
      account,
      levelUnits: 0,
      offeredUnitsPerS: offeredUnitsPerS(account),
    };
    return reserveUnitsFor(priority, known, level, quota, costUnits);
  }

  function refuse(
    {quota, costUnits}: Charge,
    owner: string | undefined,
    answer: Partial<QuotaReply> = {},
  ): LimitVerdict {
    const {levelUnits = 0, reserveUnits = 0, share = 1} = answer;
    const neededUnits = costUnits + reserveUnits;
    const draw = random.nextFloat();
    // The whole limit counts: other hosts may be able to grant it.
    const retryAfterMs = quotaRetryAfterMs(
      levelUnits,
      neededUnits,
      quota,
      draw,
    );
    const kind = 'limited';
    return {kind, retryAfterMs, levelUnits, owner, share, reserveUnits};
  }

  /** Any account will do: the owner answers all questions alike. */
  async function probe(ownerId: string): Promise<void> {
    const probing = {kind: 'quota-ask', account: '', costUnits: 0} as const;
    const answer = await host.client.ask(ownerId, probing);
    if (answer) parts.noteAnswered(ownerId);
    else parts.noteUnanswered(ownerId);
  }

  /** Asks the owners in their order until one answers. */
  async function decide(charge: Charge): Promise<LimitVerdict> {
    const {account, costUnits, priority} = charge;
    const reserveUnits = Math.round(reserveOf(charge));
    for (let i = 0; i < MAX_OWNERS_ASKED; i++) {
      const owner = parts.ownerOf(account);
      const answer = await host.client.ask(owner, {
        kind: 'quota-ask',
        account,
        costUnits,
        ...(priority !== undefined && {priority}),
        ...(reserveUnits > 0 && {reserveUnits}),
      });
      if (!answer) {
        parts.noteUnanswered(owner);
        continue;
      }
      parts.noteAnswered(owner);
      return answer.isGranted
        ? {kind: 'allowed'}
        : refuse(charge, owner, answer);
    }
    return refuse(charge, undefined);
  }

  return {
    async take(charge) {
      const {account, costUnits, priority} = charge;
      const own = totalsOf(account);
      own.offeredUnits += costUnits;
      mix.record(account, priority, costUnits);
      ledger.record(host.self(), spending(), parts.cededTimes());
      const verdict = await decide(charge);
      if (verdict.kind === 'allowed') own.admittedUnits += costUnits;
      return verdict;
    },
    refund(account, costUnits) {
      totalsOf(account).returnedUnits += costUnits;
    },
    spending,
    cededTimes: parts.cededTimes,
    applyLevels(coordinatorId, levels) {
      levelsByCoordinator.set(coordinatorId, {
        levels: new Map(levels.map(level => [level.account, level])),
        heardAtMs: clock.nowMs(),
      });
    },
  };
}
