/** Pure rules on the level of an account's bucket. */

import type {AccountQuota} from '../../core/routing_types.js';

/** State of an account's bucket, which all hosts share. */
export interface AccountLevel {
  readonly account: string;
  /** Units in the bucket; negative if hosts admitted too much. */
  readonly levelUnits: number;
  /** Units requested per second, including those of refused requests. */
  readonly offeredUnitsPerS: number;
}

/** An account is near its limit below this share of a full bucket. */
const NEAR_LIMIT_LEVEL_SHARE = 0.5;
/** An account is near its limit above this share of its rate. */
const NEAR_LIMIT_RATE_SHARE = 0.9;
const MIN_RETRY_AFTER_MS = 200;
/** Retries are spread over this share of the wait, to avoid a burst. */
const RETRY_SPREAD_SHARE = 0.5;
const MS_PER_SECOND = 1_000;

/**
 * Returns whether the bucket is low, or the present rate would soon empty it.
 * Hosts of earlier builds then ask the bucket's owner for each request.
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
