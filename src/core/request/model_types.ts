/** States, events and effects of one model request. */

import type {DecodeEvent, EngineFailure} from '../../ports/engine.js';
import type {Grant, GrantProgress, GrantRefusal} from '../../ports/grants.js';
import type {RequestError} from '../error_kinds.js';

export interface ModelPolicy {
  /** Runs of one request, the first one included. */
  readonly maxAttempts: number;
  /** Times a lost or moved home is asked again for one run. */
  readonly maxGrantAsks: number;
  readonly prefillTimeoutMs: number;
  readonly importTimeoutMs: number;
  /** A running grant is renewed this often, or it lapses at its home. */
  readonly renewIntervalMs: number;
  /** Longest silence of a decode stream. */
  readonly tokenProgressMs: number;
  /** Less time left than this: a prefill would be thrown away. */
  readonly minServeMs: number;
  /** How long a stream that has begun may go on after its deadline. */
  readonly streamOverrunMs: number;
  /** How long a kept draft may run on without its caller. */
  readonly keepRunningMs: number;
  /** When a refusal names no time to come back. */
  readonly defaultRetryAfterMs: number;
}

/** What does not change while the request runs. */
export interface ModelFacts {
  readonly requestId: string;
  readonly deadlineAtMs: number;
  /** The caller gave a key, so a repeat may adopt or replay the answer. */
  readonly isKeyed: boolean;
  /** The answer is finished and kept when the caller hangs up. */
  readonly isKept: boolean;
  readonly policy: ModelPolicy;
}

export type ModelStep =
  | 'new'
  | 'looking-up'
  | 'adopted'
  | 'awaiting-grant'
  | 'awaiting-start'
  | 'prefilling'
  | 'importing'
  | 'decoding'
  | 'probing'
  | 'asking-retry'
  | 'backing-off'
  | 'ended';

/** A failed run, until it is clear whom to blame. */
export interface RunFailure {
  readonly engineId: string;
  readonly address: string;
  readonly reason: EngineFailure['reason'];
  readonly wasPrefillWasted: boolean;
}

export interface ModelState {
  readonly step: ModelStep;
  /** Counts grant requests from 1; each has its own attempt id. */
  readonly attempt: number;
  /** Runs that reached an engine. */
  readonly runs: number;
  /** Engines where runs of this request failed. */
  readonly failedEngineIds: readonly string[];
  /** Refused or lost grant requests since the last run. */
  readonly grantAsks: number;
  readonly grant?: Grant;
  /** Tokens that the caller has, from offset 0. */
  readonly deliveredTokens: number;
  /** `deliveredTokens` when this run began. */
  readonly runStartTokens: number;
  /** An earlier run may have computed something. */
  readonly mayHaveRun: boolean;
  /** The caller hung up and the draft is kept. */
  readonly isAbandoned: boolean;
  readonly failure?: RunFailure;
}

export type ModelEvent =
  | {readonly kind: 'started'}
  | {
      readonly kind: 'looked-up';
      readonly outcome: 'run' | 'adopted' | 'replayed' | 'conflict';
    }
  | {
      readonly kind: 'adopted-tokens';
      readonly offset: number;
      readonly texts: readonly string[];
    }
  | {
      readonly kind: 'adopted-end';
      readonly tokenCount: number;
      readonly finishReason: 'stop' | 'length';
    }
  | {readonly kind: 'adoption-lost'}
  | {
      readonly kind: 'grant-given';
      readonly attempt: number;
      readonly grant: Grant;
    }
  | {
      readonly kind: 'grant-refused';
      readonly attempt: number;
      readonly refusal: GrantRefusal;
    }
  | {
      readonly kind: 'start-due';
      readonly attempt: number;
      readonly nowMs: number;
      /** The process was paused meanwhile, so the grant may have lapsed. */
      readonly isStale: boolean;
    }
  | {
      readonly kind: 'prefill-done';
      readonly attempt: number;
      readonly grant: Grant;
      readonly kvHandle: string;
      readonly kvSizeBytes: number;
      readonly cachedTokens: number;
    }
  | {
      readonly kind: 'import-done';
      readonly attempt: number;
      readonly grant: Grant;
      readonly sessionId: string;
    }
  | {
      readonly kind: 'engine-failed';
      readonly attempt: number;
      readonly grant: Grant;
      readonly during: 'prefill' | 'import';
      readonly failure: EngineFailure;
    }
  | {
      readonly kind: 'frame';
      readonly attempt: number;
      readonly requestId: string;
      readonly isOwnAttempt: boolean;
      readonly frame: DecodeEvent;
    }
  | {readonly kind: 'step-timeout'; readonly attempt: number}
  | {
      readonly kind: 'probed';
      readonly attempt: number;
      readonly isAlive: boolean;
    }
  | {readonly kind: 'retry-allowed'; readonly delayMs: number}
  | {readonly kind: 'retry-denied'}
  | {readonly kind: 'retry-due'; readonly nowMs: number}
  | {readonly kind: 'caller-gone'}
  | {readonly kind: 'caller-back'}
  | {readonly kind: 'keep-bound'}
  | {readonly kind: 'renew-due'}
  | {readonly kind: 'deadline'}
  | {readonly kind: 'overrun'};

export type ModelTimer =
  'step' | 'start' | 'retry' | 'keep' | 'overrun' | 'renew';

export type ModelEffect =
  | {readonly kind: 'look-up'}
  | {
      readonly kind: 'request-grant';
      readonly attempt: number;
      readonly resumeOffset: number;
    }
  | {readonly kind: 'abandon-grant-request'}
  | {
      readonly kind: 'report';
      readonly grant: Grant;
      readonly progress: GrantProgress;
    }
  | {
      readonly kind: 'prefill';
      readonly attempt: number;
      readonly grant: Grant;
    }
  | {
      readonly kind: 'import';
      readonly attempt: number;
      readonly grant: Grant;
      readonly kvHandle: string;
      readonly kvSizeBytes: number;
    }
  | {
      readonly kind: 'decode';
      readonly attempt: number;
      readonly grant: Grant;
      readonly sessionId: string;
      readonly fromOffset: number;
    }
  | {readonly kind: 'stop-stream'}
  | {
      /** Frees what an engine holds for a run. */
      readonly kind: 'release';
      readonly attempt: number;
      readonly address: string;
    }
  | {
      readonly kind: 'probe';
      readonly attempt: number;
      readonly address: string;
    }
  | {readonly kind: 'blame'; readonly engineId: string}
  | {readonly kind: 'ask-retry'}
  | {
      readonly kind: 'set-timer';
      readonly timer: ModelTimer;
      readonly delayMs: number;
    }
  | {readonly kind: 'clear-timer'; readonly timer: ModelTimer}
  | {
      readonly kind: 'deliver';
      readonly offset: number;
      readonly texts: readonly string[];
    }
  | {
      readonly kind: 'finish';
      readonly finishReason: 'stop' | 'length';
      readonly tokenCount: number;
    }
  | {readonly kind: 'fail'; readonly error: RequestError}
  | {readonly kind: 'drop'; readonly what: 'late' | 'crossed' | 'repeated'};
