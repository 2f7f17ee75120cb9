/**
 * Decides when entries may be missing from the list of upstreams although their
 * upstreams are alive: for some time after an outage in which heartbeats could
 * not reach the store, or after the store was restored from a copy without
 * them.
 *
 * An outage counts only if the store served no host at all. A host that alone
 * could not reach the store may make its first successful read long after the
 * outage ended, and must not keep upstreams that left meanwhile.
 */

import {REWRITE_MS} from './store_era.js';

/**
 * Entries lapse after three heartbeats of 1.2 s, one and a half of which may
 * precede the outage. A single read that timed out is not an outage, as reads
 * are at most 1.6 s apart then.
 */
const MIN_OUTAGE_MS = 1_800;

/** All times are of this host's steady clock. */
export interface ListOutage {
  /** A read by this host failed. */
  noteReadFailed(atMs: number): void;
  /** The store answered a read of the list, by this host or by a peer. */
  noteServed(atMs: number): void;
  /** The store was restored from an older copy. */
  noteRestored(atMs: number): void;
  /** Whether missing entries are still to be kept. */
  isKeepingMissing(atMs: number): boolean;
  /** The time until which missing entries are kept. */
  keepUntilMs(): number;
  /** The time of the last failed read by this host. */
  lastFailureAtMs(): number;
}

export function createListOutage(): ListOutage {
  let servedAtMs = Number.NEGATIVE_INFINITY;
  let failedAtMs = Number.NEGATIVE_INFINITY;
  let keepUntilMs = Number.NEGATIVE_INFINITY;

  return {
    noteReadFailed(atMs) {
      failedAtMs = atMs;
    },
    noteServed(atMs) {
      if (atMs <= servedAtMs) return;
      // Without a failure there was no outage: this host was suspended or read
      // nothing.
      const hasFailed = Number.isFinite(failedAtMs) && failedAtMs >= servedAtMs;
      const wasOutage = hasFailed && atMs - servedAtMs >= MIN_OUTAGE_MS;
      if (wasOutage) keepUntilMs = atMs + REWRITE_MS;
      servedAtMs = atMs;
    },
    noteRestored(atMs) {
      keepUntilMs = atMs + REWRITE_MS;
    },
    isKeepingMissing: atMs => atMs < keepUntilMs,
    keepUntilMs: () => keepUntilMs,
    lastFailureAtMs: () => failedAtMs,
  };
}
