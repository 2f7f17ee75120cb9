/** States, events and effects of calls to plain services. */

import type {PlainAnswer, PlainFailure} from '../../ports/plain_service.js';
import type {PickedUpstream} from '../../ports/plain_upstreams.js';
import type {RequestError} from '../error_kinds.js';

export interface PlainPolicy {
  /** Calls of one request, the first one included. */
  readonly maxAttempts: number;
  /** Longest time for one call. */
  readonly callTimeoutMs: number;
  /** A second call of repeatable work starts after this; 0: never. */
  readonly hedgeAfterMs: number;
  /** Less time left than this: the call is not begun. */
  readonly minServeMs: number;
  /** How long the answer of a call is awaited for the journal alone. */
  readonly lingerMs: number;
  /** Times a moved journal partition is asked again. */
  readonly maxIntentAsks: number;
  readonly defaultRetryAfterMs: number;
}

/** What does not change while the call runs. */
export interface PlainFacts {
  readonly requestId: string;
  readonly deadlineAtMs: number;
  readonly isKeyed: boolean;
  readonly policy: PlainPolicy;
}

/** One call on its way to one upstream. */
export interface OpenCall extends PickedUpstream {
  readonly attempt: number;
}

/** Events that both kinds of plain request know. */
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

/** Effects that both kinds of plain request know. */
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
