/** Has a prefill engine compute the prompt of a stream. */

import type {Clock} from '../../ports/clock.js';
import type {
  PrefillResultPlace,
  SendFailure,
  SendOptions,
  UpstreamPort,
} from '../../ports/relay.js';
import type {BudgetedCalls, NoRetries} from './budgeted_calls.js';
import type {EngineFailures} from './engine_failures.js';
import type {EngineScheduler} from '../placement/engine_scheduler.js';
import type {PrefillReservation} from '../placement/placement_types.js';
import {CONNECT_TIMEOUT_MS, leftMs} from '../relay_types.js';
import type {SharedStatistics} from '../placement/shared_statistics.js';
import type {StreamState} from './stream_state.js';
import type {Upstream} from '../../core/upstream.js';

export interface PrefillStepHost {
  readonly clock: Clock;
  readonly upstreamPort: Pick<UpstreamPort, 'prefill'>;
  readonly scheduler: EngineScheduler;
  readonly failures: EngineFailures;
  readonly calls: BudgetedCalls;
  readonly statistics: SharedStatistics;
}

export type PrefillStepOutcome =
  | {readonly kind: 'read'; readonly source: PrefillResultPlace}
  /** The decode engine has to prefill the prompt itself. */
  | {readonly kind: 'not-read'}
  | Extract<SendFailure, {kind: 'quarantined'}>
  | NoRetries;

export interface PrefillStep {
  run(state: StreamState): Promise<PrefillStepOutcome>;
}

/** Maximum number of prefill engines that are tried for one request. */
const MAX_ATTEMPTS = 3;
/** An idle engine answers well within this time. */
const PREFILL_TIMEOUT_MS = 1_500;
/**
 * Timeout of an engine with a backlog, as a multiple of the expected time. A
 * prompt whose call times out is computed in vain and again elsewhere.
 */
const BACKLOG_FACTOR = 2;

export function createPrefillStep(host: PrefillStepHost): PrefillStep {
  const {clock, upstreamPort, scheduler, failures, calls} = host;

  async function prefillAt(
    state: StreamState,
    engine: Upstream,
    reservation: PrefillReservation,
  ): Promise<PrefillStepOutcome | SendFailure> {
    const {job, need} = state;
    let startedAtMs = clock.nowMs();
    const {speeds, tokensPerMs} = host.statistics;
    const engineTokensPerMs = tokensPerMs() * speeds.factorOf(engine.id);
    const backlogMs = reservation.backlogTokens() / engineTokensPerMs;
    const options: Omit<SendOptions, 'leftMs'> = {
      upstream: engine,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      headTimeoutMs: Math.max(PREFILL_TIMEOUT_MS, BACKLOG_FACTOR * backlogMs),
      mayReuseConnection: false,
      enginePriority: state.enginePriority,
    };
    const outcome = await calls.prefill(state, () => {
      // A retry may have waited for its owner, which is no prefill time.
      startedAtMs = clock.nowMs();
      return upstreamPort.prefill(
        job.request,
        {...options, leftMs: leftMs(job.deadlineAtMs, startedAtMs)},
        job.cancellation,
      );
    });
    const wasAlone = reservation.isUncontended();
    reservation.end();
    if (outcome.kind === 'no-retries') return outcome;
    if (outcome.kind === 'rejected') scheduler.recordRefusal(engine.id);
    if (outcome.kind !== 'prefilled') {
      failures.record(engine, outcome);
      failures.logFailure('Prefill failed.', state, engine, outcome);
      return outcome;
    }
    scheduler.recordSuccess(engine.id);
    scheduler.recordAcceptance(engine.id);
    if (wasAlone) {
      const durationMs = clock.nowMs() - startedAtMs;
      host.statistics.recordPrefill(need.promptTokens, durationMs);
      if (durationMs > 0) {
        speeds.recordPrompt(engine, need.promptTokens / durationMs);
      }
    }
    const {handle} = outcome;
    const {id: engineId, address} = engine;
    return {kind: 'read', source: {engineId, address, handle}};
  }

  /** Whether no other engine is to be tried. */
  function isFinal(
    outcome: PrefillStepOutcome | SendFailure,
  ): outcome is PrefillStepOutcome {
    const {kind} = outcome;
    return kind === 'read' || kind === 'no-retries' || kind === 'quarantined';
  }

  return {
    async run(state) {
      const {job, need, placement} = state;
      const tried = new Set<string>();
      let engine = placement.prefill;
      let reservation = placement.prefillReservation;
      while (engine) {
        const end = await prefillAt(state, engine, reservation);
        if (isFinal(end)) return end;
        tried.add(engine.id);
        // An engine that is booked below must be called: a booking that is
        // never ended makes the engine look busy forever.
        if (job.cancellation.isCancelled || tried.size >= MAX_ATTEMPTS) break;
        const next = scheduler.prefillAgain(need, placement.decode, tried);
        if (!next) break;
        ({engine, reservation} = next);
      }
      return {kind: 'not-read'};
    },
  };
}
