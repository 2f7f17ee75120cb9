/**
 * The buckets of all accounts, from what all hosts say that they let through.
 *
 * Hosts tell running totals, so that a lost datagram costs nothing. A ledger
 * that has just begun starts with empty buckets: it does not know what was let
 * through a moment ago, and an empty bucket refuses nobody who keeps to the
 * rate.
 */

import type {Clock} from '../../ports/clock.js';
import type {AccountQuota} from './client_account.js';
import {fittingShare, type AccountLevel} from './quota_rules.js';

/** What one host did for one account in its present life. */
export interface SpendingRecord {
  readonly account: string;
  /** Units of all requests, those refused among them. */
  readonly offeredUnits: number;
  /** Units of the requests that went to an upstream. */
  readonly admittedUnits: number;
}

/** One life of a host. */
export interface SpendingHost {
  readonly hostId: string;
  readonly incarnation: string;
}

export interface SpendingLedgerHost {
  readonly clock: Clock;
  quotaOf(account: string): AccountQuota | undefined;
}

export interface SpendingLedger {
  hear(host: SpendingHost, records: readonly SpendingRecord[]): void;
  /** Undefined for an account without a limit. */
  level(account: string): AccountLevel | undefined;
  /** Accounts that are near their limit, for hosts that keep no ledger. */
  nearLimit(): readonly AccountLevel[];
}

/** Requests come in lumps; over this time they are taken for a rate. */
const OFFERED_MEAN_MS = 1_000;
/** A host that appears after this is new, and its totals are all recent. */
const SETTLED_AFTER_MS = 3_000;
/** An account is near its limit when this much of what it asks for fits. */
const NEAR_LIMIT_SHARE = 2;
const MS_PER_SECOND = 1_000;

interface Bucket {
  levelUnits: number;
  /** Units offered, each fading with `OFFERED_MEAN_MS`. */
  offeredUnits: number;
  updatedAtMs: number;
}

interface HostTotals {
  readonly incarnation: string;
  readonly byAccount: Map<string, SpendingRecord>;
}

const NOTHING: Omit<SpendingRecord, 'account'> = {
  offeredUnits: 0,
  admittedUnits: 0,
};

export function createSpendingLedger(host: SpendingLedgerHost): SpendingLedger {
  const {clock} = host;
  const startedAtMs = clock.nowMs();
  const buckets = new Map<string, Bucket>();
  const totals = new Map<string, HostTotals>();

  function refill(account: string, quota: AccountQuota): Bucket {
    const nowMs = clock.nowMs();
    const bucket = buckets.get(account) ?? {
      levelUnits: 0,
      offeredUnits: 0,
      updatedAtMs: nowMs,
    };
    buckets.set(account, bucket);
    const elapsedMs = nowMs - bucket.updatedAtMs;
    const gained = (quota.unitsPerS * elapsedMs) / MS_PER_SECOND;
    bucket.levelUnits = Math.min(quota.burstUnits, bucket.levelUnits + gained);
    bucket.offeredUnits *= Math.exp(-elapsedMs / OFFERED_MEAN_MS);
    bucket.updatedAtMs = nowMs;
    return bucket;
  }

  function charge(record: SpendingRecord, before: typeof NOTHING): void {
    const quota = host.quotaOf(record.account);
    if (!quota) return;
    const bucket = refill(record.account, quota);
    bucket.levelUnits -= record.admittedUnits - before.admittedUnits;
    bucket.offeredUnits += record.offeredUnits - before.offeredUnits;
  }

  function level(account: string): AccountLevel | undefined {
    const quota = host.quotaOf(account);
    if (!quota) return undefined;
    const {levelUnits, offeredUnits} = refill(account, quota);
    const offeredUnitsPerS = (offeredUnits * MS_PER_SECOND) / OFFERED_MEAN_MS;
    return {account, levelUnits, offeredUnitsPerS};
  }

  function isNearLimit(each: AccountLevel): boolean {
    const quota = host.quotaOf(each.account);
    return !!quota && fittingShare(each, quota) < NEAR_LIMIT_SHARE;
  }

  return {
    hear({hostId, incarnation}, records) {
      const known = totals.get(hostId);
      const isKnown = known?.incarnation === incarnation;
      const byAccount = isKnown
        ? known.byAccount
        : new Map<string, SpendingRecord>();
      totals.set(hostId, {incarnation, byAccount});
      const isSettled = clock.nowMs() - startedAtMs >= SETTLED_AFTER_MS;
      for (const record of records) {
        // What a host had let through before this ledger began is no news.
        const isNews = isKnown || isSettled;
        const before = byAccount.get(record.account);
        if (isNews) charge(record, before ?? NOTHING);
        byAccount.set(record.account, record);
      }
    },
    level,
    nearLimit: () =>
      [...buckets.keys()]
        .map(level)
        .filter(each => each !== undefined)
        .filter(isNearLimit),
  };
}
