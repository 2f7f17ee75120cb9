/**
 * Makes a call again, over another connection or to another host, while it is
 * not answered. A connection that went silent then costs the start of the next
 * attempt, and not the timeout of the call.
 */

import type {Clock, TimerHandle} from '../../ports/clock.js';

export interface HedgeAttempt<T> {
  /** Delay from the start of the call; absent if it is started by news only. */
  readonly startAfterMs?: number;
  /** Resolves to undefined if the attempt failed. */
  run(): Promise<T | undefined>;
}

export interface HedgedCall<T> {
  /**
   * The first answer, or undefined once all attempts that were started have
   * failed. Attempts that are still open then run on, and their answers are
   * dropped.
   */
  readonly answer: Promise<T | undefined>;
  /** Starts the next attempt within this time, if no answer arrives before. */
  startNextWithin(delayMs: number): void;
}

export function startHedgedCall<T>(
  clock: Clock,
  attempts: ReadonlyArray<HedgeAttempt<T>>,
): HedgedCall<T> {
  const startedAtMs = clock.nowMs();
  let nextIndex = 0;
  let openCount = 0;
  let isSettled = false;
  let timer: TimerHandle | undefined;
  let timerAtMs = Number.POSITIVE_INFINITY;
  let settle: (answer: T | undefined) => void = () => undefined;
  const answer = new Promise<T | undefined>(resolve => (settle = resolve));

  function finish(value: T | undefined): void {
    if (isSettled) return;
    isSettled = true;
    if (timer) clock.clearTimer(timer);
    settle(value);
  }

  function startAt(atMs: number): void {
    if (timer) clock.clearTimer(timer);
    timerAtMs = atMs;
    timer = clock.setTimer(Math.max(0, atMs - clock.nowMs()), startNext);
  }

  function startNext(): void {
    const attempt = attempts[nextIndex++];
    openCount++;
    timer = undefined;
    timerAtMs = Number.POSITIVE_INFINITY;
    const next = attempts.at(nextIndex);
    if (next?.startAfterMs !== undefined) {
      startAt(startedAtMs + next.startAfterMs);
    }
    void attempt.run().then(onEnd);
  }

  function onEnd(value: T | undefined): void {
    openCount--;
    if (value !== undefined) return finish(value);
    if (openCount === 0) finish(undefined);
  }

  startNext();
  return {
    answer,
    startNextWithin(delayMs) {
      const atMs = clock.nowMs() + delayMs;
      if (isSettled || nextIndex === attempts.length) return;
      if (atMs < timerAtMs) startAt(atMs);
    },
  };
}

const MIN_HEDGE_DELAY_MS = 250;
const MAX_HEDGE_DELAY_MS = 500;
/** An answer that took longer than usual is forgotten after this time. */
const SLOW_ANSWER_TTL_MS = 3_000;

export interface HedgeDelay {
  /** An attempt was answered after this time. */
  noteAnswer(durationMs: number): void;
  /** Time without an answer after which the next attempt starts. */
  currentMs(): number;
}

/**
 * Calls to a server that answers slowly are made again later: a further call
 * would be answered no sooner, and would add to its load.
 */
export function createHedgeDelay(clock: Clock): HedgeDelay {
  let answerMs = 0;
  let notedAtMs = Number.NEGATIVE_INFINITY;
  return {
    noteAnswer(durationMs) {
      answerMs = durationMs;
      notedAtMs = clock.nowMs();
    },
    currentMs() {
      const isRecent = clock.nowMs() - notedAtMs < SLOW_ANSWER_TTL_MS;
      const delayMs = isRecent ? 2 * answerMs : 0;
      return Math.min(
        Math.max(delayMs, MIN_HEDGE_DELAY_MS),
        MAX_HEDGE_DELAY_MS,
      );
    },
  };
}
