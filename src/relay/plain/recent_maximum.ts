/** The largest of the values of the last two seconds. Does no I/O. */

import type {Clock} from '../../ports/clock.js';

export interface RecentMaximum {
  /** Notes the present value and returns the largest recent one. */
  update(value: number): number;
}

const RECENT_MS = 2_000;

export function createRecentMaximum({
  clock,
}: {
  readonly clock: Clock;
}): RecentMaximum {
  let largest = 0;
  let atMs = -Infinity;

  return {
    update(value) {
      const nowMs = clock.nowMs();
      if (value >= largest || nowMs - atMs > RECENT_MS) {
        largest = value;
        atMs = nowMs;
      }
      return largest;
    },
  };
}
