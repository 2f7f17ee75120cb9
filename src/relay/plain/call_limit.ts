/**
 * Finds the number of concurrent calls at which an upstream of a service has
 * the highest throughput, from the measured durations of calls. Does no I/O.
 *
 * Upstreams that slow down when nearly full need a lower limit than their
 * number of slots.
 */

import type {Clock} from '../../ports/clock.js';

export interface CallLimit {
  /**
   * Records a call that took `durationMs` and began as one of `concurrency`
   * calls at its upstream.
   */
  record(concurrency: number, durationMs: number): void;
  /** Concurrent calls to allow for each upstream, at most `maxCalls`. */
  limit(maxCalls: number): number;
}

interface DurationRecord {
  samples: number;
  meanMs: number;
  atMs: number;
}

/** Means of fewer samples are too inexact, because durations vary by half. */
const MIN_SAMPLES = 24;
const SMOOTHING = 0.04;
/**
 * Older measurements are ignored, because the upstream may have recovered
 * since.
 */
const SAMPLES_VALID_MS = 5_000;
/**
 * A throughput within this share of the best is good enough, with shorter
 * waits.
 */
const MIN_THROUGHPUT_SHARE = 0.97;
/** A lower limit would leave upstreams idle between two calls. */
const MIN_CALLS = 2;

export function createCallLimit({clock}: {readonly clock: Clock}): CallLimit {
  const records = new Map<number, DurationRecord>();

  function throughput(concurrency: number): number | undefined {
    const record = records.get(concurrency);
    if (!record || record.samples < MIN_SAMPLES) return undefined;
    if (clock.nowMs() - record.atMs > SAMPLES_VALID_MS) return undefined;
    return concurrency / Math.max(1, record.meanMs);
  }

  return {
    record(concurrency, durationMs) {
      const nowMs = clock.nowMs();
      const previous = records.get(concurrency);
      const isFresh = previous && nowMs - previous.atMs <= SAMPLES_VALID_MS;
      const record = isFresh
        ? previous
        : {samples: 0, meanMs: durationMs, atMs: nowMs};
      const weight = Math.max(SMOOTHING, 1 / (record.samples + 1));
      record.meanMs += weight * (durationMs - record.meanMs);
      record.samples++;
      record.atMs = nowMs;
      records.set(concurrency, record);
    },
    limit(maxCalls) {
      let best = 0;
      for (let n = 1; n <= maxCalls; n++)
        best = Math.max(best, throughput(n) ?? 0);
      for (let n = Math.min(MIN_CALLS, maxCalls); n < maxCalls; n++) {
        // A concurrency without measurements may be better than all measured
        // ones.
        const isMeasured = throughput(n + 1) !== undefined;
        const isGood = (throughput(n) ?? 0) >= MIN_THROUGHPUT_SHARE * best;
        if (isMeasured && isGood && best > 0) return n;
      }
      return maxCalls;
    },
  };
}
