/**
 * Pure rules that compute which share of an account's requests fits its limit.
 *
 * Hosts learn a bucket's level about a second late. If each admitted everything
 * while the level is positive, all would overshoot and then refuse in step.
 * Instead, all admit the same share, which brings the level to zero smoothly.
 */

import type {AccountQuota} from '../../core/routing_types.js';

/** State of an account's bucket, which all hosts share. */
export interface AccountLevel {
  readonly account: string;
  /** Units in the bucket; negative if hosts admitted too much. */
  readonly levelUnits: number;
  /** Units requested per second, including those of refused requests. */
  readonly offeredUnitsPerS: number;
}

/**
 * Time in which the bucket's level, or its deficit, is brought to zero. It must
 * be longer than the delay with which hosts learn the level, or the admitted
 * share oscillates.
 */
const LEVEL_HORIZON_S = 2;
/**
 * Above this share of a full bucket nothing is refused. Requests arrive in
 * bursts, so what exceeds the rate in one second often fits in the next.
 */
const UNRESTRICTED_LEVEL_SHARE = 0.25;
/** An account is near its limit below this share of a full bucket. */
const NEAR_LIMIT_LEVEL_SHARE = 0.5;
/** An account is near its limit above this share of its rate. */
const NEAR_LIMIT_RATE_SHARE = 0.9;
const MIN_RETRY_AFTER_MS = 200;
/** Retries are spread over this share of the wait, to avoid a burst. */
const RETRY_SPREAD_SHARE = 0.5;
const MS_PER_SECOND = 1_000;

/** Returns the share of requests to admit; 1 or more means all of them. */
export function admissibleShare(
  level: AccountLevel,
  quota: AccountQuota,
): number {
  const {levelUnits, offeredUnitsPerS} = level;
  if (levelUnits >= quota.burstUnits * UNRESTRICTED_LEVEL_SHARE) {
    return Number.POSITIVE_INFINITY;
  }
  const roomPerS = quota.unitsPerS + levelUnits / LEVEL_HORIZON_S;
  if (offeredUnitsPerS <= 0) return roomPerS > 0 ? Number.POSITIVE_INFINITY : 0;
  return Math.max(0, roomPerS / offeredUnitsPerS);
}

/**
 * Returns whether each request of the account must be admitted by the bucket's
 * owner: the bucket is low, or the present rate would soon empty it.
 */
export function isNearLimit(level: AccountLevel, quota: AccountQuota): boolean {
  const {levelUnits, offeredUnitsPerS} = level;
  const isLow = levelUnits < quota.burstUnits * NEAR_LIMIT_LEVEL_SHARE;
  return isLow || offeredUnitsPerS > quota.unitsPerS * NEAR_LIMIT_RATE_SHARE;
}

/**
 * Returns the time until the bucket holds `costUnits`. `draw`, from 0 to 1,
 * spreads the retries of different callers.
 */
export function quotaRetryAfterMs(
  levelUnits: number,
  costUnits: number,
  quota: AccountQuota,
  draw: number,
): number {
  const missingUnits = Math.max(0, costUnits - levelUnits);
  const waitMs = (missingUnits / quota.unitsPerS) * MS_PER_SECOND;
  const spreadMs = waitMs * (1 + RETRY_SPREAD_SHARE * draw);
  return Math.max(MIN_RETRY_AFTER_MS, spreadMs);
}
