/**
 * Notices that this process was paused (a stopped container, a suspended
 * virtual machine, a very long collection). What it was promised before then
 * may have been given to others, or may name an upstream that has left.
 */

import type {Clock} from '../ports/clock.js';

export interface PauseWatch {
  /** Whether the process has only just woken from a pause. */
  hasJustWoken(): boolean;
}

const TICK_MS = 500;
/** A tick this late was no ordinary delay. */
const PAUSE_MS = 1_000;
/** What arrives this soon after the wake was sent before it. */
const STALE_MS = 50;

export function createPauseWatch(clock: Clock): PauseWatch {
  let lastTickAtMs = clock.nowMs();
  let wokeAtMs = Number.NEGATIVE_INFINITY;

  /** Messages may be handled before the timer that is overdue. */
  function look(): void {
    const nowMs = clock.nowMs();
    if (nowMs - lastTickAtMs > TICK_MS + PAUSE_MS) wokeAtMs = nowMs;
    lastTickAtMs = nowMs;
  }

  function tick(): void {
    look();
    clock.setTimer(TICK_MS, tick);
  }

  clock.setTimer(TICK_MS, tick);
  return {
    hasJustWoken() {
      look();
      return clock.nowMs() - wokeAtMs <= STALE_MS;
    },
  };
}
