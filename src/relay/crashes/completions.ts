/** Remembers which suspects have completed a run at this host, and when. */

import {createBoundedMap, type BoundedMap} from '../../core/bounded_map.js';
import type {Clock} from '../../ports/clock.js';
import {suspectKindOf, type SuspectKind} from '../../request/suspect_kinds.js';

export interface Completions {
  note(key: string): void;
  /**
   * Whether it completed so recently that it isn't suspect. What crashes
   * upstreams never completes; others that are sent often have runs at most
   * upstreams that end, and have completed elsewhere.
   */
  isRecent(key: string): boolean;
  /** Whether it has ever completed, as far as is remembered. */
  has(key: string): boolean;
}

const RECENT_MS = 5_000;
const MAX_KEYS: Readonly<Record<SuspectKind, number>> = {
  request: 1_000,
  part: 4_000,
};

export function createCompletions(clock: Clock): Completions {
  const atMsByKind: Readonly<Record<SuspectKind, BoundedMap<number>>> = {
    request: createBoundedMap(MAX_KEYS.request),
    part: createBoundedMap(MAX_KEYS.part),
  };
  const ofKind = (key: string) => atMsByKind[suspectKindOf(key)];
  return {
    note: key => ofKind(key).set(key, clock.nowMs()),
    isRecent(key) {
      const atMs = ofKind(key).get(key);
      return atMs !== undefined && clock.nowMs() - atMs < RECENT_MS;
    },
    has: key => ofKind(key).has(key),
  };
}
