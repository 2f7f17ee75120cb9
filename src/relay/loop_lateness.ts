/**
 * Measures how late the event loop runs the timers of this process, which is
 * also how late it reads its sockets.
 */

import type {Clock, TimerHandle} from '../ports/clock.js';

export interface LoopLateness {
  start(): void;
  stop(): void;
  /** The longest delay of a timer within the last two windows, in ms. */
  recentMs(): number;
  /** Signals that arrived before this time have been handled, in clock time. */
  handledUntilMs(): number;
}

/** Calls the listener in each turn of the loop; returns how to end this. */
export type WatchTurns = (listener: () => void) => () => void;

const TICK_MS = 100;
const WINDOW_TICKS = 20;

/** Without a watch for turns, the time of handled signals is less exact. */
export function createLoopLateness(
  clock: Clock,
  watchTurns: WatchTurns = () => () => undefined,
): LoopLateness {
  let timer: TimerHandle | undefined;
  let dueAtMs = Number.POSITIVE_INFINITY;
  let ticks = 0;
  let windowMs = 0;
  let lastWindowMs = 0;
  let lastTickAtMs = clock.nowMs();
  let previousTickAtMs = lastTickAtMs;
  let lastTurnAtMs = lastTickAtMs;
  let previousTurnAtMs = lastTickAtMs;
  let endTurns: (() => void) | undefined;

  /** Positive if the next tick is overdue, as when a late loop has just run. */
  const overdueMs = () => Math.max(0, clock.nowMs() - dueAtMs);

  function schedule(): void {
    dueAtMs = clock.nowMs() + TICK_MS;
    timer = clock.setTimer(TICK_MS, tick);
  }

  function tick(): void {
    windowMs = Math.max(windowMs, overdueMs());
    previousTickAtMs = lastTickAtMs;
    lastTickAtMs = clock.nowMs();
    if (++ticks % WINDOW_TICKS === 0) {
      lastWindowMs = windowMs;
      windowMs = 0;
    }
    schedule();
  }

  function noteTurn(): void {
    previousTurnAtMs = lastTurnAtMs;
    lastTurnAtMs = clock.nowMs();
  }

  return {
    start() {
      schedule();
      endTurns = watchTurns(noteTurn);
    },
    stop() {
      if (timer) clock.clearTimer(timer);
      endTurns?.();
    },
    // A loop that was late runs its timers before it handles signals, and a
    // signal may arrive just before the end of a turn. So neither the last tick
    // nor the last turn shows when those that are handled now arrived.
    handledUntilMs: () => Math.max(previousTickAtMs, previousTurnAtMs),
    recentMs: () => Math.round(Math.max(windowMs, lastWindowMs, overdueMs())),
  };
}
