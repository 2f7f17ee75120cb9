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
  /**
   * 0 is the most urgent. Absent where the routes of the service have the same
   * priority, and in records of hosts that do not send it.
   */
  readonly priority?: number;
  /** The client account uses more than its share of the service. */
  readonly isOverShare?: boolean;
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
export const MIN_RETRY_AFTER_MS = 150;
/**
 * Limit of the retry delay, as a share of the time that the caller still waits.
 */
export const MAX_RETRY_SHARE = 1 / 3;

/**
 * A request goes before one of the next level that could start this much
 * earlier. 300 ms keep the most urgent streams on time in bursts of 2.3 times
 * the usual rate; with 1,000 ms fewer of the least urgent are on time and no more
 * of the others.
 */
const LEVEL_SHIFT_MS = 300;
/**
 * Level of requests without a priority, and of those with a larger one. With an
 * unlimited shift the least urgent requests would never come first. The same
 * number of levels as at engines, and 2.7 s between the first and the last.
 */
const LEAST_URGENT_LEVEL = 9;

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

const levelOf = ({priority}: Waiting) =>
  Math.min(priority ?? LEAST_URGENT_LEVEL, LEAST_URGENT_LEVEL);

const compareShares = (a: Waiting, b: Waiting) =>
  Number(a.isOverShare ?? false) - Number(b.isOverShare ?? false);

/**
 * Compares by priority alone; negative if `a` is more urgent. A request without
 * a priority is the least urgent.
 */
export function compareUrgency(a: Waiting, b: Waiting): number {
  return levelOf(a) - levelOf(b);
}

/**
 * Rank without regard to time: accounts within their share before those over it,
 * then by priority. Less is served first.
 */
export function standingOf(waiting: Waiting): number {
  const levels = LEAST_URGENT_LEVEL + 1;
  return (waiting.isOverShare ? levels : 0) + levelOf(waiting);
}

/**
 * Order of service, negative if `a` comes before `b`: accounts within their
 * share before those over it; then requests that can be on time before late
 * ones, the former by their latest start and the latter by age, where less
 * urgent requests count as later by a fixed time for each level. By age alone,
 * late calls with a short goal would fall behind calls with a longer one.
 */
export function compareWaiting(a: Waiting, b: Waiting, nowMs: number): number {
  const isLateA = !isOnTime(a, nowMs);
  const rank =
    compareShares(a, b) || Number(isLateA) - Number(!isOnTime(b, nowMs));
  if (rank !== 0) return rank;
  const timeMs = isLateA
    ? a.arrivedAtMs - b.arrivedAtMs
    : a.onTimeUntilMs - b.onTimeUntilMs;
  return timeMs + compareUrgency(a, b) * LEVEL_SHIFT_MS;
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
