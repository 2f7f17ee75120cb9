/**
 * Gives refused callers of a service successive times to retry, at the rate at
 * which calls end. Does no I/O.
 */

import type {Clock} from '../../ports/clock.js';
import type {Random} from '../../ports/random.js';
import {spreadRetryAfterMs} from '../placement/wait_rules.js';

export interface RetryScheduleHost {
  readonly clock: Clock;
  readonly random: Random;
}

export interface RefusedCall {
  /** When the call would have got a slot. */
  readonly waitMs: number;
  /** How long its caller still waits. */
  readonly leftMs: number;
  /** Mean time between two calls that end. */
  readonly intervalMs: number;
}

export interface RetrySchedule {
  /** Reserves a time for the retry and returns the delay until then. */
  add(refused: RefusedCall): number;
  /** Retries that are due within this time and have not been due yet. */
  countDue(withinMs: number): number;
}

/** Callers ignore a longer delay, as a share of the time they still wait. */
const MAX_RETRY_SHARE = 1 / 3;
/** Some calls will have ended after this time. */
const MIN_RETRY_AFTER_MS = 150;
/** Later retries are not counted; 1,000 are due within some seconds. */
const MAX_SCHEDULED = 1_000;

export function createRetrySchedule(host: RetryScheduleHost): RetrySchedule {
  const {clock, random} = host;
  /** In order of time. */
  let dueAtMs: number[] = [];

  function dropPast(): void {
    const nowMs = clock.nowMs();
    if (dueAtMs.length > 0 && dueAtMs[0] <= nowMs)
      dueAtMs = dueAtMs.filter(each => each > nowMs);
  }

  return {
    add({waitMs, leftMs, intervalMs}) {
      dropPast();
      const nowMs = clock.nowMs();
      const afterLastMs = (dueAtMs.at(-1) ?? 0) + intervalMs - nowMs;
      const delayMs = Math.max(MIN_RETRY_AFTER_MS, waitMs, afterLastMs);
      const isKept = delayMs <= leftMs * MAX_RETRY_SHARE;
      // No time is left in the order, so the caller comes back at random.
      if (!isKept || dueAtMs.length >= MAX_SCHEDULED)
        return spreadRetryAfterMs(waitMs, leftMs, random.nextFloat());
      dueAtMs.push(nowMs + delayMs);
      return delayMs;
    },
    countDue(withinMs) {
      dropPast();
      const untilMs = clock.nowMs() + withinMs;
      return dueAtMs.filter(each => each <= untilMs).length;
    },
  };
}
