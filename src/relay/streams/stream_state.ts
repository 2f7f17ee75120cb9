/** State of one stream, shared by the steps that run it. */

import type {PrefillResultPlace} from '../../ports/relay.js';
import type {Placement, StreamNeed} from '../placement/placement_types.js';
import {toWaiting, type Waiting} from '../placement/wait_rules.js';
import type {RelayJob} from '../relay_types.js';

export interface StreamState {
  readonly job: RelayJob;
  /** Gets the version of its engine with the first event, if it had none. */
  need: StreamNeed;
  /** Sent with its prefill and its run; absent if engines need none. */
  readonly enginePriority?: number;
  placement: Placement;
  /** Engines that may have run the request, in order. */
  readonly ran: string[];
  /** Their versions, in the same order. */
  readonly ranVersions: string[];
  /** Engines that must not be chosen again. */
  readonly avoid: Set<string>;
  /** The prefill result of the prompt, until a decode engine takes it over. */
  source?: PrefillResultPlace;
  /** Calls that count towards the retry budget. */
  countedCalls: number;
  /** A retry was taken for the next run. */
  hasReservedRun: boolean;
  /** A run was left for its silence, though it may have gone on. */
  readonly wasLeft: boolean;
  /** Whether a prefill engine has computed the prompt. */
  wasPrefilled: boolean;
  lastEventId?: string;
  events: number;
  /** When the last event was forwarded, or the stream was placed. */
  lastEventAtMs: number;
  firstByteAtMs?: number;
}

/** Whether another run may follow the runs so far. */
export function mayResume({job, ran}: StreamState): boolean {
  const {isResumable, maxAttempts} = job.route;
  return isResumable && ran.length < maxAttempts;
}

/** How long the caller waits for the first event of the next run. */
export function toWaitingForNext(state: StreamState): Waiting {
  const {job, need, events, lastEventAtMs} = state;
  const {route, request, deadlineAtMs} = job;
  const arrivedAtMs = events > 0 ? lastEventAtMs : request.arrivedAtMs;
  const bounds = {route, arrivedAtMs, deadlineAtMs, startMs: need.startMs};
  return {...toWaiting(bounds), priority: need.waiting.priority};
}
