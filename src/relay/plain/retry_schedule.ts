/**
 * Gives refused callers of a service successive times to retry, at the rate at
 * which calls end. Does no I/O.
 */

import type {Clock} from '../../ports/clock.js';
import type {Random} from '../../ports/random.js';
import {MAX_RETRY_SHARE, MIN_RETRY_AFTER_MS} from '../placement/wait_rules.js';

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
  readonly priority?: number;
}

export interface RetrySchedule {
  /** Reserves a time for the retry and returns the delay until then. */
  add(refused: RefusedCall): number;
  /**
   * Retries that are due within this time, have not been due yet, and are not
   * less urgent than a call of this priority.
   */
  countDue(withinMs: number, priority?: number): number;
}

interface Retry {
  readonly atMs: number;
  readonly priority?: number;
}

function isLessUrgent(retry: Retry, priority: number | undefined): boolean {
  return (retry.priority ?? Infinity) > (priority ?? Infinity);
}

/** Later retries are not counted; 1,000 are due within some seconds. */
const MAX_SCHEDULED = 1_000;

export function createRetrySchedule(host: RetryScheduleHost): RetrySchedule {
  const {clock, random} = host;
  /** In order of time. */
  let due: Retry[] = [];

  function dropPast(): void {
    const nowMs = clock.nowMs();
    if (due.length > 0 && due[0].atMs <= nowMs)
      due = due.filter(({atMs}) => atMs > nowMs);
  }

  return {
    add({waitMs, leftMs, intervalMs, priority}) {
      dropPast();
      const nowMs = clock.nowMs();
      const afterLastMs = (due.at(-1)?.atMs ?? 0) + intervalMs - nowMs;
      const mostMs = Math.max(MIN_RETRY_AFTER_MS, leftMs * MAX_RETRY_SHARE);
      const soonestMs = Math.min(Math.max(MIN_RETRY_AFTER_MS, waitMs), mostMs);
      const delayMs = Math.max(soonestMs, afterLastMs);
      // No scheduled time is early enough for this caller, so a random one is
      // used.
      if (delayMs > mostMs || due.length >= MAX_SCHEDULED) {
        const rangeMs = mostMs - MIN_RETRY_AFTER_MS;
        return MIN_RETRY_AFTER_MS + random.nextFloat() * rangeMs;
      }
      due.push({atMs: nowMs + delayMs, priority});
      return delayMs;
    },
    countDue(withinMs, priority) {
      dropPast();
      const untilMs = clock.nowMs() + withinMs;
      return due.filter(
        each => each.atMs <= untilMs && !isLessUrgent(each, priority),
      ).length;
    },
  };
}
