/**
 * Runs a stream of a model service, from its placement to its last event.
 *
 * A stream that isn't resumable runs at most once: after a send that may have
 * reached an engine, its answer is forwarded or the request ends. A resumable
 * stream continues on another engine after its last whole event.
 */

import {errorAnswers, type RequestError} from '../../core/error_kinds.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {
  Cancellation,
  UpstreamAnswer,
  UpstreamPort,
} from '../../ports/relay.js';
import {passThrough} from '../answers/answer_delivery.js';
import {toCallerError} from '../answers/answer_rules.js';
import {createBudgetedCalls} from './budgeted_calls.js';
import {createEngineFailures} from './engine_failures.js';
import type {EngineScheduler} from '../placement/engine_scheduler.js';
import type {
  PlacementOutcome,
  StreamNeed,
} from '../placement/placement_types.js';
import type {EngineLoads} from '../placement/engine_loads.js';
import type {RequestPriorities} from '../placement/request_priority.js';
import type {SharedStatistics} from '../placement/shared_statistics.js';
import {createOutputForecast} from './output_forecast.js';
import type {Resumption} from '../resumption/resumption.js';
import type {RetryAllowance} from '../retries/shared_retries.js';
import {leftMs, type RelayJob} from '../relay_types.js';
import type {JobOutcome} from '../job_outcome.js';
import {createRunPaceMeter} from './run_pace.js';
import {relayEvents, type StreamEnd} from './stream_events.js';
import {createStreamStart, STALL_TIMEOUT_MS} from './stream_start.js';
import type {StreamState} from './stream_state.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import {toWaiting} from '../placement/wait_rules.js';

export interface StreamRelayHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly upstreamPort: UpstreamPort;
  readonly scheduler: EngineScheduler;
  /** Places a new stream, on this host or on the host that places for it. */
  place(
    need: StreamNeed,
    cancellation: Cancellation,
  ): Promise<PlacementOutcome>;
  readonly priorities: RequestPriorities;
  readonly engineLoads: EngineLoads;
  readonly registry: UpstreamRegistry;
  readonly retryBudget: RetryAllowance;
  readonly statistics: SharedStatistics;
  readonly resumption: Pick<Resumption, 'takeUps' | 'recordBegun'>;
}

export interface StreamRelay {
  run(job: RelayJob): Promise<JobOutcome>;
}

/** What another run of a stream lacks. */
type MissingForRun = 'attempt' | 'retry' | 'version' | 'room';

const STATUS_OK = 200;
const NO_ENGINES: ReadonlySet<string> = new Set();

export function createStreamRelay(host: StreamRelayHost): StreamRelay {
  const {clock, scheduler, engineLoads, retryBudget} = host;
  const forecast = createOutputForecast();
  const failures = createEngineFailures(host);
  const calls = createBudgetedCalls(retryBudget);
  const {start, placeElsewhere, moveTo, releasePrefillResult, releaseBookings} =
    createStreamStart({
      ...host,
      failures,
      calls,
    });

  function toNeed(job: RelayJob, version?: string): StreamNeed {
    const {request, route, service, deadlineAtMs, admitted} = job;
    const startMs = host.statistics.meanStartMs();
    return {
      requestId: request.requestId,
      service,
      promptTokens: request.prompt?.promptTokens ?? 0,
      expectedOutputTokens: forecast.expectedTokens(job),
      waiting: {
        ...toWaiting({
          route,
          arrivedAtMs: request.arrivedAtMs,
          deadlineAtMs,
          startMs,
        }),
        priority: host.priorities.ofRequest(
          service.name,
          route,
          admitted.account,
        ),
      },
      account: admitted.account?.name,
      version,
      startMs,
      callerLeftMs: leftMs(deadlineAtMs, clock.nowMs()),
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
    const {decode} = placement;
    const pace = createRunPaceMeter({
      clock,
      onMeasured: (msPerEvent, durationMs) =>
        host.statistics.speeds.recordEvents({
          engine: decode,
          runs: engineLoads.decodeLoad(decode.id).runs,
          msPerToken: msPerEvent / tokensPerEvent,
          durationMs,
        }),
    });
    return relayEvents(
      {clock},
      {
        answer,
        caller: job.caller,
        cancellation: job.cancellation,
        wholeEventsOnly: job.route.isResumable,
        stallTimeoutMs: canResumeAfter(state) ? STALL_TIMEOUT_MS : undefined,
        deadlineAtMs: job.deadlineAtMs,
        onResume: pace.restart,
        onEvent(event) {
          pace.noteEvent();
          if (state.events === 0) bindToVersion(state);
          state.events++;
          state.lastEventAtMs = clock.nowMs();
          eventsOfRun++;
          state.lastEventId = event.id ?? state.lastEventId;
          engineLoads.setOutputTokens(
            placement.run,
            eventsOfRun * tokensPerEvent,
          );
          placement.prefillReservation.end();
          state.firstByteAtMs ??= state.lastEventAtMs;
        },
      },
    );
  }

  /** Returns whether another run may follow the current one. */
  function canResumeAfter(state: StreamState): boolean {
    const {isResumable, maxAttempts} = state.job.route;
    return isResumable && state.ran.length < maxAttempts;
  }

  /** What one version has written, another can't go on with. */
  function bindToVersion(state: StreamState): void {
    const {version} = state.placement.decode;
    state.need = {...state.need, version};
    host.resumption.recordBegun(state.job, version);
  }

  /** Places the request for another run that resumes after its last event. */
  async function prepareNextRun(state: StreamState): Promise<boolean> {
    const missing = await placeNextRun(state);
    if (missing === undefined) return true;
    if (!state.job.route.isResumable) return false;
    host.log.info('No next run.', {
      request: state.job.request.requestId,
      missing,
      sinceEventMs: Math.round(clock.nowMs() - state.lastEventAtMs),
    });
    return false;
  }

  /** Returns what a next run lacks, or undefined once it is placed. */
  async function placeNextRun(
    state: StreamState,
  ): Promise<MissingForRun | undefined> {
    const {decode, run} = state.placement;
    if (!canResumeAfter(state)) return 'attempt';
    if (!calls.canRetryRun(state)) return 'retry';
    const isBound = state.need.version !== undefined;
    if (state.events > 0 && !isBound) return 'version';
    state.avoid.add(decode.id);
    state.source = undefined;
    const outputTokens = run.outputTokens;
    const isPlaced =
      placeElsewhere(state) || (isBound && (await placeBegun(state)));
    if (!isPlaced) return 'room';
    engineLoads.setOutputTokens(state.placement.run, outputTokens);
    return undefined;
  }

  /**
   * Places a begun stream that no other engine of its version has room for: at
   * one that ran it before, or at the first that has room while the caller
   * waits for the next event.
   */
  async function placeBegun(state: StreamState): Promise<boolean> {
    if (placeElsewhere(state, NO_ENGINES)) return true;
    const {job, need} = state;
    const {route, deadlineAtMs} = job;
    releaseBookings(state);
    const {startMs} = need;
    const arrivedAtMs = state.lastEventAtMs;
    const waiting = {
      ...toWaiting({route, arrivedAtMs, deadlineAtMs, startMs}),
      priority: need.waiting.priority,
    };
    const placed = await host.place({...need, waiting}, job.cancellation);
    if (placed.kind !== 'placed') return false;
    moveTo(state, placed);
    return true;
  }

  function refuse(state: StreamState, error: RequestError): JobOutcome {
    const {caller} = state.job;
    const reason = `${error.kind}: ${error.detail}`;
    if (state.job.cancellation.isCancelled) {
      return {end: 'caller-gone', upstreams: state.ran, events: state.events};
    }
    if (caller.hasBegun) {
      caller.cut();
      return {end: 'cut', reason, upstreams: state.ran, events: state.events};
    }
    const isLate = clock.nowMs() >= state.job.deadlineAtMs;
    const hasRun = state.ran.length > 0;
    caller.refuse(toCallerError(error, hasRun, isLate));
    return {end: hasRun ? 'failed' : 'refused', reason, upstreams: state.ran};
  }

  /** Runs until the stream is complete or no further run is allowed. */
  async function runPlaced(state: StreamState): Promise<JobOutcome> {
    const {job} = state;
    const placedAtMs = clock.nowMs();
    for (;;) {
      const started = await start(state);
      if (started.kind === 'cancelled') {
        return {end: 'caller-gone', upstreams: state.ran};
      }
      if (started.kind === 'failed') {
        if (started.mayHaveRun && (await prepareNextRun(state))) continue;
        return refuse(state, withRetryAfter(started.error));
      }
      const {answer} = started;
      if (answer.status !== STATUS_OK) {
        // The engine's error is forwarded unless another run is allowed.
        if (await prepareNextRun(state)) {
          answer.body.destroy();
          continue;
        }
        return deliverFailure(state, answer);
      }
      const end = await relay(state, answer);
      if (state.firstByteAtMs !== undefined && state.ran.length === 1) {
        host.statistics.recordStart(state.firstByteAtMs - placedAtMs);
      }
      switch (end.kind) {
        case 'whole':
          scheduler.recordSuccess(state.placement.decode.id);
          forecast.recordOutput(
            job.service.name,
            state.events * (job.service.engine?.tokensPerEvent ?? 1),
          );
          host.statistics.recordRun({
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
            framing: answer.body.isUnframed ? 'unframed' : 'framed',
            restBytes: end.restBytes,
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
          if (!end.isOfPeer) {
            scheduler.recordFailure(state.placement.decode.id);
          }
          failures.logFailure(
            'Stream broke.',
            state,
            state.placement.decode,
            end,
          );
          if (await prepareNextRun(state)) continue;
          return refuse(state, {kind: 'answer-cut', detail: end.detail});
      }
    }
  }

  function withRetryAfter(error: RequestError): RequestError {
    if (!errorAnswers[error.kind].retryable) return error;
    return {...error, retryAfterMs: error.retryAfterMs ?? REJECTION_RETRY_MS};
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

  function refuseNew(
    {caller}: RelayJob,
    error: RequestError,
    waitedMs: number,
  ): JobOutcome {
    caller.refuse(error);
    const reason = `${error.kind}: ${error.detail}`;
    return {end: 'refused', reason, upstreams: [], waitedMs};
  }

  return {
    async run(received) {
      const startedWaitAtMs = clock.nowMs();
      const waitedMs = () => clock.nowMs() - startedWaitAtMs;
      const takeUp = await host.resumption.takeUps.decide(received);
      if (takeUp.kind === 'refused') {
        return refuseNew(received, takeUp.error, waitedMs());
      }
      const isResumed = takeUp.kind === 'resumed';
      const job = isResumed ? {...received, service: takeUp.service} : received;
      retryBudget.requestStarted(job.service.name);
      const need = toNeed(job, isResumed ? takeUp.version : undefined);
      const placement = await host.place(need, job.cancellation);
      if (placement.kind === 'cancelled') {
        return {end: 'caller-gone', upstreams: []};
      }
      if (placement.kind === 'refused') {
        return refuseNew(job, placement.error, waitedMs());
      }
      const state: StreamState = {
        job,
        need,
        enginePriority: host.priorities.forEngine(
          job.service.name,
          need.waiting.priority,
        ),
        placement,
        ran: [],
        ranVersions: [],
        avoid: new Set(),
        countedCalls: 0,
        wasPrefilled: false,
        lastEventId: job.request.lastEventId,
        events: 0,
        lastEventAtMs: clock.nowMs(),
      };
      const startedAtMs = clock.nowMs();
      const outcome = await runPlaced(state);
      // Frees the prefill result now. Until its engine would drop it by itself,
      // other requests would wait for that memory.
      releasePrefillResult(state);
      releaseBookings(state);
      return {
        ...outcome,
        versions: state.ranVersions,
        wasPrefilled: state.wasPrefilled,
        waitedMs: startedAtMs - startedWaitAtMs,
        firstByteMs:
          state.firstByteAtMs === undefined
            ? undefined
            : state.firstByteAtMs - job.request.arrivedAtMs,
      };
    },
  };
}

/** Engines that rejected a request have capacity again within this time. */
const REJECTION_RETRY_MS = 400;
