/**
 * Prepares the run that is to follow a silent one: a retry, engines with room
 * that answer, and the prefill result of the prompt. Until the successor is
 * adopted, all of it can be given back.
 */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Cancellation, UpstreamPort} from '../../ports/relay.js';
import type {EngineLoads} from '../placement/engine_loads.js';
import type {EngineScheduler} from '../placement/engine_scheduler.js';
import type {Placement} from '../placement/placement_types.js';
import type {EngineSilence} from '../silence/engine_silence.js';
import type {LeaveReason} from '../silence/silence_rules.js';
import type {BudgetedCalls} from './budgeted_calls.js';
import type {PrefillStep} from './prefill_step.js';
import type {StreamState} from './stream_state.js';

export interface SuccessorsHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly upstreamPort: Pick<UpstreamPort, 'releasePrefill'>;
  readonly scheduler: EngineScheduler;
  readonly engineLoads: EngineLoads;
  readonly silence: Pick<EngineSilence, 'answers'>;
  readonly calls: BudgetedCalls;
  readonly prefillStep: PrefillStep;
}

/** The state of a stream as it is once its next run is sent. */
export interface Successor {
  readonly next: StreamState;
}

/** What the run lacks that is to follow. */
type Missing =
  'version' | 'retry' | 'room' | 'quarantine' | 'cancelled' | 'answer';

export interface Successors {
  /** Undefined if no run can follow now; then nothing stays reserved. */
  prepare(
    state: StreamState,
    reason: LeaveReason,
    cancellation: Cancellation,
  ): Promise<Successor | undefined>;
  /** Replaces the run of the stream, whose connection is closed. */
  adopt(state: StreamState, successor: Successor): void;
}

/** How many decode engines are asked for an answer. */
const MAX_TARGETS = 3;

export function createSuccessors(host: SuccessorsHost): Successors {
  const {scheduler, engineLoads, calls} = host;

  function endBookings({prefillReservation, run}: Placement): void {
    prefillReservation.end();
    scheduler.release(run);
  }

  /** Books engines whose decode engine answers; undefined if there is none. */
  async function placeAtAnswering(
    state: StreamState,
  ): Promise<Placement | 'room' | 'answer'> {
    const avoid = new Set([...state.avoid, state.placement.decode.id]);
    for (let i = 0; i < MAX_TARGETS; i++) {
      const placement = scheduler.placeAgain(state.need, avoid, true);
      if (!placement) return i === 0 ? 'room' : 'answer';
      if (await host.silence.answers(placement.decode)) return placement;
      endBookings(placement);
      avoid.add(placement.decode.id);
    }
    return 'answer';
  }

  /** Reads the prompt for the next run; returns what is missing, if anything. */
  async function readPrompt(next: StreamState): Promise<Missing | undefined> {
    if (!next.placement.prefill) return undefined;
    const outcome = await host.prefillStep.run(next);
    switch (outcome.kind) {
      case 'read':
        next.source = outcome.source;
        return undefined;
      case 'not-read':
        next.placement = {...next.placement, prefill: undefined};
        return undefined;
      case 'no-retries':
        return 'retry';
      case 'quarantined':
        return 'quarantine';
    }
  }

  async function prepareAt(
    state: StreamState,
    placement: Placement,
    cancellation: Cancellation,
  ): Promise<Successor | Missing> {
    const next: StreamState = {
      ...state,
      job: {...state.job, cancellation},
      placement,
      source: undefined,
      // The silent run was sent, though its outcome may not be known yet.
      countedCalls: Math.max(1, state.countedCalls),
      hasReservedRun: true,
    };
    engineLoads.setOutputTokens(
      placement.run,
      state.placement.run.outputTokens,
    );
    const missing = await readPrompt(next);
    // Only the first prompt that an engine reads is free, used or not.
    state.wasPrefilled ||= next.wasPrefilled;
    if (missing === undefined && !cancellation.isCancelled) return {next};
    if (next.source) host.upstreamPort.releasePrefill(next.source);
    return missing ?? 'cancelled';
  }

  async function prepareWithRetry(
    state: StreamState,
    placement: Placement,
    cancellation: Cancellation,
  ): Promise<Successor | Missing> {
    if (cancellation.isCancelled) return 'cancelled';
    if (!(await calls.reserveRun(state))) return 'retry';
    const outcome = cancellation.isCancelled
      ? 'cancelled'
      : await prepareAt(state, placement, cancellation);
    if (typeof outcome === 'string') calls.giveBackRun(state);
    return outcome;
  }

  async function tryPrepare(
    state: StreamState,
    cancellation: Cancellation,
  ): Promise<Successor | Missing> {
    if (state.events > 0 && state.need.version === undefined) return 'version';
    if (!calls.canRetryRun(state)) return 'retry';
    const placement = await placeAtAnswering(state);
    if (typeof placement === 'string') return placement;
    const outcome = await prepareWithRetry(state, placement, cancellation);
    if (typeof outcome === 'string') endBookings(placement);
    return outcome;
  }

  return {
    async prepare(state, reason, cancellation) {
      const outcome = await tryPrepare(state, cancellation);
      if (typeof outcome !== 'string') return outcome;
      host.log.info('No other run for a silent one.', {
        request: state.job.request.requestId,
        upstream: state.placement.decode.id,
        reason,
        missing: outcome,
        sinceEventMs: Math.round(host.clock.nowMs() - state.lastEventAtMs),
      });
      return undefined;
    },
    adopt(state, {next}) {
      endBookings(state.placement);
      if (state.source) host.upstreamPort.releasePrefill(state.source);
      state.avoid.add(state.placement.decode.id);
      state.placement = next.placement;
      state.source = next.source;
      state.countedCalls = next.countedCalls;
      state.wasPrefilled = next.wasPrefilled;
      state.hasReservedRun = true;
    },
  };
}
