/**
 * Decides how many concurrent calls an upstream of a plain service gets, and
 * how long the next call would wait. Does no I/O.
 *
 * Written for bursts from many hosts beyond the slots of a few upstreams: an
 * upstream with a full queue works more slowly and rejects calls.
 */

import {toPriority} from '../placement/request_priority.js';
import type {Waiting} from '../placement/wait_rules.js';
import type {SlotRequest} from './slot_messages.js';

/**
 * Concurrent calls, as a multiple of the slots, so that the next call is
 * already at the upstream when one ends. Otherwise the slot would be idle while
 * its release travels to the keeper and its assignment to the next host.
 */
const CALLS_PER_SLOT = 4 / 3;
/** Reserves time for a call that is slower than the mean. */
const SLOW_CALL_FACTOR = 1.25;
/**
 * A call that starts later is served after those that can still be on time.
 * With 1.25, half of the calls of an overload started at the last moment and
 * were late: 0.68 on time instead of 0.80.
 */
const ON_TIME_CALL_FACTOR = 2;
/** The time reserved for slow calls leaves this share of the goal for waiting. */
const MIN_WAIT_SHARE = 1 / 2;

/**
 * Concurrent calls that each of `keeperCount` keepers may assign to an
 * upstream.
 */
export function maxCallsPerKeeper(slots: number, keeperCount: number): number {
  return Math.max(1, Math.ceil((slots * CALLS_PER_SLOT) / keeperCount));
}

/** Calls without those that would wait at the upstream for a slot. */
export function toSlotCount(maxCalls: number): number {
  return Math.max(1, Math.round(maxCalls / CALLS_PER_SLOT));
}

/**
 * Whether a call would be late at an upstream that takes `slowdown` times the
 * mean duration, although it could be on time at another.
 */
export function isTooSlowFor(
  {onTimeUntilMs}: Waiting,
  nowMs: number,
  slowdown: number,
  meanCallMs: number,
): boolean {
  if (slowdown <= 1 || nowMs > onTimeUntilMs) return false;
  const extraMs = (slowdown - ON_TIME_CALL_FACTOR) * meanCallMs;
  return nowMs + extraMs > onTimeUntilMs;
}

/**
 * The waiting times in a peer's message, on this host's clock; undefined if they
 * are invalid. Hosts of older builds send no priority.
 */
export function readCallWaiting(
  request: SlotRequest,
  nowMs: number,
  leastUrgent: number | undefined,
): Waiting | undefined {
  const {ageMs, onTimeMs, giveUpMs} = request;
  if (![ageMs, onTimeMs, giveUpMs].every(Number.isFinite)) return undefined;
  return {
    arrivedAtMs: nowMs - ageMs,
    onTimeUntilMs: nowMs + onTimeMs,
    giveUpAtMs: nowMs + giveUpMs,
    priority: toPriority(request.priority) ?? leastUrgent,
  };
}

/** The account in a peer's message, if it is a valid one. */
export function readAccount(value: unknown): string | undefined {
  return typeof value === 'string' && value !== '' ? value : undefined;
}

export interface SlotLoad {
  /** Calls that may run at once; below one, a share of the time. */
  readonly maxCalls: number;
  readonly meanCallMs: number;
}

/** Forecasts when a call behind `ahead` others will get a slot. */
export function forecastSlotMs(ahead: number, load: SlotLoad): number {
  return ((ahead + 1) * load.meanCallMs) / (load.maxCalls || 1);
}

export interface CallBounds {
  readonly arrivedAtMs: number;
  readonly goalMs: number;
  readonly deadlineAtMs: number;
  readonly meanCallMs: number;
  readonly priority?: number;
}

/**
 * Latest starts for which the answer is on time, and for which it comes before
 * the deadline.
 */
export function toCallWaiting(bounds: CallBounds): Waiting {
  const {arrivedAtMs, goalMs, deadlineAtMs, meanCallMs} = bounds;
  const workMs = meanCallMs * SLOW_CALL_FACTOR;
  const slowWorkMs = Math.min(
    meanCallMs * ON_TIME_CALL_FACTOR,
    goalMs * (1 - MIN_WAIT_SHARE),
  );
  return {
    arrivedAtMs,
    onTimeUntilMs: arrivedAtMs + goalMs - Math.max(workMs, slowWorkMs),
    giveUpAtMs: deadlineAtMs - workMs,
    priority: bounds.priority,
  };
}
