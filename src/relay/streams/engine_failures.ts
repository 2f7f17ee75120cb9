/** Records and logs the calls that engines failed to answer. */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {SendFailure} from '../../ports/relay.js';
import type {EngineLoads} from '../placement/engine_loads.js';
import type {EngineScheduler} from '../placement/engine_scheduler.js';
import type {StreamState} from './stream_state.js';
import type {Upstream} from '../../core/upstream.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface EngineFailuresHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly scheduler: EngineScheduler;
  readonly engineLoads: EngineLoads;
  readonly registry: UpstreamRegistry;
}

export interface EngineFailures {
  /** Takes the engine out of use if the failure shows that it is necessary. */
  record(engine: Upstream, failure: SendFailure): void;
  /** Logs the failure with the load that the engine was chosen by. */
  logFailure(
    message: string,
    state: StreamState,
    engine: Upstream,
    failure: Failure,
  ): void;
}

/** A failed send, or a stream that broke off. */
export type Failure =
  SendFailure | {readonly kind: 'broken'; readonly detail: string};

/** Handles reasons for a refusal other than a lack of capacity. */
const REJECTION_HANDLERS: Readonly<
  Partial<
    Record<
      Extract<SendFailure, {kind: 'rejected'}>['reason'],
      (host: EngineFailuresHost, engineId: string) => void
    >
  >
> = {
  'other-instance': ({registry}, id) => registry.markReplaced(id),
  'other-role': ({scheduler}, id) => scheduler.recordRoleMismatch(id),
};

export function createEngineFailures(host: EngineFailuresHost): EngineFailures {
  const {clock, log, scheduler, engineLoads, registry} = host;

  /**
   * Marks the engine as full: the host that places requests for this host
   * doesn't know that this host must not send to the engine.
   */
  function recordWithheld(
    {id}: Upstream,
    {scope, retryAfterMs}: Extract<SendFailure, {kind: 'withheld'}>,
  ): void {
    scheduler.recordRefusal(
      id,
      scope === 'all-hosts' ? retryAfterMs : undefined,
    );
  }

  return {
    record(engine, failure) {
      switch (failure.kind) {
        case 'unreachable':
          registry.markUnreachable(engine.id);
          return;
        case 'broken':
          if (!failure.isOfPeer) scheduler.recordFailure(engine.id);
          return;
        case 'rejected':
          REJECTION_HANDLERS[failure.reason]?.(host, engine.id);
          return;
        case 'withheld':
          recordWithheld(engine, failure);
          return;
        case 'quarantined':
        case 'cancelled':
          return;
      }
    },
    logFailure(message, state, engine, failure) {
      if (failure.kind === 'cancelled') return;
      const {job, need, placement} = state;
      const {runs, tokensNow, tokensAtEnd} = engineLoads.decodeLoad(
        placement.decode.id,
      );
      log.info(message, {
        request: job.request.requestId,
        upstream: engine.id,
        failure: failure.kind,
        reason: failure.detail,
        promptTokens: need.promptTokens,
        hasPrefill: state.source !== undefined,
        bookedRuns: runs,
        bookedTokens: Math.round(tokensNow),
        bookedAtEnd: Math.round(tokensAtEnd),
        bookedPrefill: engineLoads.prefillLoad(engine.id).tokens,
        ageMs: Math.round(clock.nowMs() - job.request.arrivedAtMs),
      });
    },
  };
}
