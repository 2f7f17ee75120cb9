/**
 * The buckets of all accounts, from what all hosts say that they let through.
 *
 * Hosts tell running totals, so that a lost datagram costs nothing. A ledger
 * that has just begun does not know what was let through a moment ago: its
 * buckets are neither full, which would let a burst through twice, nor empty,
 * which would refuse accounts that keep to their rate.
 */

import type {AccountQuota} from '../../core/routing_types.js';
import type {Clock} from '../../ports/clock.js';
import {isNearLimit, type AccountLevel} from './quota_rules.js';

/** What one host did for one account in its present life. */
export interface SpendingRecord {
  readonly account: string;
  /** Units of all requests, those refused among them. */
  readonly offeredUnits: number;
  /** Units of the requests that were let through. */
  readonly admittedUnits: number;
  /** Of these, units of requests that went to no upstream after all. */
  readonly returnedUnits: number;
}

/** One life of a host. */
export interface SpendingHost {
  readonly hostId: string;
  readonly incarnation: string;
  /** Since this life began. */
  readonly aliveMs: number;
}

export interface SpendingLedgerHost {
  readonly clock: Clock;
  quotaOf(account: string): AccountQuota | undefined;
}

export interface SpendingLedger {
  hear(host: SpendingHost, records: readonly SpendingRecord[]): void;
  /**
   * Takes a place in the bucket for a request of the host, if there is one. The
   * host's own totals, which count it later, are not charged for it again.
   */
  grant(hostId: string, account: string, costUnits: number): boolean;
  /** Undefined for an account without a limit. */
  level(account: string): AccountLevel | undefined;
  /** Whether the account is near its limit. */
  isNearLimit(account: string): boolean;
  /** Accounts that are near their limit, for hosts that keep no ledger. */
  nearLimit(): readonly AccountLevel[];
}

/** Part of a full bucket that one holds whose past is not known. */
const FIRST_LEVEL = 0.5;
/** Requests come in lumps; over this time they are taken for a rate. */
const OFFERED_MEAN_MS = 1_000;
/** A host that began its life within this time has recent totals only. */
const NEW_HOST_MS = 3_000;
/** From when a request is let through until its host tells it, on the mean. */
const MEAN_DELAY_MS = 300;
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
  /** By account: units granted that the host's totals do not show yet. */
  readonly granted: Map<string, number>;
}

const NOTHING: Omit<SpendingRecord, 'account'> = {
  offeredUnits: 0,
  admittedUnits: 0,
  returnedUnits: 0,
};

export function createSpendingLedger(host: SpendingLedgerHost): SpendingLedger {
  const {clock} = host;
  const buckets = new Map<string, Bucket>();
  const totals = new Map<string, HostTotals>();

  /**
   * What hosts have let through and not yet told is still in the bucket. A full
   * one would lose as much of what it gains meanwhile.
   */
  function fullUnits({offeredUnits}: Bucket, quota: AccountQuota): number {
    const offeredUnitsPerS = (offeredUnits * MS_PER_SECOND) / OFFERED_MEAN_MS;
    const untoldPerS = Math.min(quota.unitsPerS, offeredUnitsPerS);
    return quota.burstUnits + (untoldPerS * MEAN_DELAY_MS) / MS_PER_SECOND;
  }

  function refill(account: string, quota: AccountQuota): Bucket {
    const nowMs = clock.nowMs();
    const bucket = buckets.get(account) ?? {
      levelUnits: quota.burstUnits * FIRST_LEVEL,
      offeredUnits: 0,
      updatedAtMs: nowMs,
    };
    buckets.set(account, bucket);
    const elapsedMs = nowMs - bucket.updatedAtMs;
    const gained = (quota.unitsPerS * elapsedMs) / MS_PER_SECOND;
    const mostUnits = fullUnits(bucket, quota);
    bucket.levelUnits = Math.min(mostUnits, bucket.levelUnits + gained);
    bucket.offeredUnits *= Math.exp(-elapsedMs / OFFERED_MEAN_MS);
    bucket.updatedAtMs = nowMs;
    return bucket;
  }

  function charge(
    record: SpendingRecord,
    before: typeof NOTHING,
    {granted}: HostTotals,
  ): void {
    const {account} = record;
    const quota = host.quotaOf(account);
    if (!quota) return;
    const bucket = refill(account, quota);
    const admittedUnits = record.admittedUnits - before.admittedUnits;
    const grantedUnits = granted.get(account) ?? 0;
    const chargedBefore = Math.max(0, Math.min(grantedUnits, admittedUnits));
    granted.set(account, grantedUnits - chargedBefore);
    const returnedUnits = record.returnedUnits - before.returnedUnits;
    bucket.levelUnits += returnedUnits + chargedBefore - admittedUnits;
    bucket.offeredUnits += record.offeredUnits - before.offeredUnits;
  }

  function level(account: string): AccountLevel | undefined {
    const quota = host.quotaOf(account);
    if (!quota) return undefined;
    const {levelUnits, offeredUnits} = refill(account, quota);
    const offeredUnitsPerS = (offeredUnits * MS_PER_SECOND) / OFFERED_MEAN_MS;
    return {account, levelUnits, offeredUnitsPerS};
  }

  function isNear(each: AccountLevel): boolean {
    const quota = host.quotaOf(each.account);
    return !!quota && isNearLimit(each, quota);
  }

  return {
    hear({hostId, incarnation, aliveMs}, records) {
      const known = totals.get(hostId);
      const isKnown = known?.incarnation === incarnation;
      const ofHost: HostTotals = isKnown
        ? known
        : {incarnation, byAccount: new Map(), granted: new Map()};
      const {byAccount} = ofHost;
      totals.set(hostId, ofHost);
      // Who begins to keep a ledger hears of hosts that have run for hours.
      const isNews = isKnown || aliveMs < NEW_HOST_MS;
      for (const record of records) {
        const before = byAccount.get(record.account);
        if (isNews) charge(record, before ?? NOTHING, ofHost);
        byAccount.set(record.account, record);
      }
    },
    grant(hostId, account, costUnits) {
      const quota = host.quotaOf(account);
      if (!quota) return true;
      const bucket = refill(account, quota);
      if (bucket.levelUnits < costUnits) return false;
      bucket.levelUnits -= costUnits;
      const granted = totals.get(hostId)?.granted;
      granted?.set(account, (granted.get(account) ?? 0) + costUnits);
      return true;
    },
    level,
    isNearLimit(account) {
      const known = level(account);
      return known !== undefined && isNear(known);
    },
    nearLimit: () =>
      [...buckets.keys()]
        .map(level)
        .filter(each => each !== undefined)
        .filter(isNear),
  };
}
