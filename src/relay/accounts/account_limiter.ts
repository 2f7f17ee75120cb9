/**
 * Holds client accounts to their rate limits, which count what all hosts
 * together let through. Nothing waits for a place in a bucket: a request is let
 * through or refused at once, by what this host knows of all of them.
 */

import type {AccountQuota} from '../../core/routing_types.js';
import type {Clock} from '../../ports/clock.js';
import type {Random} from '../../ports/random.js';
import type {AskClient} from '../fleet/ask_client.js';
import type {QuotaAnswer, QuotaAsk} from './quota_messages.js';
import {
  fittingShare,
  quotaRetryAfterMs,
  type AccountLevel,
} from './quota_rules.js';
import type {
  SpendingHost,
  SpendingLedger,
  SpendingRecord,
} from './spending_ledger.js';

/** What a refusal goes by, for the log. */
export type LimitSource = 'owner' | 'ledger' | 'coordinator' | 'own-share';

export type LimitVerdict =
  | {readonly kind: 'allowed'}
  | {
      readonly kind: 'limited';
      readonly retryAfterMs: number;
      readonly levelUnits: number;
      readonly source: LimitSource;
      /** Since a coordinator told the level. */
      readonly ageMs: number;
    };

export interface AccountLimiter {
  /** Takes the cost from the account's bucket, unless it is limited. */
  take(
    account: string,
    quota: AccountQuota,
    costUnits: number,
  ): LimitVerdict | Promise<LimitVerdict>;
  /** The request went to no upstream after all. */
  giveBack(account: string, costUnits: number): void;
  /** What this host did, for its peers. */
  spending(): readonly SpendingRecord[];
  /** A coordinator told which accounts are near their limit. */
  hear(coordinatorId: string, levels: readonly AccountLevel[]): void;
}

export interface AccountLimiterHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly ledger: SpendingLedger;
  self(): SpendingHost;
  readonly client: Pick<AskClient<QuotaAsk, QuotaAnswer>, 'ask'>;
  /** The host that keeps the account's bucket, if one is known. */
  ownerOf(account: string): string | undefined;
  /** Whether this host hears what all others let through. */
  isHearingAll(): boolean;
  /** Hosts that share the limits, this one among them. */
  hostCount(): number;
}

/** Coordinators repeat their word twice a second; some of it is lost. */
const WORD_VALID_MS = 2_000;
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

interface Word {
  readonly levels: ReadonlyMap<string, AccountLevel>;
  readonly heardAtMs: number;
}

/** What this host knows of an account's bucket. */
interface KnownLevel {
  /** Undefined where the account is far from its limit. */
  readonly level?: AccountLevel;
  readonly source: LimitSource;
  readonly ageMs: number;
}

export function createAccountLimiter(host: AccountLimiterHost): AccountLimiter {
  const {clock, random, ledger} = host;
  const totals = new Map<string, OwnTotals>();
  const ownShares = new Map<string, OwnShare>();
  const words = new Map<string, Word>();

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

  /** The strictest of what coordinators say: one may not have heard all yet. */
  function findTold(
    account: string,
    quota: AccountQuota,
  ): KnownLevel | undefined {
    const nowMs = clock.nowMs();
    const source = 'coordinator';
    let told: KnownLevel | undefined;
    for (const [coordinatorId, {levels, heardAtMs}] of words) {
      const ageMs = nowMs - heardAtMs;
      if (ageMs >= WORD_VALID_MS) {
        words.delete(coordinatorId);
        continue;
      }
      const level = levels.get(account);
      const isStricter =
        level &&
        (!told?.level ||
          fittingShare(level, quota) < fittingShare(told.level, quota));
      if (!told || isStricter) told = {level, source, ageMs};
    }
    return told;
  }

  /** For a host that nobody tells the level: an even share of the limit. */
  function takeOwnShare(
    account: string,
    quota: AccountQuota,
    costUnits: number,
  ): LimitVerdict {
    const nowMs = clock.nowMs();
    const unitsPerS = quota.unitsPerS / host.hostCount();
    const mostUnits = quota.burstUnits / host.hostCount();
    const share = ownShares.get(account) ?? {
      levelUnits: mostUnits,
      updatedAtMs: nowMs,
    };
    ownShares.set(account, share);
    const elapsedMs = nowMs - share.updatedAtMs;
    share.levelUnits = Math.min(
      mostUnits,
      share.levelUnits + (unitsPerS * elapsedMs) / MS_PER_SECOND,
    );
    share.updatedAtMs = nowMs;
    // A share of a burst is often less than one request: it may be overdrawn.
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

  /** By the share of all requests that fits, for want of the owner's word. */
  function decideByShare(
    {level, source, ageMs}: KnownLevel,
    quota: AccountQuota,
    costUnits: number,
  ): LimitVerdict {
    if (!level) return {kind: 'allowed'};
    const share = fittingShare(level, quota);
    if (share >= 1 || random.nextFloat() < share) return {kind: 'allowed'};
    return refuse(level.levelUnits, source, ageMs, quota, costUnits);
  }

  async function askOwner(
    owner: string,
    account: string,
    quota: AccountQuota,
    costUnits: number,
    known: KnownLevel,
  ): Promise<LimitVerdict> {
    const kind = 'quota-ask';
    const answer = await host.client.ask(owner, {kind, account, costUnits});
    if (!answer) return decideByShare(known, quota, costUnits);
    if (answer.isGranted) return {kind: 'allowed'};
    return refuse(answer.levelUnits, 'owner', 0, quota, costUnits);
  }

  /** Undefined where nobody tells this host anything. */
  function findLevel(
    account: string,
    quota: AccountQuota,
  ): KnownLevel | undefined {
    if (!host.isHearingAll()) return findTold(account, quota);
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
    if (!known) return takeOwnShare(account, quota, costUnits);
    if (!known.level) return {kind: 'allowed'};
    const owner = host.ownerOf(account);
    return owner === undefined
      ? decideByShare(known, quota, costUnits)
      : askOwner(owner, account, quota, costUnits, known);
  }

  function count(
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
      ledger.hear(host.self(), spending());
      const verdict = decide(account, quota, costUnits);
      return verdict instanceof Promise
        ? verdict.then(each => count(each, own, costUnits))
        : count(verdict, own, costUnits);
    },
    giveBack(account, costUnits) {
      totalsOf(account).returnedUnits += costUnits;
      const share = ownShares.get(account);
      if (share) share.levelUnits += costUnits;
    },
    spending,
    hear(coordinatorId, levels) {
      words.set(coordinatorId, {
        levels: new Map(levels.map(level => [level.account, level])),
        heardAtMs: clock.nowMs(),
      });
    },
  };
}
