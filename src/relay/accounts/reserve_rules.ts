/**
 * Pure rules that give an account's urgent requests precedence within its
 * limit. A less urgent request must leave a reserve in the bucket, which the
 * more urgent requests are expected to use.
 */

import type {AccountQuota} from '../../core/routing_types.js';
import type {AccountMix} from './priority_mix.js';
import type {AccountLevel} from './quota_rules.js';

/** The rest of the bucket stays usable for requests of any priority. */
const MAX_RESERVE_SHARE = 0.5;
/**
 * The reserve applies in full from this multiple of the limit's rate on, and
 * not at all below the rate, where the bucket suffices for all requests.
 */
const FULL_RESERVE_RATE_SHARE = 1.25;

/** Returns the largest reserve that leaves room for a request of this cost. */
export function maxReserveUnits(
  quota: AccountQuota,
  costUnits: number,
): number {
  const {burstUnits} = quota;
  // A request that a full bucket can't hold with its reserve would always be
  // refused.
  const roomUnits = Math.max(0, burstUnits - costUnits);
  return Math.min(burstUnits * MAX_RESERVE_SHARE, roomUnits);
}

/** Returns the part of the reserve that applies at this rate, from 0 to 1. */
function reserveStrength(
  offeredUnitsPerS: number,
  quota: AccountQuota,
): number {
  if (quota.unitsPerS <= 0) return 0;
  const rateShare = offeredUnitsPerS / quota.unitsPerS;
  const strength = (rateShare - 1) / (FULL_RESERVE_RATE_SHARE - 1);
  return Math.min(1, Math.max(0, strength));
}

/**
 * Returns the units that a request must leave in the bucket: what more urgent
 * requests use while an empty bucket refills, and the cost of one more, since a
 * smaller reserve serves none. The reserves of successive priorities differ by
 * at least one request, or they would not be served in order.
 */
export function reserveUnitsFor(
  priority: number,
  mix: AccountMix,
  level: AccountLevel,
  quota: AccountQuota,
  costUnits: number,
): number {
  const {shares, requestUnits} = mix;
  const {offeredUnitsPerS} = level;
  const refillS = quota.burstUnits / quota.unitsPerS;
  let maxUnits = maxReserveUnits(quota, costUnits);
  for (let i = shares.length - 1; i > 0; i--) {
    if (shares[i].priority < priority) break;
    const urgentShare = shareBefore(mix, shares[i].priority);
    const expectedUnits = urgentShare * offeredUnitsPerS * refillS;
    const reserveUnits = Math.min(maxUnits, expectedUnits + requestUnits);
    if (shares[i].priority === priority) {
      return reserveUnits * reserveStrength(offeredUnitsPerS, quota);
    }
    maxUnits = Math.max(0, reserveUnits - requestUnits);
  }
  return 0;
}

/**
 * Returns the units to leave in a bucket that can't hold the request: the share
 * that more urgent requests use.
 */
export function reserveUnitsBelow(
  priority: number,
  mix: AccountMix,
  {offeredUnitsPerS}: AccountLevel,
  quota: AccountQuota,
): number {
  const urgentShare = Math.min(MAX_RESERVE_SHARE, shareBefore(mix, priority));
  const strength = reserveStrength(offeredUnitsPerS, quota);
  return quota.burstUnits * urgentShare * strength;
}

/** Returns the part of the units that more urgent requests use. */
function shareBefore({shares}: AccountMix, priority: number): number {
  return shares
    .filter(each => each.priority < priority)
    .reduce((sum, each) => sum + each.share, 0);
}
