/**
 * How much of what an account asks for fits its rate limit. Pure.
 *
 * Hosts learn the level of an account's bucket with a delay of a second or so.
 * Were each to let everything through while the level is positive, all would
 * overshoot together and then refuse together. So each lets the same share
 * through, such that all of them together bring the level to zero smoothly.
 */

import type {AccountQuota} from '../../core/routing_types.js';

/** The bucket of one account, as all hosts together see it. */
export interface AccountLevel {
  readonly account: string;
  /** Units in the bucket; negative once hosts have let too much through. */
  readonly levelUnits: number;
  /** Units asked for in a second, those refused among them. */
  readonly offeredUnitsPerS: number;
}

/**
 * What the bucket holds, or owes, is spread over this time. It has to be longer
 * than the delay of what hosts learn, or the share swings up and down.
 */
const LEVEL_HORIZON_S = 2;
/**
 * Above this part of a full bucket nothing is refused: requests come in lumps,
 * and what seems too much in one second fits the next.
 */
const FREE_LEVEL = 0.25;
/** Parts of a full bucket and of the rate from which an account is near it. */
const NEAR_LEVEL = 0.5;
const NEAR_RATE = 0.9;
const MIN_RETRY_AFTER_MS = 200;
/** Refused callers return over this share of the wait, not all at once. */
const RETURN_SPREAD = 0.5;
const MS_PER_SECOND = 1_000;

/** The share of requests to let through, 0 to 1; above 1 there is room left. */
export function fittingShare(level: AccountLevel, quota: AccountQuota): number {
  const {levelUnits, offeredUnitsPerS} = level;
  if (levelUnits >= quota.burstUnits * FREE_LEVEL) {
    return Number.POSITIVE_INFINITY;
  }
  const roomPerS = quota.unitsPerS + levelUnits / LEVEL_HORIZON_S;
  if (offeredUnitsPerS <= 0) return roomPerS > 0 ? Number.POSITIVE_INFINITY : 0;
  return Math.max(0, roomPerS / offeredUnitsPerS);
}

/**
 * Whether requests of the account have to be counted one by one: the bucket is
 * low, or what is asked for now would soon empty it.
 */
export function isNearLimit(level: AccountLevel, quota: AccountQuota): boolean {
  const {levelUnits, offeredUnitsPerS} = level;
  const isLow = levelUnits < quota.burstUnits * NEAR_LEVEL;
  return isLow || offeredUnitsPerS > quota.unitsPerS * NEAR_RATE;
}

/** When the bucket will have as much, with callers spread by `draw`, 0 to 1. */
export function quotaRetryAfterMs(
  levelUnits: number,
  costUnits: number,
  quota: AccountQuota,
  draw: number,
): number {
  const missingUnits = Math.max(0, costUnits - levelUnits);
  const waitMs = (missingUnits / quota.unitsPerS) * MS_PER_SECOND;
  const spreadMs = waitMs * (1 + RETURN_SPREAD * draw);
  return Math.max(MIN_RETRY_AFTER_MS, spreadMs);
}
