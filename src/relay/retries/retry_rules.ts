/**
 * Pure rules that divide the retries of a service between the own parts of the
 * hosts and the owner that grants the rest.
 */

import {isMeshSize} from '../fleet/coordinators.js';

/**
 * A host that has just started or is partitioned knows few other hosts and must
 * not use their shares, so it counts at least this many.
 */
const MIN_HOST_COUNT = 14;
/** There may be two owners for a moment, so each grants at most half. */
export const MAX_OWNERS = 2;
/**
 * Largest share of the owners' part that credits in transit may take (see
 * `retry_window.ts`); the rest serves bursts of failures.
 */
export const MAX_ON_WAY_SHARE = 3 / 4;

/** The bound on the retries of a service, for all hosts together. */
export interface RetryLimits {
  /** Retries allowed per request. */
  readonly retryRatio: number;
  /** Additional retries in any window. */
  readonly retrySlack: number;
  readonly retryWindowMs: number;
}

export interface HostCount {
  /** Hosts ever seen, including this one. */
  readonly knownCount: number;
}

export interface RetryHosts extends HostCount {
  /** The window in which retries are counted. */
  readonly windowMs: number;
}

const hostCount = ({knownCount}: HostCount) =>
  Math.max(MIN_HOST_COUNT, knownCount);

/**
 * With less to share, an owner's half, less what is on its way, would be below
 * two retries, which serves no burst of failures.
 */
const MIN_SHARED = 16;

interface Division {
  /** Additional retries that a host may use without asking. */
  readonly ownPart: number;
  /** What a host leaves to the owners. */
  readonly leftPerHost: number;
}

/**
 * Divides the additional retries. A fraction of a retry is of no use to a host
 * in a burst of failures, so hosts keep the whole ones of their even part; one
 * is also left to the owners if it is needed there. Few hosts keep all: a host
 * that is alone would lose half of its part to an owner that has nothing yet.
 */
function divide(retrySlack: number, hosts: HostCount): Division {
  const count = hostCount(hosts);
  const evenPart = retrySlack / count;
  const ownParts = evenPart >= 2 ? [Math.floor(evenPart)] : [1, 0];
  const ownPart = isMeshSize(count)
    ? undefined
    : ownParts.find(part => (evenPart - part) * count >= MIN_SHARED);
  return ownPart === undefined
    ? {ownPart: Math.max(1, evenPart), leftPerHost: 0}
    : {ownPart, leftPerHost: evenPart - ownPart};
}

export function ownPart(retrySlack: number, hosts: HostCount): number {
  return divide(retrySlack, hosts).ownPart;
}

/** Whether there is an owner; else each host has its part alone. */
export function isShared(retrySlack: number, hosts: HostCount): boolean {
  return divide(retrySlack, hosts).leftPerHost > 0;
}

/**
 * Additional retries that owners may grant in any window.
 *
 * Only the hosts that report to this owner count: the others use their whole
 * part alone (earlier builds) or ask another owner (partitions).
 */
export function ownersPart(
  retrySlack: number,
  hosts: HostCount,
  reportingCount: number,
): number {
  const {leftPerHost} = divide(retrySlack, hosts);
  return leftPerHost * Math.min(hostCount(hosts), reportingCount);
}

/**
 * A new owner does not know what the one before it granted, so its part grows
 * from zero until that no longer counts.
 */
export function ownedShare(ownedMs: number, {windowMs}: RetryHosts): number {
  return Math.min(1, ownedMs / windowMs);
}

/**
 * A report takes some 30 bytes of a compressed state: with 40 a second, a host
 * that receives those of all others gets 1.2 KB a second.
 */
const REPORT_INTERVAL_PER_HOST_MS = 30;
const MIN_REPORT_INTERVAL_MS = 2_000;
/** What is reported later than the window is long is of no use. */
const MAX_REPORT_WINDOW_SHARE = 0.8;

export function reportIntervalMs({knownCount, windowMs}: RetryHosts): number {
  const intervalMs = REPORT_INTERVAL_PER_HOST_MS * knownCount;
  return Math.min(
    MAX_REPORT_WINDOW_SHARE * windowMs,
    Math.max(MIN_REPORT_INTERVAL_MS, intervalMs),
  );
}

/** A report follows the one before within the interval and one state more. */
const REPORT_DELAY_MARGIN_MS = 700;

export function reportDelayMs(hosts: RetryHosts): number {
  return reportIntervalMs(hosts) + REPORT_DELAY_MARGIN_MS;
}

/** One report may be lost before its host no longer counts. */
const REPORT_VALID_INTERVALS = 2.2;

export function reportValidMs(hosts: RetryHosts): number {
  return REPORT_VALID_INTERVALS * reportIntervalMs(hosts);
}

/**
 * After a refusal a host asks no more for a while, which doubles with each
 * refusal in a row. If all hosts go on asking at the longest interval, the
 * owner gets seven requests of some 100 bytes a second, which with the answers
 * stays within 1.5 KB a second.
 */
const MIN_HOLD_PER_HOST_MS = 10;
const MAX_HOLD_PER_HOST_MS = 150;

/** `refusals` counts those in a row, this one included. */
export function refusedHoldMs(hosts: RetryHosts, refusals: number): number {
  const perHostMs = MIN_HOLD_PER_HOST_MS * 2 ** (refusals - 1);
  return Math.min(
    hosts.windowMs,
    Math.min(MAX_HOLD_PER_HOST_MS, perHostMs) * hosts.knownCount,
  );
}
