/**
 * Remembers upstreams that were listed as draining or that left the list. A
 * store restored from an older copy may list them as before, although their
 * addresses may belong to other upstreams by now.
 *
 * An upstream that once drained never takes new work again. One that left the
 * list may still be alive, since entries also lapse in outages; it is held back
 * until the store has had time to drop its entry again.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MAX_REMEMBERED_UPSTREAMS} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';

export interface Departures {
  noteDraining(id: string): void;
  hasDrained(id: string): boolean;
  /** The upstream is no longer on the list, as of this era. */
  noteLeft(id: string, era: number): void;
  /**
   * Whether an entry listed in this era dates from before the upstream left.
   */
  isFromOlderCopy(id: string, era: number): boolean;
  /** Excludes the upstream for `HOLD_BACK_MS`. */
  holdBack(id: string): void;
  isHeldBack(id: string): boolean;
  heldBack(): readonly string[];
}

/**
 * The store drops an entry after three missed heartbeats of 1.2 s; the rest is
 * the time until a list is read.
 */
export const HOLD_BACK_MS = 5_000;

export function createDepartures(clock: Clock): Departures {
  const drainedIds = createBoundedMap<true>(MAX_REMEMBERED_UPSTREAMS);
  /** By id: the era in which the upstream left the list. */
  const leftEras = createBoundedMap<number>(MAX_REMEMBERED_UPSTREAMS);
  /** By id: the end of the time it is held back. */
  const heldUntilMs = new Map<string, number>();

  function isHeldBack(id: string): boolean {
    const untilMs = heldUntilMs.get(id);
    if (untilMs === undefined) return false;
    if (clock.nowMs() < untilMs) return true;
    heldUntilMs.delete(id);
    return false;
  }

  return {
    noteDraining: id => void drainedIds.set(id, true),
    hasDrained: id => drainedIds.has(id),
    noteLeft(id, era) {
      heldUntilMs.delete(id);
      leftEras.set(id, era);
    },
    isFromOlderCopy(id, era) {
      const leftInEra = leftEras.get(id);
      return leftInEra !== undefined && leftInEra < era;
    },
    holdBack: id => void heldUntilMs.set(id, clock.nowMs() + HOLD_BACK_MS),
    isHeldBack,
    heldBack: () => [...heldUntilMs.keys()].filter(isHeldBack),
  };
}
