/**
 * One stream of a model service, from its wait for engines to its last event.
 *
 * A stream that may not be resumed runs at most once: after a send that may
 * have reached an engine it is only ever handed on or ended. A resumable one
 * goes on at another engine after its last whole event.
 */

import type {RequestError} from '../core/error_kinds.js';
import type {Clock} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';
import type {
  Cancellation,
  SendFailure,
  UpstreamAnswer,
  UpstreamPort,
} from '../ports/relay.js';
import type {RetryBudget} from '../request/retry_budget.js';
import {passThrough} from './answer_delivery.js';
import {isGenuine, toTrueError} from './answer_rules.js';
import {createEngineFailures} from './engine_failures.js';
import type {
  EngineScheduler,
  PlacementOutcome,
  StreamNeed,
} from './engine_scheduler.js';
import type {EngineBooks} from './engine_books.js';
import type {RoleDemandMeter} from './role_demand.js';
import {createOutputForecast} from './output_forecast.js';
import {createPrefillStep} from './prefill_step.js';
import {
  CONNECT_TIMEOUT_MS,
  leftMs,
  type JobOutcome,
  type RelayJob,
} from './relay_types.js';
import {relayEvents, type StreamEnd} from './stream_events.js';
import type {StreamState} from './stream_state.js';
import type {Upstream, UpstreamRegistry} from './upstream_registry.js';
import {toWaiting} from './wait_rules.js';

export interface StreamRelayHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly upstreamPort: UpstreamPort;
  readonly scheduler: EngineScheduler;
  /** Finds engines for a new stream, here or at the host that places. */
  place(
    need: StreamNeed,
    cancellation: Cancellation,
  ): Promise<PlacementOutcome>;
  readonly books: EngineBooks;
  readonly registry: UpstreamRegistry;
  readonly retryBudget: RetryBudget;
  readonly demand: RoleDemandMeter;
  /** A run broke off. */
  onBroken(job: RelayJob, upstream: Upstream): void;
}

export interface StreamRelay {
  run(job: RelayJob): Promise<JobOutcome>;
}

/** Sends of a request that no engine has run yet. */
const MAX_DECODE_TRIES = 4;
/**
 * A resumable stream that shows nothing for this long goes on elsewhere. An
 * engine under preemption may pause for most of a second.
 */
const SILENCE_MS = 1_300;
const DEADLINE_SLACK_MS = 60;
const STATUS_OK = 200;

type Start =
  | {readonly kind: 'streaming'; readonly answer: UpstreamAnswer}
  | {
      readonly kind: 'failed';
      readonly error: RequestError;
      /** Whether an engine may have run the request. */
      readonly mayHaveRun: boolean;
    }
  | {readonly kind: 'cancelled'};

export function createStreamRelay(host: StreamRelayHost): StreamRelay {
  const {clock, upstreamPort, scheduler, books, registry, retryBudget} = host;
  const forecast = createOutputForecast();
  const failures = createEngineFailures(host);
  const prefillStep = createPrefillStep({...host, failures});

  function toNeed(job: RelayJob): StreamNeed {
    const {request, route, service, deadlineAtMs} = job;
    return {
      requestId: request.requestId,
      service,
      promptTokens: request.prompt?.promptTokens ?? 0,
      expectedOutputTokens: forecast.expectedTokens(job),
      waiting: toWaiting({
        route,
        arrivedAtMs: request.arrivedAtMs,
        deadlineAtMs,
        startMs: scheduler.startEstimateMs(),
      }),
      callerLeftMs: leftMs(deadlineAtMs, clock.nowMs()),
    };
  }

  const takeRetry = (state: StreamState) =>
    retryBudget.tryTake(state.job.service.name);

  function sendDecode(
    state: StreamState,
  ): Promise<UpstreamAnswer | SendFailure> {
    const {job, placement} = state;
    const untilDeadlineMs = leftMs(job.deadlineAtMs, clock.nowMs());
    const headTimeoutMs = mayRunAgain(state)
      ? Math.min(SILENCE_MS, untilDeadlineMs)
      : untilDeadlineMs + DEADLINE_SLACK_MS;
    return upstreamPort.send(
      job.request,
      {
        upstream: placement.decode,
        leftMs: untilDeadlineMs,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        headTimeoutMs,
        mayReuseConnection: false,
        prefill: state.source,
        resumeAfterEvent: state.ran.length > 0 ? state.lastEventId : undefined,
      },
      job.cancellation,
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

  function release(state: StreamState, ranMs?: number): void {
    state.placement.prefillBooking.end();
    scheduler.release(state.placement.run, ranMs);
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
      state.source = undefined;
    }
    // Asked last: where no engine has room, nothing is taken of the budget.
    return moveOn(state) && takeRetry(state);
  }

  async function start(state: StreamState): Promise<Start> {
    const {job} = state;
    let failure: RequestError = {kind: 'no-upstream', detail: 'None had room.'};
    for (let tries = 1; tries <= MAX_DECODE_TRIES; tries++) {
      if (job.cancellation.isCancelled) return {kind: 'cancelled'};
      if (!state.source && state.placement.prefill) {
        state.source = await prefillStep.run(state);
        if (job.cancellation.isCancelled) return {kind: 'cancelled'};
      }
      const {decode} = state.placement;
      // Draining may have begun while the prompt was read.
      const isOpen = registry
        .open(job.service.name)
        .some(each => each.id === decode.id);
      const outcome: UpstreamAnswer | SendFailure = isOpen
        ? await sendDecode(state)
        : {kind: 'unreachable', detail: 'the engine leaves'};
      if (outcome.kind !== 'answered') {
        failures.write('Send failed.', state, decode, outcome);
      }
      switch (outcome.kind) {
        case 'answered':
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
        case 'rejected':
          failures.note(decode, outcome);
          failure = {kind: 'overloaded', detail: outcome.detail};
          if (!afterRejection(state, tries)) return notRun(failure);
          break;
      }
    }
    return notRun(failure);
  }

  function notRun(error: RequestError): Start {
    return {kind: 'failed', error, mayHaveRun: false};
  }

  function takeHead(state: StreamState, answer: UpstreamAnswer): Start {
    const {decode} = state.placement;
    state.ran.push(decode.id);
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

  function relay(
    state: StreamState,
    answer: UpstreamAnswer,
  ): Promise<StreamEnd> {
    const {job, placement} = state;
    const tokensPerEvent = job.service.engine?.tokensPerEvent ?? 1;
    if (!job.caller.hasBegun) job.caller.begin(answer.status, answer.headers);
    let eventsOfRun = 0;
    return relayEvents(
      {clock},
      {
        answer,
        caller: job.caller,
        cancellation: job.cancellation,
        wholeEventsOnly: job.route.isResumable,
        silenceMs: canResumeAfter(state) ? SILENCE_MS : undefined,
        deadlineAtMs: job.deadlineAtMs,
        onEvent(event) {
          state.events++;
          eventsOfRun++;
          state.lastEventId = event.id ?? state.lastEventId;
          books.grow(placement.run, eventsOfRun * tokensPerEvent);
          placement.prefillBooking.end();
          if (state.firstByteAtMs !== undefined) return;
          state.firstByteAtMs = clock.nowMs();
        },
      },
    );
  }

  /** Whether the run that streams now may be followed by another. */
  function canResumeAfter(state: StreamState): boolean {
    const {isResumable, maxAttempts} = state.job.route;
    return isResumable && state.ran.length < maxAttempts;
  }

  /** Places the request for a run that goes on after its last event. */
  function prepareNextRun(state: StreamState): boolean {
    const {decode, run} = state.placement;
    if (!canResumeAfter(state)) return false;
    state.avoid.add(decode.id);
    state.source = undefined;
    const madeTokens = run.outputTokens;
    if (!moveOn(state) || !takeRetry(state)) return false;
    books.grow(state.placement.run, madeTokens);
    return true;
  }

  function refuse(state: StreamState, error: RequestError): JobOutcome {
    const {caller} = state.job;
    const reason = `${error.kind}: ${error.detail}`;
    if (caller.hasBegun) {
      caller.cut();
      return {end: 'cut', reason, upstreams: state.ran, events: state.events};
    }
    const isLate = clock.nowMs() >= state.job.deadlineAtMs;
    const hasRun = state.ran.length > 0;
    caller.refuse(toTrueError(error, hasRun, isLate));
    return {end: hasRun ? 'failed' : 'refused', reason, upstreams: state.ran};
  }

  /** Runs until the stream is whole, or nothing more may be tried. */
  async function runPlaced(state: StreamState): Promise<JobOutcome> {
    const {job} = state;
    const placedAtMs = clock.nowMs();
    for (;;) {
      const started = await start(state);
      if (started.kind === 'cancelled') {
        return {end: 'caller-gone', upstreams: state.ran};
      }
      if (started.kind === 'failed') {
        if (started.mayHaveRun && prepareNextRun(state)) continue;
        return refuse(state, withRetryAfter(started.error));
      }
      const {answer} = started;
      if (answer.status !== STATUS_OK) {
        // An engine's own failure is its answer, unless another may run it.
        if (prepareNextRun(state)) {
          answer.body.destroy();
          continue;
        }
        return deliverFailure(state, answer);
      }
      const end = await relay(state, answer);
      if (state.firstByteAtMs !== undefined && state.ran.length === 1) {
        scheduler.noteStart(state.firstByteAtMs - placedAtMs);
      }
      switch (end.kind) {
        case 'whole':
          scheduler.noteSuccess(state.placement.decode.id);
          forecast.learn(
            job.service.name,
            state.events * (job.service.engine?.tokensPerEvent ?? 1),
          );
          host.demand.noteRun({
            promptTokens: state.need.promptTokens,
            outputTokens: state.placement.run.outputTokens,
            durationMs: clock.nowMs() - placedAtMs,
            kvTokens: job.service.engine?.kvTokens ?? 0,
          });
          return {
            end: 'answered',
            status: answer.status,
            upstreams: state.ran,
            events: state.events,
          };
        case 'caller-gone':
          return {
            end: 'caller-gone',
            upstreams: state.ran,
            events: state.events,
          };
        case 'timeout':
          return refuse(state, {kind: 'deadline-passed', detail: end.detail});
        case 'broken':
          scheduler.noteFailure(state.placement.decode.id);
          host.onBroken(job, state.placement.decode);
          failures.write('Stream broke.', state, state.placement.decode, end);
          if (prepareNextRun(state)) continue;
          return refuse(state, {kind: 'answer-cut', detail: end.detail});
      }
    }
  }

  function withRetryAfter(error: RequestError): RequestError {
    return {...error, retryAfterMs: error.retryAfterMs ?? SHORT_RETRY_MS};
  }

  async function deliverFailure(
    state: StreamState,
    answer: UpstreamAnswer,
  ): Promise<JobOutcome> {
    if (state.job.caller.hasBegun) {
      answer.body.destroy();
      return refuse(state, {
        kind: 'answer-cut',
        detail: `the next run ended with ${answer.status}`,
      });
    }
    await passThrough(state.job, answer);
    return {end: 'answered', status: answer.status, upstreams: state.ran};
  }

  return {
    async run(job) {
      retryBudget.requestStarted(job.service.name);
      const need = toNeed(job);
      const placedFrom = clock.nowMs();
      const placement = await host.place(need, job.cancellation);
      if (placement.kind === 'cancelled') {
        return {end: 'caller-gone', upstreams: []};
      }
      if (placement.kind === 'refused') {
        job.caller.refuse(placement.error);
        const {kind, detail} = placement.error;
        return {
          end: 'refused',
          reason: `${kind}: ${detail}`,
          upstreams: [],
          waitedMs: clock.nowMs() - placedFrom,
        };
      }
      const state: StreamState = {
        job,
        need,
        placement,
        ran: [],
        avoid: new Set(),
        lastEventId: job.request.lastEventId,
        events: 0,
      };
      const startedAtMs = clock.nowMs();
      const outcome = await runPlaced(state);
      const ranMs =
        outcome.end === 'answered' ? clock.nowMs() - startedAtMs : undefined;
      release(state, ranMs);
      return {
        ...outcome,
        waitedMs: startedAtMs - placedFrom,
        firstByteMs:
          state.firstByteAtMs === undefined
            ? undefined
            : state.firstByteAtMs - job.request.arrivedAtMs,
      };
    },
  };
}

/** A refusal after a rejection by engines: room comes back within this time. */
const SHORT_RETRY_MS = 400;
