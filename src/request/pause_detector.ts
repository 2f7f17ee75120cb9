/**
 * Detects that this process was paused (a stopped container, a suspended
 * virtual machine, a very long garbage collection). After a pause, grants
 * received before it may have expired, or may name an upstream that has left.
 */

import type {Clock} from '../ports/clock.js';

export interface PauseDetector {
  /** Whether the process resumed from a pause within the last moments. */
  hasJustResumed(): boolean;
}

const TICK_MS = 500;
/** A tick that is this late indicates a pause, rather than a busy event loop. */
const MIN_PAUSE_MS = 1_000;
/** Messages handled within this time of the resume were sent before it. */
const STALE_MS = 50;

export function createPauseDetector(clock: Clock): PauseDetector {
  let lastTickAtMs = clock.nowMs();
  let resumedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Called by the timer and by each query, since messages may be handled before
   * an overdue timer fires.
   */
  function checkForPause(): void {
    const nowMs = clock.nowMs();
    if (nowMs - lastTickAtMs > TICK_MS + MIN_PAUSE_MS) resumedAtMs = nowMs;
    lastTickAtMs = nowMs;
  }

  function tick(): void {
    checkForPause();
    clock.setTimer(TICK_MS, tick);
  }

  clock.setTimer(TICK_MS, tick);
  return {
    hasJustResumed() {
      checkForPause();
      return clock.nowMs() - resumedAtMs <= STALE_MS;
    },
  };
}
