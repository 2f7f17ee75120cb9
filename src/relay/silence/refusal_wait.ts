/**
 * Waits for the refusal of a call that was sent while an earlier one is silent,
 * which is closed when none comes.
 */

import type {Clock, TimerHandle} from '../../ports/clock.js';

/**
 * A refusal comes at once, and a failed connection within the connect time-out.
 * After this time without one the silent call is left, so that no request is at
 * two upstreams for long.
 */
const REFUSAL_WAIT_MS = 350;
/** A timer this late shows that this host stood still, and has bytes to read. */
const LATE_TIMER_MS = 100;

export interface RefusalTimer {
  /** Resolves once no refusal came in time. */
  readonly over: Promise<undefined>;
  /** The call was sent, perhaps again. */
  restart(): void;
  stop(): void;
}

export function createRefusalTimer(clock: Clock): RefusalTimer {
  let timer: TimerHandle | undefined;
  let onOver: () => void = () => undefined;
  const over = new Promise<undefined>(resolve => {
    onOver = () => resolve(undefined);
  });
  const stop = () => {
    if (timer) clock.clearTimer(timer);
  };
  function restart(): void {
    stop();
    const dueMs = clock.nowMs() + REFUSAL_WAIT_MS;
    timer = clock.setTimer(REFUSAL_WAIT_MS, () => {
      const isLate = clock.nowMs() - dueMs >= LATE_TIMER_MS;
      if (isLate) restart();
      else onOver();
    });
  }
  return {over, restart, stop};
}

/** Resolves to the outcome, or to undefined if there is none in time. */
export async function waitForRefusal<Outcome>(
  clock: Clock,
  outcome: Promise<Outcome>,
): Promise<Outcome | undefined> {
  const timer = createRefusalTimer(clock);
  timer.restart();
  const first = await Promise.race([outcome, timer.over]);
  timer.stop();
  return first;
}
