/**
 * Prepares the run that is to follow a silent one: engines with room that
 * answer, a retry, the prefill result of the prompt, and the start of the run.
 * The silent run stays open until an engine has accepted the next one, so that
 * there is one to go back to if all refuse it. Until then everything can be
 * given back.
 */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Cancellation, UpstreamPort} from '../../ports/relay.js';
import type {EngineLoads} from '../placement/engine_loads.js';
import type {EngineScheduler} from '../placement/engine_scheduler.js';
import type {Placement} from '../placement/placement_types.js';
import type {EngineSilence} from '../silence/engine_silence.js';
import {createRefusalTimer} from '../silence/refusal_wait.js';
import type {LeaveReason} from '../silence/silence_rules.js';
import {joinCancellations} from '../front/cancellation.js';
import type {BudgetedCalls} from './budgeted_calls.js';
import type {
  StartOutcome,
  StreamStart,
  Successor,
} from './stream_start_types.js';
import {mayResume, type StreamState} from './stream_state.js';

export interface SuccessorsHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly upstreamPort: Pick<UpstreamPort, 'releasePrefill'>;
  readonly scheduler: EngineScheduler;
  readonly engineLoads: EngineLoads;
  readonly silence: Pick<EngineSilence, 'answers' | 'hasRespondedSince'>;
  readonly calls: BudgetedCalls;
  start: StreamStart['start'];
}

/** What the run lacks that is to follow. */
type Missing =
  'attempt' | 'version' | 'retry' | 'room' | 'answer' | 'start' | 'cancelled';

export interface Successors {
  /** Undefined if no run can follow now; then nothing stays reserved. */
  prepare(
    state: StreamState,
    reason: LeaveReason,
    cancellation: Cancellation,
  ): Promise<Successor | undefined>;
  /** Releases what the run of the stream has used that is left now. */
  endLeft(state: StreamState): void;
}

/** How many decode engines are asked for an answer. */
const MAX_TARGETS = 3;
/** A prefill result is offered to two engines before the prompt is read anew. */
const MAX_SENDS = 2;
const STATUS_OK = 200;

export function createSuccessors(host: SuccessorsHost): Successors {
  const {clock, scheduler, engineLoads, calls} = host;

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

  function toNext(
    state: StreamState,
    placement: Placement,
    cancellation: Cancellation,
  ): StreamState {
    const {decode, run} = state.placement;
    engineLoads.setOutputTokens(placement.run, run.outputTokens);
    return {
      ...state,
      job: {
        ...state.job,
        cancellation: joinCancellations(state.job.cancellation, cancellation),
      },
      placement,
      ran: [...state.ran],
      ranVersions: [...state.ranVersions],
      avoid: new Set([...state.avoid, decode.id]),
      source: undefined,
      // The silent run was sent, though its outcome may not be known yet.
      countedCalls: Math.max(1, state.countedCalls),
      hasReservedRun: true,
      wasLeft: true,
    };
  }

  /** Starts the run; undefined if no engine accepts it. */
  async function tryStart(
    next: StreamState,
    isWanted: () => boolean,
  ): Promise<Successor | undefined> {
    const timer = createRefusalTimer(clock);
    let isAccepted = false;
    const started = host.start(next, {
      maxSends: MAX_SENDS,
      isWanted: () => isAccepted || isWanted(),
      onSent: timer.restart,
    });
    const outcome = await Promise.race([started, timer.over]);
    timer.stop();
    isAccepted = outcome === undefined;
    if (!outcome) return {next, started};
    const isStreaming =
      outcome.kind === 'streaming' && outcome.answer.status === STATUS_OK;
    if (isStreaming) return {next, started};
    endAnswer(outcome);
    return undefined;
  }

  /** Gives back what a next run has reserved that isn't made. */
  function release(
    state: StreamState,
    next: StreamState,
    begunFrom: number,
  ): void {
    endBookings(next.placement);
    if (next.source) host.upstreamPort.releasePrefill(next.source);
    if (next.hasReservedRun) calls.giveBackRun(next);
    // Only the first prompt that an engine reads is free, used or not.
    state.wasPrefilled ||= next.wasPrefilled;
    // Engines that may have begun the run count towards the attempts.
    state.ran.push(...next.ran.slice(begunFrom));
    state.ranVersions.push(...next.ranVersions.slice(begunFrom));
  }

  async function prepareAt(
    state: StreamState,
    placement: Placement,
    cancellation: Cancellation,
    isWanted: () => boolean,
  ): Promise<Successor | Missing> {
    if (cancellation.isCancelled || !(await calls.reserveRun(state))) {
      endBookings(placement);
      return cancellation.isCancelled ? 'cancelled' : 'retry';
    }
    const next = toNext(state, placement, cancellation);
    const begunFrom = next.ran.length;
    const successor = cancellation.isCancelled
      ? undefined
      : await tryStart(next, isWanted);
    if (successor && !cancellation.isCancelled) return successor;
    void successor?.started.then(endAnswer);
    release(state, next, begunFrom);
    return cancellation.isCancelled ? 'cancelled' : 'start';
  }

  async function tryPrepare(
    state: StreamState,
    reason: LeaveReason,
    cancellation: Cancellation,
  ): Promise<Successor | Missing> {
    const sinceMs = clock.nowMs();
    const engineId = state.placement.decode.id;
    // An engine that responds again continues its runs in a moment.
    const isWanted = () =>
      reason === 'dead-connection' ||
      !host.silence.hasRespondedSince(engineId, sinceMs);
    if (!mayResume(state)) return 'attempt';
    if (state.events > 0 && state.need.version === undefined) return 'version';
    if (!calls.canRetryRun(state)) return 'retry';
    const placement = await placeAtAnswering(state);
    if (typeof placement === 'string') return placement;
    return prepareAt(state, placement, cancellation, isWanted);
  }

  return {
    async prepare(state, reason, cancellation) {
      const outcome = await tryPrepare(state, reason, cancellation);
      if (typeof outcome !== 'string') return outcome;
      host.log.info('No other run for a silent one.', {
        request: state.job.request.requestId,
        upstream: state.placement.decode.id,
        reason,
        missing: outcome,
        sinceEventMs: Math.round(clock.nowMs() - state.lastEventAtMs),
      });
      return undefined;
    },
    endLeft(state) {
      endBookings(state.placement);
      if (state.source) host.upstreamPort.releasePrefill(state.source);
    },
  };
}

function endAnswer(outcome: StartOutcome): void {
  if (outcome.kind !== 'streaming') return;
  outcome.watch?.end();
  outcome.answer.body.destroy();
}
