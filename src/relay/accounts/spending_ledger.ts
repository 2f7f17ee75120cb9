/**
 * Keeps the token buckets of all accounts from the spending that hosts report.
 *
 * Hosts report running totals, so a lost datagram loses no units. A new ledger
 * doesn't know the recent spending. Its buckets start neither full, which would
 * admit a burst twice, nor empty, which would refuse accounts within their
 * rate.
 */

import type {AccountQuota} from '../../core/routing_types.js';
import type {Clock} from '../../ports/clock.js';
import {isNearLimit, type AccountLevel} from './quota_rules.js';

/** Totals of one incarnation of a host for one account. */
export interface SpendingRecord {
  readonly account: string;
  /** Units of all requests, including refused ones. */
  readonly offeredUnits: number;
  /** Units of the admitted requests. */
  readonly admittedUnits: number;
  /** Units of the admitted requests that were sent to no upstream. */
  readonly returnedUnits: number;
}

/** One run of a host's process. */
export interface HostIncarnation {
  readonly hostId: string;
  readonly incarnation: string;
  /** Time since this process started. */
  readonly aliveMs: number;
}

export interface SpendingLedgerHost {
  readonly clock: Clock;
  quotaOf(account: string): AccountQuota | undefined;
}

export interface SpendingLedger {
  /** Charges the buckets for the totals that a host reports. */
  record(host: HostIncarnation, records: readonly SpendingRecord[]): void;
  /**
   * Charges the bucket for one request of the host, if it holds enough units
   * and `reserveUnits` stay in it. The host's totals include the request later
   * and aren't charged for it again.
   */
  grant(
    hostId: string,
    account: string,
    costUnits: number,
    reserveUnits?: number,
  ): boolean;
  /** Returns undefined for an account without a limit. */
  level(account: string): AccountLevel | undefined;
  isNearLimit(account: string): boolean;
  /** Returns the accounts near their limit, for hosts without a full ledger. */
  nearLimit(): readonly AccountLevel[];
}

/** Share of a full bucket at the start, when past spending is unknown. */
const INITIAL_LEVEL_SHARE = 0.5;
/** Time constant for the offered rate; requests arrive in bursts. */
const OFFERED_DECAY_MS = 1_000;
/** All totals of a host that started within this time are recent. */
const NEW_HOST_MS = 3_000;
/**
 * A report that covers more time follows a partition or a suspension. Shorter
 * gaps are lost datagrams.
 */
const LONG_GAP_MS = 3_000;
/** Mean time from the admission of a request to its host's report. */
const MEAN_REPORT_DELAY_MS = 300;
const MS_PER_SECOND = 1_000;

interface Bucket {
  levelUnits: number;
  /** Units offered, with exponential decay over `OFFERED_DECAY_MS`. */
  offeredUnits: number;
  updatedAtMs: number;
}

interface HostTotals {
  readonly incarnation: string;
  /** Age of the host's process at its last report. */
  aliveMs: number;
  readonly byAccount: Map<string, SpendingRecord>;
  /** Units granted per account that the host's totals don't include yet. */
  readonly granted: Map<string, number>;
}

const ZERO_TOTALS: Omit<SpendingRecord, 'account'> = {
  offeredUnits: 0,
  admittedUnits: 0,
  returnedUnits: 0,
};

export function createSpendingLedger(host: SpendingLedgerHost): SpendingLedger {
  const {clock} = host;
  const buckets = new Map<string, Bucket>();
  const totals = new Map<string, HostTotals>();

  /**
   * Returns the units at which the bucket is full. Admitted units that no host
   * has reported yet are still in the bucket. Without an allowance for them, a
   * full bucket would lose as many units of its refill.
   */
  function capacityOf({offeredUnits}: Bucket, quota: AccountQuota): number {
    const offeredUnitsPerS = (offeredUnits * MS_PER_SECOND) / OFFERED_DECAY_MS;
    const unreportedUnitsPerS = Math.min(quota.unitsPerS, offeredUnitsPerS);
    return (
      quota.burstUnits +
      (unreportedUnitsPerS * MEAN_REPORT_DELAY_MS) / MS_PER_SECOND
    );
  }

  function refill(account: string, quota: AccountQuota): Bucket {
    const nowMs = clock.nowMs();
    const bucket = buckets.get(account) ?? {
      levelUnits: quota.burstUnits * INITIAL_LEVEL_SHARE,
      offeredUnits: 0,
      updatedAtMs: nowMs,
    };
    buckets.set(account, bucket);
    const elapsedMs = nowMs - bucket.updatedAtMs;
    const gainedUnits = (quota.unitsPerS * elapsedMs) / MS_PER_SECOND;
    const capacityUnits = capacityOf(bucket, quota);
    bucket.levelUnits = Math.min(
      capacityUnits,
      bucket.levelUnits + gainedUnits,
    );
    bucket.offeredUnits *= Math.exp(-elapsedMs / OFFERED_DECAY_MS);
    bucket.updatedAtMs = nowMs;
    return bucket;
  }

  /**
   * Returns the share of a report's units that is charged. A bucket that heard
   * nothing for a long time was full at most, and lost the refill for earlier
   * requests. Charged for all of them at once, it would refuse the account for
   * as long as the gap lasted.
   */
  function chargeableShare(spanMs: number, quota: AccountQuota): number {
    const refillMs = (quota.burstUnits / quota.unitsPerS) * MS_PER_SECOND;
    return spanMs <= LONG_GAP_MS ? 1 : Math.min(1, refillMs / spanMs);
  }

  /** @param spanMs Time that the totals cover since those before. */
  function charge(
    record: SpendingRecord,
    before: typeof ZERO_TOTALS,
    {granted}: HostTotals,
    spanMs: number,
  ): void {
    const {account} = record;
    const quota = host.quotaOf(account);
    if (!quota) return;
    const bucket = refill(account, quota);
    const admittedUnits = record.admittedUnits - before.admittedUnits;
    const grantedUnits = granted.get(account) ?? 0;
    const alreadyChargedUnits = Math.max(
      0,
      Math.min(grantedUnits, admittedUnits),
    );
    granted.set(account, grantedUnits - alreadyChargedUnits);
    const returnedUnits = record.returnedUnits - before.returnedUnits;
    const share = chargeableShare(spanMs, quota);
    const unchargedUnits = admittedUnits - alreadyChargedUnits - returnedUnits;
    const offeredUnits = record.offeredUnits - before.offeredUnits;
    bucket.levelUnits -= unchargedUnits * share;
    bucket.offeredUnits += offeredUnits * share;
  }

  function level(account: string): AccountLevel | undefined {
    const quota = host.quotaOf(account);
    if (!quota) return undefined;
    const {levelUnits, offeredUnits} = refill(account, quota);
    const offeredUnitsPerS = (offeredUnits * MS_PER_SECOND) / OFFERED_DECAY_MS;
    return {account, levelUnits, offeredUnitsPerS};
  }

  function isLevelNearLimit(each: AccountLevel): boolean {
    const quota = host.quotaOf(each.account);
    return !!quota && isNearLimit(each, quota);
  }

  return {
    record({hostId, incarnation, aliveMs}, records) {
      const known = totals.get(hostId);
      const isKnown = known?.incarnation === incarnation;
      const ofHost: HostTotals = isKnown
        ? known
        : {incarnation, aliveMs: 0, byAccount: new Map(), granted: new Map()};
      const {byAccount} = ofHost;
      const spanMs = aliveMs - ofHost.aliveMs;
      ofHost.aliveMs = aliveMs;
      totals.set(hostId, ofHost);
      // The first totals of a host may cover hours of spending.
      const isRecent = isKnown || aliveMs < NEW_HOST_MS;
      for (const record of records) {
        const before = byAccount.get(record.account);
        if (isRecent) charge(record, before ?? ZERO_TOTALS, ofHost, spanMs);
        byAccount.set(record.account, record);
      }
    },
    grant(hostId, account, costUnits, reserveUnits = 0) {
      const quota = host.quotaOf(account);
      if (!quota) return true;
      const bucket = refill(account, quota);
      if (bucket.levelUnits < costUnits + reserveUnits) return false;
      bucket.levelUnits -= costUnits;
      const granted = totals.get(hostId)?.granted;
      granted?.set(account, (granted.get(account) ?? 0) + costUnits);
      return true;
    },
    level,
    isNearLimit(account) {
      const known = level(account);
      return known !== undefined && isLevelNearLimit(known);
    },
    nearLimit: () =>
      [...buckets.keys()]
        .map(level)
        .filter(each => each !== undefined)
        .filter(isLevelNearLimit),
  };
}
