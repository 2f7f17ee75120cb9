/** A token bucket of bytes that may become negative. */

import type {Clock} from '../ports/clock.js';

export interface ByteBudget {
  /** Returns the available bytes; negative after an overdraft. */
  left(): number;
  hasCapacity(): boolean;
  take(sizeBytes: number): void;
}

const BURST_SECONDS = 0.8;

export function createByteBudget(
  clock: Clock,
  bytesPerSecond: number,
): ByteBudget {
  const capacity = bytesPerSecond * BURST_SECONDS;
  let tokens = capacity;
  let filledAtMs = clock.nowMs();

  function refill(): void {
    const nowMs = clock.nowMs();
    const gained = ((nowMs - filledAtMs) / 1_000) * bytesPerSecond;
    tokens = Math.min(capacity, tokens + gained);
    filledAtMs = nowMs;
  }

  return {
    left() {
      refill();
      return tokens;
    },
    hasCapacity() {
      refill();
      return tokens > 0;
    },
    take(sizeBytes) {
      refill();
      tokens -= sizeBytes;
    },
  };
}
