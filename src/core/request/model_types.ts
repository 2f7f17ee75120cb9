/** States, events and effects of one model request. */

import type {DecodeEvent, EngineFailure} from '../../ports/engine.js';
import type {Grant, GrantProgress, GrantRefusal} from '../../ports/grants.js';
import type {RequestError} from '../error_kinds.js';

export interface ModelPolicy {
  /** Maximum runs of one request, including the first. */
  readonly maxAttempts: number;
  /** Maximum grant requests per run when the home is unreachable or moved. */
  readonly maxGrantRequests: number;
  readonly prefillTimeoutMs: number;
  readonly importTimeoutMs: number;
  /** Interval at which a running grant is renewed; otherwise it expires. */
  readonly renewIntervalMs: number;
  /** Longest time between two frames of a decode stream. */
  readonly tokenProgressMs: number;
  /** A run is started only if at least this time is left to the deadline. */
  readonly minServeMs: number;
  /** How long a started stream may continue after the deadline. */
  readonly streamOverrunMs: number;
  /**
   * How long a request with `isKept` may continue after its caller has
   * disconnected.
   */
  readonly keepRunningMs: number;
  /** Used if a refusal contains no retry delay. */
  readonly defaultRetryAfterMs: number;
}

/** Values that stay the same for the whole request. */
export interface ModelFacts {
  readonly requestId: string;
  readonly deadlineAtMs: number;
  /**
   * The request has a key, so a repeated request may take over the answer in
   * progress (adopt it) or get the stored one (replay it).
   */
  readonly isKeyed: boolean;
  /** The answer is completed and stored if the caller disconnects. */
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
  /** A silent run is held, and no other can be prepared now. */
  | 'holding'
  | 'ended';

/** The failure of the last run, until it is decided whether to retry. */
export interface RunFailure {
  readonly engineId: string;
  readonly address: string;
  readonly reason: EngineFailure['reason'];
  readonly wasPrefillWasted: boolean;
}

/** A silent run that is still open while another is prepared. */
export interface HeldRun {
  readonly attempt: number;
  readonly grant: Grant;
  readonly runStartTokens: number;
  /** Those before the engine of this run was added. */
  readonly failedEngineIds: readonly string[];
  /** The result of the last probe of its engine; `silent` before the first. */
  readonly engine: 'silent' | 'alive' | 'unreachable';
}

export interface ModelState {
  readonly step: ModelStep;
  /** Number of the current grant request, from 1; each has an attempt id. */
  readonly attempt: number;
  /** The highest number of a grant request. */
  readonly lastAttempt: number;
  /** Number of runs started, each with a prefill. */
  readonly runs: number;
  /** Engines on which runs of this request failed. */
  readonly failedEngineIds: readonly string[];
  /** Refused or unanswered grant requests since the last run. */
  readonly failedGrantRequests: number;
  readonly grant?: Grant;
  readonly held?: HeldRun;
  /** Number of tokens delivered to the caller. */
  readonly deliveredTokens: number;
  /** `deliveredTokens` at the start of the current run. */
  readonly runStartTokens: number;
  /** An earlier run may have been executed by an engine. */
  readonly mayHaveRun: boolean;
  /** The caller disconnected and the answer is kept. */
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
      /** The process was paused meanwhile, so the grant may have expired. */
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
      /** Frees the resources of a run at an engine. */
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
