/**
 * Infers how long ago a caller first sent a request that it now repeats after a
 * refusal. A repeated attempt has a new id, but states a shorter wait than a
 * first one. Does no I/O.
 *
 * A latency goal counts from the first attempt. Without its age, a repeated
 * attempt that is late in any case would take the slot of a request that can
 * still be on time.
 */

import {createBoundedMap} from '../core/bounded_map.js';

export interface AttemptAges {
  /** Time since the first attempt of the request; 0 if it may be the first. */
  elapsedMs(route: string, waitMs: number): number;
}

/** Enough for a stable result, and replaced within seconds under load. */
const MAX_SAMPLES = 64;
/**
 * At most half of the attempts are repeated ones, because callers repeat an
 * attempt once. So the usual wait of first attempts is the longest wait that a
 * fourth of the samples share.
 */
const MIN_SHARE = 1 / 4;
const MIN_SAMPLES = 8;
/** Stated waits of first attempts differ by the delay of the network. */
const EQUAL_WAIT_SHARE = 0.02;
/** Routes are named by the configuration; old ones are evicted. */
const MAX_ROUTES = 4_096;

interface RouteWaits {
  readonly samplesMs: number[];
  next: number;
  usualMs?: number;
}

/** Returns the longest wait that a share of the samples have in common. */
function findUsualMs(samplesMs: readonly number[]): number | undefined {
  if (samplesMs.length < MIN_SAMPLES) return undefined;
  const descending = [...samplesMs].sort((a, b) => b - a);
  const count = Math.ceil(samplesMs.length * MIN_SHARE);
  return descending.find((waitMs, i) => {
    const last = descending.at(i + count - 1);
    return last !== undefined && last >= waitMs * (1 - EQUAL_WAIT_SHARE);
  });
}

export function createAttemptAges(): AttemptAges {
  const routes = createBoundedMap<RouteWaits>(MAX_ROUTES);

  function record(route: string, waitMs: number): RouteWaits {
    const waits = routes.get(route) ?? {samplesMs: [], next: 0};
    waits.samplesMs[waits.next] = waitMs;
    waits.next = (waits.next + 1) % MAX_SAMPLES;
    waits.usualMs = findUsualMs(waits.samplesMs);
    routes.set(route, waits);
    return waits;
  }

  return {
    elapsedMs(route, waitMs) {
      if (!Number.isFinite(waitMs) || waitMs <= 0) return 0;
      const {usualMs} = record(route, waitMs);
      if (usualMs === undefined) return 0;
      const elapsedMs = usualMs - waitMs;
      return elapsedMs > usualMs * EQUAL_WAIT_SHARE ? elapsedMs : 0;
    },
  };
}
