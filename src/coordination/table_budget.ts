/**
 * This host's share of what the whole fleet may ask of the platform's table,
 * as token buckets with a reserve for the more urgent users.
 */

import type {Clock} from '../ports/clock.js';

/** Users of the table, most urgent first. */
export type TablePriority =
  'journal' | 'lease' | 'configuration' | 'background';

/** Share of a full bucket that must stay after a user of this priority. */
const reserveShares: Readonly<Record<TablePriority, number>> = {
  journal: 0,
  lease: 0,
  configuration: 0.25,
  background: 0.5,
};

export interface RateBudgetOptions {
  /** Operations a second; read again at each use. */
  ratePerSecond(): number;
  /** Seconds of the rate that may be saved up. */
  readonly burstSeconds: number;
  /** Smallest size of a full bucket, in operations. */
  readonly minBurst: number;
}

export interface RateBudget {
  /** Takes one operation; returns 0, or how long to wait for it. */
  take(priority: TablePriority): number;
}

export function createRateBudget(
  clock: Clock,
  options: RateBudgetOptions,
): RateBudget {
  const getCapacity = () =>
    Math.max(options.minBurst, options.ratePerSecond() * options.burstSeconds);
  /** Full at the first use; the rate may not be known before. */
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
