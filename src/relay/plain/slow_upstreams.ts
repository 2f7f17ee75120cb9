/**
 * Finds upstreams of a service that are slower than the others for a time, and
 * how many calls they get meanwhile. Does no I/O.
 *
 * A call that waits at a slow upstream for one of its slots waits longer than
 * one that waits at the keeper for a slot of another upstream.
 */

import type {Clock} from '../../ports/clock.js';
import {toSlotCount} from './slot_rules.js';

export interface SlowUpstreams {
  record(upstreamId: string, durationMs: number): void;
  /** Duration relative to the fastest upstream; 1 if it is not slow. */
  slowdown(upstreamId: string): number;
  /** Calls to allow at the upstream, of `maxCalls` at one that is not slow. */
  limit(upstreamId: string, maxCalls: number): number;
}

interface RecentCall {
  readonly atMs: number;
  readonly durationMs: number;
}

/** A change must be visible soon; 3 upstreams end 400 calls in this time. */
const RECENT_MS = 1_000;
/** Single durations vary by half; the mean of 16 varies by an eighth. */
const MIN_CALLS = 16;
/** Bounds the memory and the time of a check. */
const MAX_CALLS = 64;
/** Smaller differences are chance. */
const SLOW_FACTOR = 1.5;
/** Means are computed again after this time, and not for each call. */
const CHECK_MS = 25;

export function createSlowUpstreams({
  clock,
}: {
  readonly clock: Clock;
}): SlowUpstreams {
  const recent = new Map<string, RecentCall[]>();
  let slowdowns: ReadonlyMap<string, number> = new Map();
  let checkedAtMs = -Infinity;

  function meanMs(calls: readonly RecentCall[]): number | undefined {
    if (calls.length < MIN_CALLS) return undefined;
    const sumMs = calls.reduce((sum, {durationMs}) => sum + durationMs, 0);
    return sumMs / calls.length;
  }

  /** Mean durations relative to the fastest upstream. */
  function findSlowdowns(): ReadonlyMap<string, number> {
    const sinceMs = clock.nowMs() - RECENT_MS;
    const means = new Map<string, number>();
    for (const [id, calls] of recent) {
      const kept = calls.filter(({atMs}) => atMs >= sinceMs);
      if (kept.length > 0) recent.set(id, kept);
      else recent.delete(id);
      const mean = meanMs(kept);
      if (mean !== undefined) means.set(id, mean);
    }
    const bestMs = Math.max(1, Math.min(...means.values()));
    return new Map([...means].map(([id, mean]) => [id, mean / bestMs]));
  }

  function slowdown(upstreamId: string): number {
    if (clock.nowMs() - checkedAtMs >= CHECK_MS) {
      slowdowns = findSlowdowns();
      checkedAtMs = clock.nowMs();
    }
    const factor = slowdowns.get(upstreamId) ?? 1;
    return factor > SLOW_FACTOR ? factor : 1;
  }

  return {
    slowdown,
    record(upstreamId, durationMs) {
      const calls = recent.get(upstreamId) ?? [];
      recent.set(upstreamId, calls);
      calls.push({atMs: clock.nowMs(), durationMs});
      if (calls.length > MAX_CALLS) calls.shift();
    },
    limit(upstreamId, maxCalls) {
      return slowdown(upstreamId) > 1 ? toSlotCount(maxCalls) : maxCalls;
    },
  };
}
