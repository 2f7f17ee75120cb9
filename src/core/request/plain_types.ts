/** States, events and effects of calls to plain services. */

import type {PlainAnswer, PlainFailure} from '../../ports/plain_service.js';
import type {PickedUpstream} from '../../ports/plain_upstreams.js';
import type {RequestError} from '../error_kinds.js';

export interface PlainPolicy {
  /** Maximum calls of one request, including the first. */
  readonly maxAttempts: number;
  /** Timeout of one call. */
  readonly callTimeoutMs: number;
  /** Delay before a repeatable call is hedged; 0 disables hedging. */
  readonly hedgeAfterMs: number;
  /** A call is started only if at least this time is left to the deadline. */
  readonly minServeMs: number;
  /**
   * How long the outcome of a call is awaited after the request has failed, so
   * that the journal can record it.
   */
  readonly lingerMs: number;
  /**
   * Maximum requests to record an intent that may be refused because the
   * journal partition has moved to another host.
   */
  readonly maxIntentRequests: number;
  readonly defaultRetryAfterMs: number;
}

/** Values that stay the same for the whole request. */
export interface PlainFacts {
  readonly requestId: string;
  readonly deadlineAtMs: number;
  readonly isKeyed: boolean;
  readonly policy: PlainPolicy;
}

/** A call in flight to an upstream. */
export interface OpenCall extends PickedUpstream {
  readonly attempt: number;
}

/** Events common to both kinds of plain request. */
export type PlainCallEvent =
  | {readonly kind: 'started'; readonly nowMs: number}
  | {
      readonly kind: 'picked';
      readonly attempt: number;
      readonly upstream: PickedUpstream | undefined;
    }
  | {
      readonly kind: 'answered';
      readonly attempt: number;
      readonly answer: PlainAnswer;
    }
  | {
      readonly kind: 'call-failed';
      readonly attempt: number;
      readonly failure: PlainFailure;
    }
  | {readonly kind: 'retry-allowed'; readonly nowMs: number}
  | {readonly kind: 'retry-denied'}
  | {readonly kind: 'caller-gone'}
  | {readonly kind: 'deadline'};

/** Effects common to both kinds of plain request. */
export type PlainCallEffect =
  | {
      readonly kind: 'pick';
      readonly attempt: number;
      readonly excludeIds: readonly string[];
    }
  | {readonly kind: 'call'; readonly call: OpenCall}
  | {readonly kind: 'abort-call'; readonly attempt: number}
  | {readonly kind: 'ask-retry'}
  | {readonly kind: 'answer'; readonly answer: PlainAnswer}
  | {readonly kind: 'fail'; readonly error: RequestError}
  | {readonly kind: 'drop'; readonly what: 'late'};
