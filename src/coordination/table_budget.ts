/**
 * This host's share of the fleet's call rate to the platform's table, as token
 * buckets with a reserve for urgent priorities.
 */

import type {Clock} from '../ports/clock.js';

/** Priorities of table calls, most urgent first. */
export type TablePriority =
  'journal' | 'lease' | 'configuration' | 'background';

/** Share of a full bucket that a call of each priority must leave. */
const reserveShares: Readonly<Record<TablePriority, number>> = {
  journal: 0,
  lease: 0,
  configuration: 0.25,
  background: 0.5,
};

export interface RateBudgetOptions {
  /** Returns operations per second; evaluated at each use. */
  ratePerSecond(): number;
  /** Bucket capacity in seconds of the rate. */
  readonly burstSeconds: number;
  /** Minimum bucket capacity in operations. */
  readonly minBurst: number;
}

export interface RateBudget {
  /** Takes one operation and returns 0, or returns the time to wait in ms. */
  take(priority: TablePriority): number;
}

export function createRateBudget(
  clock: Clock,
  options: RateBudgetOptions,
): RateBudget {
  const getCapacity = () =>
    Math.max(options.minBurst, options.ratePerSecond() * options.burstSeconds);
  /** The bucket is full at first use, since the rate may not be known earlier. */
  let tokens = Infinity;
  let filledAtMs = clock.nowMs();

  function refill(): void {
    const nowMs = clock.nowMs();
    const gained = ((nowMs - filledAtMs) / 1000) * options.ratePerSecond();
    tokens = Math.min(getCapacity(), tokens + gained);
    filledAtMs = nowMs;
  }

  return {
    take(priority) {
      refill();
      const needed = 1 + reserveShares[priority] * (getCapacity() - 1);
      if (tokens >= needed) {
        tokens -= 1;
        return 0;
      }
      return Math.ceil(((needed - tokens) / options.ratePerSecond()) * 1000);
    },
  };
}
