/** The requests of a scenario and their outcomes for the callers. */

import {createHash} from 'node:crypto';
import {errorAnswers, type RequestError} from '../core/error_kinds.js';
import type {
  ModelAnswerSink,
  ModelRequest,
  PlainAnswerSink,
  PlainRequest,
  RunningRequest,
} from '../ports/answer_sink.js';
import type {StoredAnswer} from '../ports/journal.js';
import type {ProcessFence} from './process_fence.js';

/** The end of a request for its caller. */
export type CallerOutcome =
  | {readonly kind: 'whole'; readonly tokenCount: number}
  | {readonly kind: 'answered'; readonly answer: StoredAnswer}
  | {readonly kind: 'refused'; readonly error: RequestError};

/** A request with what its caller has received so far. */
export interface CallerView {
  readonly name: string;
  readonly entry: string;
  readonly request: ModelRequest | PlainRequest;
  readonly fence: ProcessFence;
  readonly tokens: readonly string[];
  readonly outcome: CallerOutcome | undefined;
  readonly endedAtMs: number | undefined;
  readonly isHungUp: boolean;
  /** Violations of the sink's contract: a gap, a repeat or a second end. */
  readonly violations: readonly string[];
  hangUp(): void;
}

export interface CallerHost {
  nowMs(): number;
  trace(text: string): void;
}

interface CallerState {
  tokens: string[];
  outcome: CallerOutcome | undefined;
  endCount: number;
  endedAtMs: number | undefined;
  isHungUp: boolean;
  violations: string[];
}

/** The sinks of a request; the process writes to one of them. */
export interface CallerSinks {
  readonly model: ModelAnswerSink;
  readonly plain: PlainAnswerSink;
}

/** Starts a request; `start` passes it to the process. */
export function startRequest(
  host: CallerHost,
  fence: ProcessFence,
  name: string,
  entry: string,
  request: ModelRequest | PlainRequest,
  start: (sinks: CallerSinks) => RunningRequest,
): CallerView {
  const view: CallerState = {
    tokens: [],
    outcome: undefined,
    endCount: 0,
    endedAtMs: undefined,
    isHungUp: false,
    violations: [],
  };
  const running = start(createSinks(host, name, view));
  return {
    name,
    entry,
    request,
    fence,
    get tokens() {
      return view.tokens;
    },
    get outcome() {
      return view.outcome;
    },
    get endedAtMs() {
      return view.endedAtMs;
    },
    get isHungUp() {
      return view.isHungUp;
    },
    get violations() {
      return view.violations;
    },
    hangUp() {
      view.isHungUp = true;
      host.trace(`${name}: the caller hangs up`);
      fence.deliver(() => running.callerGone());
    },
  };
}

function createSinks(
  host: CallerHost,
  name: string,
  view: CallerState,
): CallerSinks {
  const finish = (outcome: CallerOutcome, text: string) => {
    if (view.isHungUp) return;
    view.endCount++;
    if (view.endCount > 1) view.violations.push('a second answer');
    view.outcome ??= outcome;
    view.endedAtMs ??= host.nowMs();
    host.trace(`${name}: ${text}`);
  };
  const fail = (error: RequestError) => {
    const {code, runState} = errorAnswers[error.kind];
    const text = `refused, ${error.kind} (${code}, ${runState})`;
    finish({kind: 'refused', error}, text);
  };
  return {
    model: {
      tokens(offset, texts) {
        if (view.isHungUp) return;
        if (offset !== view.tokens.length || view.endCount > 0) {
          view.violations.push(
            `tokens at ${offset}, not ${view.tokens.length}`,
          );
        }
        if (view.tokens.length === 0) host.trace(`${name}: first token`);
        view.tokens.push(...texts);
      },
      end(_, tokenCount) {
        finish({kind: 'whole', tokenCount}, `whole, ${tokenCount} tokens`);
      },
      fail,
    },
    plain: {
      end(answer) {
        finish({kind: 'answered', answer}, `answered ${answer.status}`);
      },
      fail,
    },
  };
}

/** The fingerprint of a request's content, as the front computes it. */
export function createFingerprint(...parts: readonly string[]): string {
  return createHash('sha256').update(parts.join('\n')).digest('hex');
}

export function isModelRequest(
  request: ModelRequest | PlainRequest,
): request is ModelRequest {
  return 'promptTokens' in request;
}
