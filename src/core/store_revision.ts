/** Moments of the platform's store, in the order in which they came to be. */

/**
 * A number of the store's counter. A store that comes back from an older copy
 * gives numbers out again, in an era of their own: a number says nothing
 * without its era.
 */
export interface StoreRevision {
  /** How often the store has come back; 0 where it does not tell. */
  readonly era: number;
  readonly counter: number;
}

/** A time of the store's own steady clock, which an era may set back. */
export interface StoreMoment {
  readonly era: number;
  readonly storeMs: number;
}

/** Before all that a store tells. */
export const NO_REVISION: StoreRevision = {era: 0, counter: 0};

/** Below 0 if `a` is the older one, 0 if they are the same. */
export function compareRevisions(a: StoreRevision, b: StoreRevision): number {
  return a.era - b.era || a.counter - b.counter;
}

export function isNewerRevision(a: StoreRevision, b: StoreRevision): boolean {
  return compareRevisions(a, b) > 0;
}

/** Whether `a` is later; each moment of an era is later than all before it. */
export function isLaterMoment(a: StoreMoment, b: StoreMoment): boolean {
  return (a.era - b.era || a.storeMs - b.storeMs) > 0;
}

/** For log lines. */
export function formatRevision({era, counter}: StoreRevision): string {
  return `${era}.${counter}`;
}
