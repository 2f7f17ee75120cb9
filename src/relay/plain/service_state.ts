/** What a keeper of slots knows of a service and of its open calls. */

import type {Clock} from '../../ports/clock.js';
import type {Random} from '../../ports/random.js';
import type {Waiting} from '../placement/wait_rules.js';
import {createCallLimit, type CallLimit} from './call_limit.js';
import {createRecentMaximum, type RecentMaximum} from './recent_maximum.js';
import {createRetrySchedule, type RetrySchedule} from './retry_schedule.js';
import type {Expiry} from './slot_expiry.js';
import {createSlowUpstreams, type SlowUpstreams} from './slow_upstreams.js';

export interface OpenCall {
  readonly fromHostId: string;
  readonly askId: number;
  readonly service: string;
  readonly avoid: ReadonlySet<string>;
  readonly account?: string;
  waiting: Waiting;
  /** Set once the call has a slot. */
  upstreamId?: string;
  /** Calls at the upstream when this one began, including itself. */
  concurrency: number;
  expiry?: Expiry;
  /** Since when the forecast says that the call cannot start in time. */
  hopelessSinceMs?: number;
}

export interface ServiceState {
  meanCallMs: number;
  queue: OpenCall[];
  readonly runs: Map<string, number>;
  readonly limit: CallLimit;
  readonly slow: SlowUpstreams;
  readonly retries: RetrySchedule;
  /** Calls that may run at once. */
  readonly capacity: RecentMaximum;
  /** Upstreams that refused a call get none until these times. */
  readonly fullUntilMs: Map<string, number>;
  /** Until then, upstreams may run calls that this keeper does not know. */
  unknownUntilMs: number;
}

/** Assumed until calls have ended here. */
const INITIAL_CALL_MS = 40;

export function createServiceState(host: {
  readonly clock: Clock;
  readonly random: Random;
}): ServiceState {
  const {clock, random} = host;
  return {
    meanCallMs: INITIAL_CALL_MS,
    queue: [],
    runs: new Map(),
    limit: createCallLimit({clock}),
    slow: createSlowUpstreams({clock}),
    retries: createRetrySchedule({clock, random}),
    capacity: createRecentMaximum({clock}),
    fullUntilMs: new Map(),
    unknownUntilMs: -Infinity,
  };
}
