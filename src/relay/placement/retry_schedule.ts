/**
 * Gives refused callers successive retry times, at the rate at which room
 * becomes free, and counts those retries as requests ahead of new ones. Without
 * it callers refused together return together and are refused again. Does no
 * I/O. The schedule is lost with the process and starts empty.
 */

import {standingOf, type Waiting} from './wait_rules.js';

export interface RetrySchedule {
  /**
   * Extends the wait of a request by the retries that are due before it, except
   * the less urgent ones and, for an account within its share, those of accounts
   * over theirs.
   */
  extendWaitMs(waitMs: number, waiting: Waiting, nowMs: number): number;
  add(retry: ScheduledRetry): void;
  /** Retries that are due in the future. */
  count(nowMs: number): number;
}

export interface ScheduledRetry {
  readonly atMs: number;
  readonly waiting: Waiting;
  /** Time in which runs release the memory of the request. */
  readonly durationMs: number;
}

interface Retry extends Omit<ScheduledRetry, 'waiting'> {
  readonly standing: number;
}

/**
 * Bounds the memory of the schedule. A burst of 80 streams a second that are
 * all refused for 5 s, each with the longest retry time, is below it.
 */
const MAX_RETRIES = 512;

export function createRetrySchedule(): RetrySchedule {
  /** By time. */
  let retries: Retry[] = [];

  /** A caller that is due is in the queue again, or does not return. */
  function dropDue(nowMs: number): void {
    if (retries.length === 0 || retries[0].atMs > nowMs) return;
    retries = retries.filter(({atMs}) => atMs > nowMs);
  }

  return {
    extendWaitMs(waitMs, waiting, nowMs) {
      dropDue(nowMs);
      let endMs = nowMs + waitMs;
      const standing = standingOf(waiting);
      for (const retry of retries) {
        if (retry.atMs > endMs) break;
        if (retry.standing <= standing) endMs += retry.durationMs;
      }
      return endMs - nowMs;
    },
    add(retry) {
      if (retries.length >= MAX_RETRIES) return;
      const {atMs, durationMs} = retry;
      const standing = standingOf(retry.waiting);
      const before = retries.findLastIndex(each => each.atMs <= atMs);
      retries.splice(before + 1, 0, {atMs, durationMs, standing});
    },
    count(nowMs) {
      dropDue(nowMs);
      return retries.length;
    },
  };
}
