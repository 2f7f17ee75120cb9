/**
 * The timeouts of a call. After a suspension of this process, due timers run
 * before what arrived in time is read; a timeout that is late waits for that.
 */

import type {Clock, TimerHandle} from '../ports/clock.js';

export interface CallTimeouts {
  add(delayMs: number, onTimeout: () => void): void;
  clear(): void;
}

/** A timer this late shows that the process did not run. */
const LATE_TIMER_MS = 100;
/** How long data that arrived meanwhile takes to be read. */
const READ_GRACE_MS = 50;

export function createCallTimeouts(clock: Clock): CallTimeouts {
  const timers = new Set<TimerHandle>();

  function setTimer(delayMs: number, action: () => void): void {
    const timer = clock.setTimer(delayMs, () => {
      timers.delete(timer);
      action();
    });
    timers.add(timer);
  }

  return {
    add(delayMs, onTimeout) {
      const dueMs = clock.nowMs() + delayMs;
      setTimer(delayMs, () => {
        const isLate = clock.nowMs() - dueMs >= LATE_TIMER_MS;
        if (isLate) setTimer(READ_GRACE_MS, onTimeout);
        else onTimeout();
      });
    },
    clear() {
      for (const timer of timers) clock.clearTimer(timer);
      timers.clear();
    },
  };
}
