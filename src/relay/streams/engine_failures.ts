/** What follows from a send that an engine did not answer, and its log line. */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {SendFailure} from '../../ports/relay.js';
import type {EngineBooks} from '../placement/engine_books.js';
import type {EngineScheduler} from '../placement/engine_scheduler.js';
import type {StreamState} from './stream_state.js';
import type {Upstream} from '../../core/upstream.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface EngineFailuresHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly scheduler: EngineScheduler;
  readonly books: EngineBooks;
  readonly registry: UpstreamRegistry;
}

export interface EngineFailures {
  /** Takes the engine out of use as far as the failure tells. */
  note(engine: Upstream, failure: SendFailure): void;
  /** Writes the failure with the books that had led to the engine. */
  write(
    sentence: string,
    state: StreamState,
    engine: Upstream,
    failure: Failure,
  ): void;
}

/** A failed send, or a stream that broke off. */
export type Failure =
  SendFailure | {readonly kind: 'broken'; readonly detail: string};

/** What a refusal says about the engine beyond that it has no room. */
const REJECTIONS: Readonly<
  Partial<
    Record<
      Extract<SendFailure, {kind: 'rejected'}>['reason'],
      (host: EngineFailuresHost, engineId: string) => void
    >
  >
> = {
  'other-instance': ({registry}, id) => registry.markGone(id),
  'other-role': ({scheduler}, id) => scheduler.noteOtherRole(id),
};

export function createEngineFailures(host: EngineFailuresHost): EngineFailures {
  const {clock, log, scheduler, books, registry} = host;

  /** Who places for this host does not know that the engine rests for it. */
  function noteWithheld(
    {id}: Upstream,
    {scope, retryAfterMs}: Extract<SendFailure, {kind: 'withheld'}>,
  ): void {
    scheduler.noteFull(id, scope === 'all-hosts' ? retryAfterMs : undefined);
  }

  return {
    note(engine, failure) {
      switch (failure.kind) {
        case 'unreachable':
          registry.markUnreachable(engine.id);
          return;
        case 'broken':
          scheduler.noteFailure(engine.id);
          return;
        case 'rejected':
          REJECTIONS[failure.reason]?.(host, engine.id);
          return;
        case 'withheld':
          noteWithheld(engine, failure);
          return;
        case 'cancelled':
          return;
      }
    },
    write(sentence, state, engine, failure) {
      if (failure.kind === 'cancelled') return;
      const {job, need, placement} = state;
      const {runs, tokensNow, tokensAtEnd} = books.decodeLoad(
        placement.decode.id,
      );
      log.info(sentence, {
        request: job.request.requestId,
        upstream: engine.id,
        failure: failure.kind,
        reason: failure.detail,
        promptTokens: need.promptTokens,
        hasPrefill: state.source !== undefined,
        bookedRuns: runs,
        bookedTokens: Math.round(tokensNow),
        bookedAtEnd: Math.round(tokensAtEnd),
        bookedPrefill: books.prefillLoad(engine.id).tokens,
        ageMs: Math.round(clock.nowMs() - job.request.arrivedAtMs),
      });
    },
  };
}
