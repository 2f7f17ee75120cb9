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

/** Resolves to the outcome, or to undefined if there is none in time. */
export async function waitForRefusal<Outcome>(
  clock: Clock,
  outcome: Promise<Outcome>,
): Promise<Outcome | undefined> {
  let timer: TimerHandle | undefined;
  const isOver = new Promise<undefined>(resolve => {
    const wait = () => {
      const dueMs = clock.nowMs() + REFUSAL_WAIT_MS;
      timer = clock.setTimer(REFUSAL_WAIT_MS, () => {
        if (clock.nowMs() - dueMs >= LATE_TIMER_MS) wait();
        else resolve(undefined);
      });
    };
    wait();
  });
  const first = await Promise.race([outcome, isOver]);
  if (timer) clock.clearTimer(timer);
  return first;
}
