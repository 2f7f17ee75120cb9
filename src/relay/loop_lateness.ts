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
  /** Calls back each 100 ms, without waking the process once more. */
  onTick(listener: () => void): void;
  /** Signals that arrived before this time have been handled, in clock time. */
  handledUntilMs(): number;
}

/** Calls back once the loop has read its sockets and handled signals. */
export type AfterPoll = (callback: () => void) => unknown;

/** Each tick wakes the process, so they are no more frequent. */
const TICK_MS = 100;
const WINDOW_TICKS = 20;

/** Without `afterPoll`, the time of handled signals is less exact. */
export function createLoopLateness(
  clock: Clock,
  afterPoll?: AfterPoll,
): LoopLateness {
  const listeners: Array<() => void> = [];
  let timer: TimerHandle | undefined;
  let dueAtMs = Number.POSITIVE_INFINITY;
  let ticks = 0;
  let windowMs = 0;
  let lastWindowMs = 0;
  let lastTickAtMs = clock.nowMs();
  let handledUntilMs = lastTickAtMs;

  /** Positive if the next tick is overdue, as when a late loop has just run. */
  const overdueMs = () => Math.max(0, clock.nowMs() - dueAtMs);

  function schedule(): void {
    dueAtMs = clock.nowMs() + TICK_MS;
    timer = clock.setTimer(TICK_MS, tick);
  }

  function tick(): void {
    windowMs = Math.max(windowMs, overdueMs());
    const nowMs = clock.nowMs();
    // A loop that was late runs its timers before it handles signals.
    if (afterPoll) afterPoll(() => (handledUntilMs = nowMs));
    else handledUntilMs = lastTickAtMs;
    lastTickAtMs = nowMs;
    if (++ticks % WINDOW_TICKS === 0) {
      lastWindowMs = windowMs;
      windowMs = 0;
    }
    schedule();
    for (const listener of listeners) listener();
  }

  return {
    onTick: listener => void listeners.push(listener),
    start: schedule,
    stop() {
      if (timer) clock.clearTimer(timer);
    },
    handledUntilMs: () => handledUntilMs,
    recentMs: () => Math.round(Math.max(windowMs, lastWindowMs, overdueMs())),
  };
}
