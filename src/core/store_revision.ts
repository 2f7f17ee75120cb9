/** Ordered revisions and times of the platform's store. */

/**
 * A value of the store's counter. A store restored from an older copy reuses
 * counter values in a new era, so values are only comparable with their era.
 */
export interface StoreRevision {
  /** Number of restores of the store; 0 if it does not report them. */
  readonly era: number;
  readonly counter: number;
}

/** A time of the store's monotonic clock, which a new era may reset. */
export interface StoreMoment {
  readonly era: number;
  readonly storeMs: number;
}

/** The revision before all revisions of a store. */
export const NO_REVISION: StoreRevision = {era: 0, counter: 0};

/** Returns a negative number if `a` is older, and 0 if they are equal. */
export function compareRevisions(a: StoreRevision, b: StoreRevision): number {
  return a.era - b.era || a.counter - b.counter;
}

export function isNewerRevision(a: StoreRevision, b: StoreRevision): boolean {
  return compareRevisions(a, b) > 0;
}

/** Whether `a` is later than `b`; a later era is always later. */
export function isLaterMoment(a: StoreMoment, b: StoreMoment): boolean {
  return (a.era - b.era || a.storeMs - b.storeMs) > 0;
}

/** Formats a revision for log lines. */
export function formatRevision({era, counter}: StoreRevision): string {
  return `${era}.${counter}`;
}
