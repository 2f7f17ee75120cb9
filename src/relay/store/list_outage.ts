/**
 * Tells when entries of the list of upstreams may be missing though their
 * upstreams live: for some time after an outage in which heartbeats could not
 * reach the store, or after the store came back from a copy without them.
 *
 * What counts is whether the store served any host, not whether it served this
 * one. The first read of a host that the store turned away may come long after
 * the end of the outage, and upstreams that left meanwhile are not to be kept
 * from then on.
 */

import {WRITTEN_AGAIN_MS} from './store_era.js';

/**
 * Entries lapse after three heartbeats of 1.2 s, one and a half of which may
 * lie before the outage. One read that timed out is no outage: reads follow
 * each other within 1.6 s then.
 */
const SHORTEST_OUTAGE_MS = 1_800;

/** Times are of this host's steady clock. */
export interface ListOutage {
  /** A read of this host failed. */
  readFailed(atMs: number): void;
  /** The store answered a read of the list, of this host or of a peer. */
  served(atMs: number): void;
  /** The store came back from an older copy. */
  cameBack(atMs: number): void;
  /** Whether missing entries may still come back. */
  isKeeping(atMs: number): boolean;
  /** Until when missing entries are kept. */
  keepUntilMs(): number;
  /** When a read of this host failed last. */
  lastFailureAtMs(): number;
}

export function createListOutage(): ListOutage {
  let servedAtMs = Number.NEGATIVE_INFINITY;
  let failedAtMs = Number.NEGATIVE_INFINITY;
  let keepUntilMs = Number.NEGATIVE_INFINITY;

  return {
    readFailed(atMs) {
      failedAtMs = atMs;
    },
    served(atMs) {
      if (atMs <= servedAtMs) return;
      // Without a failure nobody asked: this host was suspended, or alone.
      const hasFailed = Number.isFinite(failedAtMs) && failedAtMs >= servedAtMs;
      const wasAway = hasFailed && atMs - servedAtMs >= SHORTEST_OUTAGE_MS;
      if (wasAway) keepUntilMs = atMs + WRITTEN_AGAIN_MS;
      servedAtMs = atMs;
    },
    cameBack(atMs) {
      keepUntilMs = atMs + WRITTEN_AGAIN_MS;
    },
    isKeeping: atMs => atMs < keepUntilMs,
    keepUntilMs: () => keepUntilMs,
    lastFailureAtMs: () => failedAtMs,
  };
}
