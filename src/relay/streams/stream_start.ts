/**
 * Brings a placed stream to the head of its answer: the prompt is read by the
 * prefill engine, then the decode engine is asked, and others if it refuses.
 */

import type {RequestError} from '../../core/error_kinds.js';
import type {Clock} from '../../ports/clock.js';
import type {
  SendFailure,
  SendOptions,
  UpstreamAnswer,
  UpstreamPort,
} from '../../ports/relay.js';
import {isGenuine} from '../answers/answer_rules.js';
import type {CountedCalls, Spent} from './counted_calls.js';
import type {EngineFailures} from './engine_failures.js';
import type {EngineScheduler} from '../placement/engine_scheduler.js';
import {createPrefillStep} from './prefill_step.js';
import {
  CONNECT_TIMEOUT_MS,
  KEY_WITHDRAWN,
  leftMs,
  type RelayJob,
} from '../relay_types.js';
import type {SharedLearning} from '../placement/shared_learning.js';
import type {StreamState} from './stream_state.js';
import type {Upstream} from '../../core/upstream.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface StreamStartHost {
  readonly clock: Clock;
  readonly upstreamPort: UpstreamPort;
  readonly scheduler: EngineScheduler;
  readonly registry: UpstreamRegistry;
  readonly calls: CountedCalls;
  readonly learning: SharedLearning;
  readonly failures: EngineFailures;
  /** A run broke off. */
  onBroken(job: RelayJob, upstream: Upstream): void;
}

export interface StreamStart {
  start(state: StreamState): Promise<Start>;
  /** Moves the request to other engines at once; false if none has room. */
  moveOn(state: StreamState): boolean;
  /** Has a prefill result that nobody will take freed at its engine. */
  dropSource(state: StreamState): void;
  /** Frees what is booked. */
  release(state: StreamState): void;
}

/** How far a stream came. */
export type Start =
  | {readonly kind: 'streaming'; readonly answer: UpstreamAnswer}
  | {
      readonly kind: 'failed';
      readonly error: RequestError;
      /** Whether an engine may have run the request. */
      readonly mayHaveRun: boolean;
    }
  | {readonly kind: 'cancelled'};

/** Sends of a request that no engine has run yet. */
const MAX_DECODE_TRIES = 4;
/**
 * A resumable stream that shows nothing for this long goes on elsewhere. An
 * engine under preemption may pause for most of a second.
 */
export const SILENCE_MS = 1_300;
const DEADLINE_SLACK_MS = 60;

export function createStreamStart(host: StreamStartHost): StreamStart {
  const {clock, upstreamPort, scheduler, registry, failures, calls} = host;
  const prefillStep = createPrefillStep(host);

  function sendDecode(
    state: StreamState,
  ): Promise<UpstreamAnswer | SendFailure | Spent> {
    const {job, placement} = state;
    const untilDeadlineMs = leftMs(job.deadlineAtMs, clock.nowMs());
    const headTimeoutMs = mayRunAgain(state)
      ? Math.min(SILENCE_MS, untilDeadlineMs)
      : untilDeadlineMs + DEADLINE_SLACK_MS;
    const options: SendOptions = {
      upstream: placement.decode,
      leftMs: untilDeadlineMs,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      headTimeoutMs,
      mayReuseConnection: false,
      prefill: state.source,
      resumeAfterEvent: state.ran.length > 0 ? state.lastEventId : undefined,
    };
    return calls.run(state, () =>
      upstreamPort.send(job.request, options, job.cancellation),
    );
  }

  /** Whether a run more may follow the one that is about to start. */
  function mayRunAgain(state: StreamState): boolean {
    const {isResumable, maxAttempts} = state.job.route;
    return isResumable && state.ran.length + 1 < maxAttempts;
  }

  /**
   * Moves the request to another decode engine; false if none has room.
   * Without a prefill result one is made anew: a decode engine that reads a
   * long prompt itself holds up all of its runs beyond their pace.
   */
  function moveOn(state: StreamState): boolean {
    const wantsPrefill = state.source === undefined;
    const next = scheduler.placeAgain(state.need, state.avoid, wantsPrefill);
    if (!next) return false;
    release(state);
    state.placement = next;
    return true;
  }

  function dropSource(state: StreamState): void {
    if (state.source) upstreamPort.releasePrefill(state.source);
    state.source = undefined;
  }

  function release(state: StreamState): void {
    state.placement.prefillBooking.end();
    scheduler.release(state.placement.run);
  }

  /**
   * The engine did not take the request. It may be full, or the prefill
   * result may be gone; it does not say which. First another engine is asked
   * with the same result, then the prompt is read again.
   */
  function afterRejection(state: StreamState, tries: number): boolean {
    const {placement} = state;
    scheduler.noteFull(placement.decode.id);
    state.avoid.add(placement.decode.id);
    if (tries > 1 && state.source) {
      if (placement.prefill) scheduler.noteFailure(placement.prefill.id);
      dropSource(state);
    }
    return moveOn(state);
  }

  async function start(state: StreamState): Promise<Start> {
    const {job} = state;
    let failure: RequestError = {kind: 'no-upstream', detail: 'None had room.'};
    for (let tries = 1; tries <= MAX_DECODE_TRIES; tries++) {
      if (job.cancellation.isCancelled) return {kind: 'cancelled'};
      // A run that began before the withdrawal may be gone on with.
      if (state.ran.length === 0 && job.admitted.isWithdrawn()) {
        return notRun(KEY_WITHDRAWN);
      }
      if (!state.source && state.placement.prefill) {
        const read = await prefillStep.run(state);
        if (job.cancellation.isCancelled) return {kind: 'cancelled'};
        if (read.kind === 'spent') return notRun(toOverload(read));
        if (read.kind === 'read') state.source = read.source;
      }
      const {decode} = state.placement;
      // Draining may have begun while the prompt was read.
      const isOpen = registry
        .open(job.service.name)
        .some(each => each.id === decode.id);
      const outcome: UpstreamAnswer | SendFailure | Spent = isOpen
        ? await sendDecode(state)
        : {kind: 'unreachable', detail: 'the engine leaves'};
      if (outcome.kind === 'spent') return notRun(toOverload(outcome));
      if (outcome.kind !== 'answered') {
        failures.write('Send failed.', state, decode, outcome);
      }
      switch (outcome.kind) {
        case 'answered':
          scheduler.noteTaken(decode.id);
          return takeHead(state, outcome);
        case 'cancelled':
          return outcome;
        case 'broken':
          state.ran.push(decode.id);
          host.onBroken(job, decode);
          failures.note(decode, outcome);
          failure = {kind: 'upstream-failed', detail: outcome.detail};
          return {kind: 'failed', error: failure, mayHaveRun: true};
        case 'unreachable':
          if (isOpen) failures.note(decode, outcome);
          state.avoid.add(decode.id);
          failure = {kind: 'no-upstream', detail: outcome.detail};
          if (!moveOn(state)) return notRun(failure);
          break;
        case 'withheld': {
          const {detail, retryAfterMs} = outcome;
          failures.note(decode, outcome);
          state.avoid.add(decode.id);
          failure = {kind: 'overloaded', detail, retryAfterMs};
          if (!moveOn(state)) return notRun(failure);
          break;
        }
        case 'rejected':
          failures.note(decode, outcome);
          failure = {kind: 'overloaded', detail: outcome.detail};
          if (!afterRejection(state, tries)) return notRun(failure);
          break;
      }
    }
    return notRun(failure);
  }

  const toOverload = ({detail}: Spent): RequestError => ({
    kind: 'overloaded',
    detail,
  });

  function notRun(error: RequestError): Start {
    return {kind: 'failed', error, mayHaveRun: false};
  }

  function takeHead(state: StreamState, answer: UpstreamAnswer): Start {
    const {decode} = state.placement;
    state.ran.push(decode.id);
    // The engine has taken it with the request.
    state.source = undefined;
    if (isGenuine(answer)) return {kind: 'streaming', answer};
    answer.body.destroy();
    scheduler.noteFailure(decode.id);
    return {
      kind: 'failed',
      error: {
        kind: 'upstream-failed',
        detail: `status ${answer.status} without proof`,
      },
      mayHaveRun: true,
    };
  }

  return {start, moveOn, dropSource, release};
}
