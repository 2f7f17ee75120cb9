/**
 * Who waits, who goes first and who is refused when engines are full. Pure.
 *
 * A stream earns most when its first event comes within the route's goal, and
 * its caller leaves when it sees no event for a few seconds. So requests that
 * can still be on time go first, by age; late ones take what is left; and a
 * request whose turn would come after its caller has left is refused at once,
 * with the time at which there should be room.
 */

import type {Route} from '../../core/routing_types.js';

/** A waiting request as all hosts see it. */
export interface Waiting {
  readonly arrivedAtMs: number;
  /** Latest start at which the first event is still on time. */
  readonly onTimeUntilMs: number;
  /** Latest start at which the caller is still there. */
  readonly giveUpAtMs: number;
}

/** Callers leave a stream after a gap of the longest of these. */
const PATIENCE_MS = 2_000;
const PATIENCE_GOALS = 4;
const PATIENCE_GAPS = 8;
/** For the way to the caller and a slow first step. */
const PATIENCE_MARGIN_MS = 250;
/** A refusal spreads those who come back over this share of the wait. */
const RETURN_SPREAD = 0.5;
const MIN_RETRY_AFTER_MS = 150;
/** Of the caller's time, the part that it will spend on waiting to return. */
const RETURN_SHARE = 1 / 3;

/** How long a caller waits for the first event of a stream. */
export function patienceMs(route: Route): number {
  return Math.max(
    PATIENCE_MS,
    PATIENCE_GOALS * route.goalMs,
    PATIENCE_GAPS * route.gapGoalMs,
  );
}

export interface WaitBounds {
  readonly route: Route;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  /** From the start on engines to the first event. */
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
 * Order of service: on time before late; those on time by their latest start,
 * the late ones by age. By age alone calls with a short goal would fall behind
 * those with a longer one as soon as they are late.
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
  /** Streams that run on all engines. */
  readonly runs: number;
  readonly meanRunMs: number;
}

/** When the request behind `ahead` others should find room. */
export function forecastWaitMs(ahead: number, rate: ServiceRate): number {
  return ((ahead + 1) * rate.meanRunMs) / Math.max(1, rate.runs);
}

/** Undefined when the request may wait, else when it should come back. */
export function findRetryAfterMs(
  waiting: Waiting,
  waitMs: number,
  nowMs: number,
): number | undefined {
  return nowMs + waitMs > waiting.giveUpAtMs ? waitMs : undefined;
}

/** A time to come back that spreads the callers, within what they accept. */
export function spreadRetryAfterMs(
  waitMs: number,
  callerLeftMs: number,
  draw: number,
): number {
  const spread = waitMs * (1 + RETURN_SPREAD * draw);
  const most = callerLeftMs * RETURN_SHARE;
  return Math.max(MIN_RETRY_AFTER_MS, Math.min(spread, most));
}
