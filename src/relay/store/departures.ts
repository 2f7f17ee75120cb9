/**
 * Upstreams that the list has shown to drain, or has lost. A store that comes
 * back from an older copy lists them as before, though their addresses may be
 * other upstreams' by now.
 *
 * That an upstream drains holds for its life. One that was lost from the list
 * may live all the same, since entries lapse in outages: it is held back until
 * the store has had time to drop it again.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MOST_REMEMBERED} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';

export interface Departures {
  noteDraining(id: string): void;
  hasDrained(id: string): boolean;
  /** The list of this era has it no longer. */
  noteLeft(id: string, era: number): void;
  /** Whether a list of this era has it from before it left. */
  isOfOlderCopy(id: string, era: number): boolean;
  /** Holds it back for `HOLD_BACK_MS`. */
  holdBack(id: string): void;
  isHeldBack(id: string): boolean;
  heldBack(): readonly string[];
}

/**
 * The store drops an entry after three heartbeats of 1.2 s without one; the
 * rest is the time that a list takes to be read.
 */
export const HOLD_BACK_MS = 5_000;

export function createDepartures(clock: Clock): Departures {
  const drained = createBoundedMap<true>(MOST_REMEMBERED);
  /** By id, the era in which it was lost. */
  const left = createBoundedMap<number>(MOST_REMEMBERED);
  /** By id, until when. */
  const held = new Map<string, number>();

  function isHeldBack(id: string): boolean {
    const untilMs = held.get(id);
    if (untilMs === undefined) return false;
    if (clock.nowMs() < untilMs) return true;
    held.delete(id);
    return false;
  }

  return {
    noteDraining: id => void drained.set(id, true),
    hasDrained: id => drained.has(id),
    noteLeft(id, era) {
      held.delete(id);
      left.set(id, era);
    },
    isOfOlderCopy(id, era) {
      const leftInEra = left.get(id);
      return leftInEra !== undefined && leftInEra < era;
    },
    holdBack: id => void held.set(id, clock.nowMs() + HOLD_BACK_MS),
    isHeldBack,
    heldBack: () => [...held.keys()].filter(isHeldBack),
  };
}
