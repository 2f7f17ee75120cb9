/**
 * Notices that the process was suspended. The steady clock stands still in a
 * suspension, so a holder of a lease believes in it though its time is over;
 * the time since the machine's boot goes on and shows the difference.
 */

import {uptime} from 'node:os';
import type {Clock} from '../ports/clock.js';

export interface SuspensionWatch {
  /** Whether the process was suspended within the last seconds. */
  wasSuspended(): boolean;
}

const MS_PER_SECOND = 1_000;
/** The time since boot comes in whole seconds; a larger jump is real. */
const JUMP_MS = 1_050;
/** How long a suspension counts: longer than any lease. */
const REMEMBER_MS = 5_000;

export function createSuspensionWatch(
  clock: Clock,
  bootMs: () => number = () => Math.floor(uptime()) * MS_PER_SECOND,
): SuspensionWatch {
  let offsetMs = bootMs() - clock.nowMs();
  let noticedAtMs = Number.NEGATIVE_INFINITY;
  return {
    wasSuspended() {
      const nowMs = clock.nowMs();
      const newOffsetMs = bootMs() - nowMs;
      if (newOffsetMs - offsetMs > JUMP_MS) {
        noticedAtMs = nowMs;
        offsetMs = newOffsetMs;
      }
      return nowMs - noticedAtMs < REMEMBER_MS;
    },
  };
}
