/** Has the prompt of a stream read by a prefill engine. */

import type {Clock} from '../ports/clock.js';
import type {
  PrefillResultPlace,
  SendFailure,
  UpstreamPort,
} from '../ports/relay.js';
import type {RetryBudget} from '../request/retry_budget.js';
import type {EngineFailures} from './engine_failures.js';
import type {EngineScheduler, PrefillBooking} from './engine_scheduler.js';
import {CONNECT_TIMEOUT_MS, leftMs} from './relay_types.js';
import type {SharedLearning} from './shared_learning.js';
import type {StreamState} from './stream_state.js';
import type {Upstream} from './upstream.js';

export interface PrefillStepHost {
  readonly clock: Clock;
  readonly upstreamPort: UpstreamPort;
  readonly scheduler: EngineScheduler;
  readonly failures: EngineFailures;
  readonly retryBudget: RetryBudget;
  readonly learning: SharedLearning;
}

export interface PrefillStep {
  /** None when the decode engine is to read the prompt itself. */
  run(state: StreamState): Promise<PrefillResultPlace | undefined>;
}

/** Prefill engines that one request may ask, one after another. */
const MAX_TRIES = 3;
/** A prompt is read in some 100 ms; several may be ahead of it. */
const PREFILL_TIMEOUT_MS = 1_500;

export function createPrefillStep(host: PrefillStepHost): PrefillStep {
  const {clock, upstreamPort, scheduler, failures, retryBudget} = host;

  async function readAt(
    state: StreamState,
    engine: Upstream,
    booking: PrefillBooking,
  ): Promise<PrefillResultPlace | SendFailure> {
    const {job, need} = state;
    const startedAtMs = clock.nowMs();
    const outcome = await upstreamPort.prefill(
      job.request,
      {
        upstream: engine,
        leftMs: leftMs(job.deadlineAtMs, startedAtMs),
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        headTimeoutMs: PREFILL_TIMEOUT_MS,
        mayReuseConnection: false,
      },
      job.cancellation,
    );
    const wasAlone = booking.isAlone();
    booking.end();
    if (outcome.kind === 'rejected') scheduler.noteFull(engine.id);
    if (outcome.kind !== 'prefilled') {
      failures.note(engine, outcome);
      failures.write('Prefill failed.', state, engine, outcome);
      return outcome;
    }
    scheduler.noteSuccess(engine.id);
    scheduler.noteTaken(engine.id);
    if (wasAlone) {
      const durationMs = clock.nowMs() - startedAtMs;
      host.learning.notePrefill(need.promptTokens, durationMs);
    }
    return {address: engine.address, handle: outcome.handle};
  }

  return {
    async run(state) {
      const {job, need, placement} = state;
      const tried = new Set<string>();
      let engine = placement.prefill;
      let booking = placement.prefillBooking;
      for (let i = 0; engine && i < MAX_TRIES; i++) {
        const outcome = await readAt(state, engine, booking);
        if ('handle' in outcome) return outcome;
        if (job.cancellation.isCancelled) return undefined;
        tried.add(engine.id);
        // A connection that was never made cost no engine anything.
        const isFree = outcome.kind === 'unreachable';
        if (!isFree && !retryBudget.tryTake(job.service.name)) return undefined;
        const next = scheduler.prefillAgain(need, placement.decode, tried);
        if (!next) return undefined;
        ({engine, booking} = next);
      }
      return undefined;
    },
  };
}
