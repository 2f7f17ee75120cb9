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
const MAX_OWNERS = 2;

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

export interface OwnerSituation extends RetryHosts {
  /** Hosts whose reports the owner receives, including itself. */
  readonly reportingCount: number;
  /** Time since this host became the owner. */
  readonly ownedMs: number;
}

/**
 * Additional retries that an owner may grant in any 10 s.
 *
 * It counts only the hosts that report to it: the others use their whole part
 * alone (earlier builds) or ask another owner (partitions). A new owner does
 * not know what the one before it granted, so its part grows from zero until
 * that no longer counts.
 */
export function ownerPart(
  retrySlack: number,
  situation: OwnerSituation,
): number {
  const {reportingCount, ownedMs} = situation;
  const count = hostCount(situation);
  const restPerHost = retrySlack / count - ownPart(retrySlack, situation);
  const rest = restPerHost * Math.min(count, reportingCount);
  return (rest / MAX_OWNERS) * Math.min(1, ownedMs / WINDOW_MS);
}

/**
 * A report takes some 30 bytes of a compressed state: with 22 a second, a host
 * that receives those of all others gets less than 1 KB a second.
 */
const REPORT_INTERVAL_PER_HOST_MS = 45;
const MIN_REPORT_INTERVAL_MS = 3_000;
/** What is reported later than the window is long is of no use. */
const MAX_REPORT_INTERVAL_MS = 8_000;

export function reportIntervalMs({knownCount}: RetryHosts): number {
  const intervalMs = REPORT_INTERVAL_PER_HOST_MS * knownCount;
  return Math.min(
    MAX_REPORT_INTERVAL_MS,
    Math.max(MIN_REPORT_INTERVAL_MS, intervalMs),
  );
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
