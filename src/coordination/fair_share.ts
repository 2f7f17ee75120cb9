/** Divides a limited rate, such as the weight store's, between its users. */

import type {Clock} from '../ports/clock.js';

export interface RateDemand {
  readonly name: string;
  /** Units per second that the user could consume now. */
  readonly wanted: number;
}

/**
 * Computes max-min fair shares: no user receives more than it wants, and the
 * remainder is divided evenly between the others.
 */
export function shareFairly(
  total: number,
  demands: readonly RateDemand[],
): ReadonlyMap<string, number> {
  const shares = new Map<string, number>();
  let left = total;
  const ascending = [...demands].sort((a, b) => a.wanted - b.wanted);
  ascending.forEach(({name, wanted}, index) => {
    const even = left / (ascending.length - index);
    const share = Math.min(wanted, even);
    shares.set(name, share);
    left -= share;
  });
  return shares;
}

export interface SpendLimit {
  /** Spends `amount` if allowed now; returns whether it was spent. */
  spend(amount: number): boolean;
}

/**
 * Allows an amount as soon as the earlier ones are repaid at the given rate, so
 * that an amount larger than one second's rate is not blocked forever.
 */
export function createSpendLimit(
  clock: Clock,
  getRatePerSecond: () => number,
): SpendLimit {
  let debt = 0;
  let paidAtMs = clock.nowMs();
  return {
    spend(amount) {
      const nowMs = clock.nowMs();
      const paid = ((nowMs - paidAtMs) / 1_000) * getRatePerSecond();
      debt = Math.max(0, debt - paid);
      paidAtMs = nowMs;
      if (amount > 0 && debt > 0) return false;
      debt += amount;
      return true;
    },
  };
}
