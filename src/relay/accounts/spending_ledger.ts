/**
 * Keeps what hosts report of client accounts: the rate at which requests are
 * offered, and units to charge to the buckets of this host or to return to
 * them.
 *
 * Hosts report running totals, so a lost datagram loses no units.
 */

import type {AccountQuota} from '../../core/routing_types.js';
import type {Clock} from '../../ports/clock.js';
import type {CededTimes} from './limit_parts.js';
import type {HostIncarnation, LimitPools} from './limit_pools.js';
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

export interface SpendingLedgerHost {
  readonly clock: Clock;
  readonly pools: LimitPools;
  quotaOf(account: string): AccountQuota | undefined;
}

export interface SpendingLedger {
  /**
   * Records a host's totals. Hosts of earlier builds report no ceded times and
   * admit some requests by themselves, which are charged here.
   */
  record(
    host: HostIncarnation,
    records: readonly SpendingRecord[],
    ceded?: CededTimes,
  ): void;
  /**
   * Charges the bucket for one request of the host, if it holds enough units
   * and `reserveUnits` stay in it. The totals of a host of an earlier build
   * include the request later and aren't charged for it again.
   */
  grant(
    hostId: string,
    account: string,
    costUnits: number,
    reserveUnits?: number,
  ): boolean;
  /** Returns undefined for an account without a limit. */
  level(account: string): AccountLevel | undefined;
  /** Returns the accounts near their limit of which this host owns a part. */
  nearLimit(): readonly AccountLevel[];
}

/** Time constant for the offered rate; requests arrive in bursts. */
const OFFERED_DECAY_MS = 2_000;
/** All totals of a host that started within this time are recent. */
const NEW_HOST_MS = 3_000;
/**
 * A report that covers more time follows a partition or a suspension. Shorter
 * gaps are lost datagrams.
 */
const LONG_GAP_MS = 3_000;
const MS_PER_SECOND = 1_000;

interface OfferedUnits {
  /** Units offered, with exponential decay over `OFFERED_DECAY_MS`. */
  units: number;
  updatedAtMs: number;
}

interface HostTotals {
  readonly incarnation: string;
  /** Age of the host's process at its last report. */
  readonly aliveMs: number;
  /** Whether an owner grants all its requests; not of earlier builds. */
  readonly isCeding: boolean;
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
  const {clock, pools} = host;
  const offered = new Map<string, OfferedUnits>();
  const totals = new Map<string, HostTotals>();

  function offeredOf(account: string): OfferedUnits {
    const nowMs = clock.nowMs();
    const known = offered.get(account) ?? {units: 0, updatedAtMs: nowMs};
    offered.set(account, known);
    const elapsedMs = nowMs - known.updatedAtMs;
    known.units *= Math.exp(-elapsedMs / OFFERED_DECAY_MS);
    known.updatedAtMs = nowMs;
    return known;
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

  /** Returns the units of the record that an owner hasn't charged by a grant. */
  function takeUncharged(
    {account}: SpendingRecord,
    admittedUnits: number,
    {granted}: HostTotals,
  ): number {
    const grantedUnits = granted.get(account) ?? 0;
    const chargedUnits = Math.max(0, Math.min(grantedUnits, admittedUnits));
    granted.set(account, grantedUnits - chargedUnits);
    return admittedUnits - chargedUnits;
  }

  /** @param spanMs Time that the totals cover since those before. */
  function apply(
    record: SpendingRecord,
    before: typeof ZERO_TOTALS,
    ofHost: HostTotals,
    spanMs: number,
  ): void {
    const {account} = record;
    const quota = host.quotaOf(account);
    if (!quota) return;
    const share = chargeableShare(spanMs, quota);
    const admittedUnits = record.admittedUnits - before.admittedUnits;
    const returnedUnits = record.returnedUnits - before.returnedUnits;
    const offeredUnits = record.offeredUnits - before.offeredUnits;
    offeredOf(account).units += offeredUnits * share;
    const chargedUnits = ofHost.isCeding
      ? 0
      : takeUncharged(record, admittedUnits, ofHost);
    const units = returnedUnits - chargedUnits;
    if (units !== 0) pools.add(account, units * share);
  }

  function level(account: string): AccountLevel | undefined {
    const levelUnits = pools.levelUnits(account);
    if (levelUnits === undefined) return undefined;
    const {units} = offeredOf(account);
    const offeredUnitsPerS = (units * MS_PER_SECOND) / OFFERED_DECAY_MS;
    return {account, levelUnits, offeredUnitsPerS};
  }

  function isLevelNearLimit(each: AccountLevel): boolean {
    const quota = pools.quotaHere(each.account);
    return !!quota && isNearLimit(each, quota);
  }

  return {
    record(reporting, records, ceded) {
      const {hostId, incarnation, aliveMs} = reporting;
      pools.record(reporting, ceded);
      const known = totals.get(hostId);
      const isKnown = known?.incarnation === incarnation;
      const ofHost: HostTotals = {
        incarnation,
        aliveMs,
        isCeding: ceded !== undefined,
        byAccount: isKnown ? known.byAccount : new Map(),
        granted: isKnown ? known.granted : new Map(),
      };
      const {byAccount} = ofHost;
      const spanMs = aliveMs - (isKnown ? known.aliveMs : 0);
      totals.set(hostId, ofHost);
      // The first totals of a host may cover hours of spending.
      const isRecent = isKnown || aliveMs < NEW_HOST_MS;
      for (const record of records) {
        const before = byAccount.get(record.account);
        if (isRecent) apply(record, before ?? ZERO_TOTALS, ofHost, spanMs);
        byAccount.set(record.account, record);
      }
    },
    grant(hostId, account, costUnits, reserveUnits = 0) {
      if (!host.quotaOf(account)) return true;
      if (!pools.grant(account, costUnits, reserveUnits)) return false;
      const known = totals.get(hostId);
      if (known && !known.isCeding) {
        const {granted} = known;
        granted.set(account, (granted.get(account) ?? 0) + costUnits);
      }
      return true;
    },
    level,
    nearLimit: () =>
      [...offered.keys()]
        .filter(account => pools.share(account) > 0)
        .map(level)
        .filter(each => each !== undefined)
        .filter(isLevelNearLimit),
  };
}
