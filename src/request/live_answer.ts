/** A model answer in progress, with the sinks that read it. */

import type {RequestError} from '../core/error_kinds.js';
import type {ModelAnswerSink} from '../ports/answer_sink.js';

/** A complete answer, kept for repeats of the request. */
export interface FinishedAnswer {
  readonly fingerprint: string;
  readonly texts: readonly string[];
  readonly finishReason: 'stop' | 'length';
}

export interface LiveAnswer {
  readonly fingerprint: string;
  push(texts: readonly string[]): void;
  finish(finishReason: 'stop' | 'length'): void;
  fail(error: RequestError): void;
  /** Replays the tokens so far, then follows. Returns a detach function. */
  attach(sink: ModelAnswerSink): () => void;
  readerCount(): number;
  /** Tokens from `fromOffset` on. */
  textsFrom(fromOffset: number): readonly string[];
  tokenCount(): number;
  finished(): FinishedAnswer | undefined;
  hasFailed(): boolean;
  /** Calls `callback` once, at the next push, end or failure. */
  onNextChange(callback: () => void): void;
}

/** Sends a complete answer to a sink. */
export function replay(answer: FinishedAnswer, sink: ModelAnswerSink): void {
  if (answer.texts.length > 0) sink.tokens(0, answer.texts);
  sink.end(answer.finishReason, answer.texts.length);
}

export function createLiveAnswer(fingerprint: string): LiveAnswer {
  const texts: string[] = [];
  const readers = new Set<ModelAnswerSink>();
  let waiters: (() => void)[] = [];
  let finishReason: 'stop' | 'length' | undefined;
  let failure: RequestError | undefined;

  function notifyWaiters(): void {
    const notified = waiters;
    waiters = [];
    notified.forEach(waiter => waiter());
  }

  return {
    fingerprint,
    push(newTexts) {
      const offset = texts.length;
      texts.push(...newTexts);
      readers.forEach(reader => reader.tokens(offset, newTexts));
      notifyWaiters();
    },
    finish(reason) {
      finishReason = reason;
      readers.forEach(reader => reader.end(reason, texts.length));
      readers.clear();
      notifyWaiters();
    },
    fail(error) {
      failure = error;
      readers.forEach(reader => reader.fail(error));
      readers.clear();
      notifyWaiters();
    },
    attach(sink) {
      if (texts.length > 0) sink.tokens(0, texts.slice());
      if (finishReason) sink.end(finishReason, texts.length);
      else if (failure) sink.fail(failure);
      else readers.add(sink);
      return () => readers.delete(sink);
    },
    readerCount: () => readers.size,
    textsFrom: fromOffset => texts.slice(fromOffset),
    tokenCount: () => texts.length,
    finished: () =>
      finishReason ? {fingerprint, texts, finishReason} : undefined,
    hasFailed: () => failure !== undefined,
    onNextChange(callback) {
      waiters.push(callback);
    },
  };
}
