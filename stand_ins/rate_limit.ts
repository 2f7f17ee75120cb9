/** A token bucket whose capacity is the tokens of one second. */

import type {Clock} from '../src/ports/clock.js';

export interface RateLimit {
  /** Returns false when no token is left. */
  take(): boolean;
}

const MS_PER_SECOND = 1_000;

export function createRateLimit(
  clock: Clock,
  ratePerSecond: number,
): RateLimit {
  let tokensLeft = ratePerSecond;
  let refilledAtMs = clock.nowMs();
  return {
    take() {
      const nowMs = clock.nowMs();
      const gained = ((nowMs - refilledAtMs) * ratePerSecond) / MS_PER_SECOND;
      tokensLeft = Math.min(ratePerSecond, tokensLeft + gained);
      refilledAtMs = nowMs;
      if (tokensLeft < 1) return false;
      tokensLeft--;
      return true;
    },
  };
}
