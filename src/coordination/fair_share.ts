/** Shares a limited rate, such as the weight store's, between its users. */

import type {Clock} from '../ports/clock.js';

export interface RateDemand {
  readonly name: string;
  /** Units a second that it could use now. */
  readonly wanted: number;
}

/**
 * Max-min fair: nobody gets more than it wants, and what it leaves goes to the
 * others in equal parts.
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
  /** Whether `amount` may be spent now; if so it is. */
  spend(amount: number): boolean;
}

/**
 * Lets an amount go as soon as the ones before it are paid for, so that one
 * larger than a second's rate is not held up for ever.
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
