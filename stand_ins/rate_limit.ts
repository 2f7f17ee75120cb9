/** A token bucket that holds one second's worth. */

import type {Clock} from '../src/ports/clock.js';

export interface RateLimit {
  /** False when nothing is left. */
  take(): boolean;
}

const MS_PER_SECOND = 1_000;

export function createRateLimit(
  clock: Clock,
  ratePerSecond: number,
): RateLimit {
  let left = ratePerSecond;
  let filledAtMs = clock.nowMs();
  return {
    take() {
      const nowMs = clock.nowMs();
      const gained = ((nowMs - filledAtMs) * ratePerSecond) / MS_PER_SECOND;
      left = Math.min(ratePerSecond, left + gained);
      filledAtMs = nowMs;
      if (left < 1) return false;
      left--;
      return true;
    },
  };
}
