/**
 * Where the answer to one caller goes. The HTTP front makes it; the task that
 * runs the request writes to it. Exactly one of `end` and `fail` is called.
 */

import type {RequestError} from '../core/error_kinds.js';
import type {RequestClass} from './grants.js';
import type {StoredAnswer} from './journal.js';

/** A model request, parsed and admitted. */
export interface ModelRequest {
  readonly requestId: string;
  readonly service: string;
  readonly account: string;
  readonly requestClass: RequestClass;
  readonly model: string;
  readonly promptTokens: readonly number[];
  readonly maxTokens: number;
  /** Given by the caller; a repeat adopts or replays the running answer. */
  readonly idempotencyKey?: string;
  /** Hash of the account, the model, the prompt and the settings. */
  readonly fingerprint: string;
  /** On the process's clock. */
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

/** Receives the tokens of one answer, each once, in order. */
export interface ModelAnswerSink {
  /** `offset` counts tokens of the answer from 0. */
  tokens(offset: number, texts: readonly string[]): void;
  end(finishReason: 'stop' | 'length', tokenCount: number): void;
  fail(error: RequestError): void;
}

/** A call to a plain service, parsed and admitted. */
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

/** Receives the whole answer of a plain call. */
export interface PlainAnswerSink {
  end(answer: StoredAnswer): void;
  fail(error: RequestError): void;
}

/** One running request, as its caller's connection sees it. */
export interface RunningRequest {
  /** The caller hung up. */
  callerGone(): void;
}

/** Runs requests; one implementation per process. */
export interface RequestRunner {
  runModel(request: ModelRequest, sink: ModelAnswerSink): RunningRequest;
  runPlain(request: PlainRequest, sink: PlainAnswerSink): RunningRequest;
  /** Requests that have not ended. */
  activeCount(): number;
}
