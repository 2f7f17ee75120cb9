/**
 * Pure rules that divide the retries of a service between the own parts of the
 * hosts and the owner that grants the rest.
 */

import {WINDOW_MS} from './retry_window.js';

/**
 * A host that has just started or is partitioned knows few other hosts and must
 * not use their shares, so it counts at least this many.
 */
const MIN_HOST_COUNT = 14;
/** Of the additional retries, what the own parts of all hosts may use. */
const OWN_SHARE = 1 / 2;
/**
 * With fewer additional retries, the half of what an owner may grant is below
 * two, so that each host uses its part alone as before.
 */
const MIN_SHARED_SLACK = 4;
/** There may be two owners for a moment, so each grants at most half. */
export const MAX_OWNERS = 2;
/**
 * Of what owners may grant, the part that may be on its way to them in reports
 * (see `retry_window.ts`): the rest is enough for bursts of failures.
 */
export const MAX_ON_WAY_SHARE = 1 / 2;

export interface RetryHosts {
  /** Hosts ever seen, including this one. */
  readonly knownCount: number;
}

const hostCount = ({knownCount}: RetryHosts) =>
  Math.max(MIN_HOST_COUNT, knownCount);

export function isShared(retrySlack: number): boolean {
  return retrySlack >= MIN_SHARED_SLACK;
}

/**
 * Additional retries that a host may use without asking. A part below one
 * retry would be of no use, so the owner grants all of them there.
 */
export function ownPart(retrySlack: number, hosts: RetryHosts): number {
  const evenPart = retrySlack / hostCount(hosts);
  if (!isShared(retrySlack)) return Math.max(1, evenPart);
  const part = evenPart * OWN_SHARE;
  return part >= 1 ? part : 0;
}

/**
 * Additional retries that owners may grant in any 10 s.
 *
 * Only the hosts that report to this owner count: the others use their whole
 * part alone (earlier builds) or ask another owner (partitions).
 */
export function ownersPart(
  retrySlack: number,
  hosts: RetryHosts,
  reportingCount: number,
): number {
  const count = hostCount(hosts);
  const restPerHost = retrySlack / count - ownPart(retrySlack, hosts);
  return restPerHost * Math.min(count, reportingCount);
}

/**
 * A new owner does not know what the one before it granted, so its part grows
 * from zero until that no longer counts.
 */
export function ownedShare(ownedMs: number): number {
  return Math.min(1, ownedMs / WINDOW_MS);
}

/**
 * A report takes some 30 bytes of a compressed state: with 40 a second, a host
 * that receives those of all others gets 1.2 KB a second.
 */
const REPORT_INTERVAL_PER_HOST_MS = 30;
const MIN_REPORT_INTERVAL_MS = 2_000;
/** What is reported later than the window is long is of no use. */
const MAX_REPORT_INTERVAL_MS = 8_000;

export function reportIntervalMs({knownCount}: RetryHosts): number {
  const intervalMs = REPORT_INTERVAL_PER_HOST_MS * knownCount;
  return Math.min(
    MAX_REPORT_INTERVAL_MS,
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
 * After a refusal a host asks no more for this time. If all hosts go on asking,
 * the owner gets seven requests of some 100 bytes a second, which with the
 * answers stays within 1.5 KB a second.
 */
const REFUSED_HOLD_PER_HOST_MS = 150;

export function refusedHoldMs(hosts: RetryHosts): number {
  return Math.min(WINDOW_MS, REFUSED_HOLD_PER_HOST_MS * hosts.knownCount);
}
