/** Forecasts the wait of a request and the retry delay after a refusal. */

import type {EnginePool} from './engine_pool.js';
import type {WorkAhead} from './wait_queue.js';

/** Total free and used capacity of the engines of a shard. */
export interface PoolCapacity {
  /** Sum of the usable shares of the prefill engines. */
  readonly prefillShare: number;
  readonly prefillBacklogMs: number;
  readonly usedSlots: number;
  readonly freeSlots: number;
  readonly usedKvBytes: number;
  readonly freeKvBytes: number;
}

export function readCapacity(pool: EnginePool, nowMs: number): PoolCapacity {
  let prefillShare = 0;
  let prefillBacklogMs = 0;
  for (const engine of pool.prefill) {
    if (engine.isLeaving || engine.share <= 0) continue;
    prefillShare += engine.share;
    prefillBacklogMs += engine.backlog.freeAtMs(nowMs) - nowMs;
  }
  let usedSlots = 0;
  let freeSlots = 0;
  let usedKvBytes = 0;
  let freeKvBytes = 0;
  for (const engine of pool.decode) {
    if (engine.isLeaving || engine.share <= 0) continue;
    const unavailableSlots = engine.description.slots - engine.slotLimit;
    usedSlots += engine.reservations.usedSlots();
    usedKvBytes += engine.reservations.usedKvBytes();
    freeSlots += engine.reservations.freeSlots() - unavailableSlots;
    freeKvBytes += Math.max(0, engine.reservations.freeKvBytes());
  }
  return {
    prefillShare,
    prefillBacklogMs,
    usedSlots,
    freeSlots,
    usedKvBytes,
    freeKvBytes,
  };
}

/**
 * Forecasts the wait for a start behind `ahead`, in milliseconds, from the
 * rates at which prefill engines work and running answers end.
 *
 * @param meanHoldMs Mean time that a decode slot is held.
 */
export function forecastWaitMs(
  capacity: PoolCapacity,
  ahead: WorkAhead,
  needKvBytes: number,
  meanHoldMs: number,
): number {
  if (capacity.prefillShare <= 0) return Number.POSITIVE_INFINITY;
  const prefillMs =
    (ahead.prefillMs + capacity.prefillBacklogMs) / capacity.prefillShare;
  const missingSlots = ahead.count + 1 - capacity.freeSlots;
  const slotsMs = (missingSlots * meanHoldMs) / Math.max(capacity.usedSlots, 1);
  const missingKv = ahead.kvBytes + needKvBytes - capacity.freeKvBytes;
  const memoryMs = (missingKv * meanHoldMs) / Math.max(capacity.usedKvBytes, 1);
  return Math.max(0, prefillMs, slotsMs, memoryMs);
}

const MIN_RETRY_MS = 250;
const MAX_RETRY_MS = 60_000;
/** Random spread that keeps refused callers from retrying simultaneously. */
const RETRY_SPREAD = 0.5;

/**
 * Returns the delay in milliseconds after which a refused request is expected to
 * start in time.
 *
 * @param lateMs Time by which it would have started too late.
 */
export function retryAfter(lateMs: number, randomShare: number): number {
  const baseMs = Math.max(MIN_RETRY_MS, lateMs);
  const spreadMs = baseMs * (1 + RETRY_SPREAD * randomShare);
  return Math.round(Math.min(MAX_RETRY_MS, spreadMs));
}
