/**
 * How many calls an upstream of a service works best with at once, learned
 * from how long calls took by how many there were. Pure.
 *
 * Answers upstreams that slow down when they are nearly full, which a limit
 * from the number of slots cannot know.
 */

import type {Clock} from '../../ports/clock.js';

export interface CallLimit {
  /** A call took this long that began as one of `atOnce` at its upstream. */
  note(atOnce: number, durationMs: number): void;
  /** Calls to give an upstream at once, `most` at the highest. */
  limit(most: number): number;
}

interface DurationRecord {
  samples: number;
  meanMs: number;
  atMs: number;
}

/** Below this many calls a mean says little: lengths spread by half. */
const ENOUGH_SAMPLES = 24;
const SMOOTHING = 0.04;
/** What was not tried for this long may be as good as any by now. */
const FORGET_MS = 5_000;
/** Throughput within this share of the best is as good, with shorter waits. */
const GOOD_SHARE = 0.97;
/** Fewer at once than this would leave upstreams idle between two calls. */
const FEWEST = 2;

export function createCallLimit({clock}: {readonly clock: Clock}): CallLimit {
  const records = new Map<number, DurationRecord>();

  function throughput(atOnce: number): number | undefined {
    const record = records.get(atOnce);
    if (!record || record.samples < ENOUGH_SAMPLES) return undefined;
    if (clock.nowMs() - record.atMs > FORGET_MS) return undefined;
    return atOnce / Math.max(1, record.meanMs);
  }

  return {
    note(atOnce, durationMs) {
      const nowMs = clock.nowMs();
      const known = records.get(atOnce);
      const isFresh = known && nowMs - known.atMs <= FORGET_MS;
      const record = isFresh
        ? known
        : {samples: 0, meanMs: durationMs, atMs: nowMs};
      const weight = Math.max(SMOOTHING, 1 / (record.samples + 1));
      record.meanMs += weight * (durationMs - record.meanMs);
      record.samples++;
      record.atMs = nowMs;
      records.set(atOnce, record);
    },
    limit(most) {
      let best = 0;
      for (let n = 1; n <= most; n++) best = Math.max(best, throughput(n) ?? 0);
      for (let n = Math.min(FEWEST, most); n < most; n++) {
        // What was never tried may be better than all that was.
        const isTried = throughput(n + 1) !== undefined;
        const isGood = (throughput(n) ?? 0) >= GOOD_SHARE * best;
        if (isTried && isGood && best > 0) return n;
      }
      return most;
    },
  };
}
