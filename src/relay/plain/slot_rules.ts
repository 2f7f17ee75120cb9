/**
 * How many calls an upstream of a plain service is given at once, and how long
 * the next one would wait. Pure.
 *
 * Answers the load of bursts beyond the slots of few upstreams before many
 * hosts: an upstream whose queue is full works more slowly and turns calls
 * away.
 */

import type {Waiting} from '../placement/wait_rules.js';

/**
 * Calls at once, as a multiple of the slots: the next call is there when one
 * ends. Its slot would be idle otherwise, while the word of the end goes to the
 * keeper and that of the slot to the next entry.
 */
const CALLS_PER_SLOT = 4 / 3;
/** Of the time in which the first event is on time, kept for a slow call. */
const SLOW_CALL_FACTOR = 1.25;

/** Calls that one of `keeperCount` keepers gives an upstream at once. */
export function mostCalls(slots: number, keeperCount: number): number {
  return Math.max(1, Math.ceil((slots * CALLS_PER_SLOT) / keeperCount));
}

export interface SlotLoad {
  /** Calls that may run at once. */
  readonly most: number;
  readonly meanCallMs: number;
}

/** When the call behind `ahead` others should get a slot. */
export function forecastSlotMs(ahead: number, load: SlotLoad): number {
  return ((ahead + 1) * load.meanCallMs) / Math.max(1, load.most);
}

export interface CallBounds {
  readonly arrivedAtMs: number;
  readonly goalMs: number;
  readonly deadlineAtMs: number;
  readonly meanCallMs: number;
}

/** Latest starts at which the answer is on time, and of use at all. */
export function toCallWaiting(bounds: CallBounds): Waiting {
  const {arrivedAtMs, goalMs, deadlineAtMs, meanCallMs} = bounds;
  const workMs = meanCallMs * SLOW_CALL_FACTOR;
  return {
    arrivedAtMs,
    onTimeUntilMs: arrivedAtMs + goalMs - workMs,
    giveUpAtMs: deadlineAtMs - workMs,
  };
}
