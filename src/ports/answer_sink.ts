/**
 * Requests of callers and the sinks of their answers. The HTTP front creates a
 * sink, and the task of the request writes to it. Exactly one of `end` and
 * `fail` is called.
 */

import type {RequestError} from '../core/error_kinds.js';
import type {RequestClass} from './grants.js';
import type {StoredAnswer} from './journal.js';

/** A parsed and admitted model request. */
export interface ModelRequest {
  readonly requestId: string;
  readonly service: string;
  readonly account: string;
  readonly requestClass: RequestClass;
  readonly model: string;
  readonly promptTokens: readonly number[];
  readonly maxTokens: number;
  /** Set by the caller; a repeat follows or replays the existing answer. */
  readonly idempotencyKey?: string;
  /** Hash of the account, the model, the prompt and the settings. */
  readonly fingerprint: string;
  /** On the monotonic clock of this process. */
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

/** Receives each token of an answer once and in order. */
export interface ModelAnswerSink {
  /** `offset` counts tokens of the answer from 0. */
  tokens(offset: number, texts: readonly string[]): void;
  end(finishReason: 'stop' | 'length', tokenCount: number): void;
  fail(error: RequestError): void;
}

/** A parsed and admitted call to a plain service. */
export interface PlainRequest {
  readonly requestId: string;
  readonly service: string;
  readonly account: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly repeatable: boolean;
  readonly idempotencyKey?: string;
  /** Hash of method, path and body. */
  readonly fingerprint: string;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

/** Receives the answer of a plain call. */
export interface PlainAnswerSink {
  end(answer: StoredAnswer): void;
  fail(error: RequestError): void;
}

/** Handle of a running request for the caller's connection. */
export interface RunningRequest {
  /** Called when the caller has disconnected. */
  callerGone(): void;
}

/** Runs the requests of this process. */
export interface RequestRunner {
  runModel(request: ModelRequest, sink: ModelAnswerSink): RunningRequest;
  runPlain(request: PlainRequest, sink: PlainAnswerSink): RunningRequest;
  /** Number of requests that have not ended. */
  activeCount(): number;
}
