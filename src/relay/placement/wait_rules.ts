/**
 * Decides which requests wait, in which order they are served, and which are
 * refused when engines are full. Does no I/O.
 *
 * A stream is worth most when its first event meets the route's goal, and a
 * caller leaves after a few seconds without an event. So requests that can
 * still be on time go first, late ones use the remaining room, and a request
 * whose turn would come after its caller has left is refused at once with the
 * time when room is expected.
 */

import type {Route} from '../../core/routing_types.js';

/** A waiting request, with the times that all hosts compare. */
export interface Waiting {
  readonly arrivedAtMs: number;
  /** Latest start for which the first event is on time. */
  readonly onTimeUntilMs: number;
  /** Latest start for which the caller is still waiting. */
  readonly giveUpAtMs: number;
  readonly priority?: number;
}

/**
 * A caller is assumed to leave after the longest of three times without an
 * event: this one and the goals of its route times the two factors below.
 */
const MIN_PATIENCE_MS = 2_000;
const PATIENCE_GOAL_FACTOR = 4;
const PATIENCE_GAP_FACTOR = 8;
/** Covers the delivery to the caller and a slow first decode step. */
const PATIENCE_MARGIN_MS = 250;
/** Each retry delay exceeds the wait by a random part of this share of it. */
const RETRY_SPREAD = 0.5;
const MIN_RETRY_AFTER_MS = 150;
/**
 * Limit of the retry delay, as a share of the time that the caller still waits.
 */
const MAX_RETRY_SHARE = 1 / 3;

/** How long a caller waits for the first event of a stream. */
export function patienceMs(route: Route): number {
  return Math.max(
    MIN_PATIENCE_MS,
    PATIENCE_GOAL_FACTOR * route.goalMs,
    PATIENCE_GAP_FACTOR * route.gapGoalMs,
  );
}

export interface WaitBounds {
  readonly route: Route;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  /** From the placement on engines to the first event. */
  readonly startMs: number;
}

export function toWaiting(bounds: WaitBounds): Waiting {
  const {route, arrivedAtMs, deadlineAtMs, startMs} = bounds;
  const leavesAtMs = Math.min(deadlineAtMs, arrivedAtMs + patienceMs(route));
  return {
    arrivedAtMs,
    onTimeUntilMs: arrivedAtMs + route.goalMs - startMs,
    giveUpAtMs: leavesAtMs - startMs - PATIENCE_MARGIN_MS,
  };
}

export function isOnTime(waiting: Waiting, nowMs: number): boolean {
  return nowMs <= waiting.onTimeUntilMs;
}

/**
 * Order of service: requests that can be on time before late ones, the former
 * by their latest start and the latter by age. By age alone, late calls with a
 * short goal would fall behind calls with a longer one.
 */
export function compareWaiting(a: Waiting, b: Waiting, nowMs: number): number {
  const isLateA = !isOnTime(a, nowMs);
  const rank = Number(isLateA) - Number(!isOnTime(b, nowMs));
  if (rank !== 0) return rank;
  return isLateA
    ? a.arrivedAtMs - b.arrivedAtMs
    : a.onTimeUntilMs - b.onTimeUntilMs;
}

export interface ServiceRate {
  /** Streams running on all engines. */
  readonly runs: number;
  readonly meanRunMs: number;
}

/** Forecasts when a request behind `ahead` others will find room. */
export function forecastWaitMs(ahead: number, rate: ServiceRate): number {
  return ((ahead + 1) * rate.meanRunMs) / Math.max(1, rate.runs);
}

/**
 * Undefined if the request may wait; otherwise the delay after which it should
 * be retried.
 */
export function findRetryAfterMs(
  waiting: Waiting,
  waitMs: number,
  nowMs: number,
): number | undefined {
  return nowMs + waitMs > waiting.giveUpAtMs ? waitMs : undefined;
}

/**
 * A retry delay that is partly random, so that callers do not all retry at
 * once, and that ends while the caller still waits.
 */
export function spreadRetryAfterMs(
  waitMs: number,
  callerLeftMs: number,
  random: number,
): number {
  const spread = waitMs * (1 + RETRY_SPREAD * random);
  const most = callerLeftMs * MAX_RETRY_SHARE;
  return Math.max(MIN_RETRY_AFTER_MS, Math.min(spread, most));
}
