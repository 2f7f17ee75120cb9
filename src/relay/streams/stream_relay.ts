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
import type {RelayMetrics} from '../relay_metrics.js';
import type {EngineProbes} from '../silence/engine_probes.js';
import type {EngineSilence} from '../silence/engine_silence.js';
import {createRunWatch, type RunWatch} from '../silence/run_watch.js';
import {createNextRuns} from './next_runs.js';
import {createPrefillStep} from './prefill_step.js';
import {createRunPaceMeter} from './run_pace.js';
import {relayEvents, type StreamEnd} from './stream_events.js';
import {createStreamStart} from './stream_start.js';
import {quietSinceMs, type StreamState} from './stream_state.js';
import {createSuccessors, type Successor} from './successors.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import {toWaiting} from '../placement/wait_rules.js';

export interface StreamRelayHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  readonly upstreamPort: UpstreamPort;
  readonly probes: EngineProbes;
  readonly silence: EngineSilence;
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

const STATUS_OK = 200;

export function createStreamRelay(host: StreamRelayHost): StreamRelay {
  const {clock, scheduler, engineLoads, retryBudget} = host;
  const forecast = createOutputForecast();
  const failures = createEngineFailures(host);
  const calls = createBudgetedCalls(retryBudget);
  const prefillStep = createPrefillStep({...host, failures, calls});
  const successors = createSuccessors({...host, calls, prefillStep});
  const start = createStreamStart({
    ...host,
    failures,
    calls,
    prefillStep,
    watchRun,
  });
  const nextRuns = createNextRuns({...host, calls, successors, start});

  /** Watches a run for silence if another may follow it. */
  function watchRun(state: StreamState): RunWatch<Successor> | undefined {
    const {isResumable, maxAttempts} = state.job.route;
    if (!isResumable || state.ran.length + 1 >= maxAttempts) return undefined;
    return createRunWatch<Successor>(state.placement.decode, {
      clock,
      silence: host.silence,
      lastStartAtMs: () => lastStartAtMs(state),
      prepare: (reason, cancellation) =>
        successors.prepare(state, reason, cancellation),
      onKept(silentMs) {
        host.metrics.count('runs_kept');
        host.log.info('Silent run goes on.', {
          request: state.job.request.requestId,
          upstream: state.placement.decode.id,
          silentMs: Math.round(silentMs),
        });
      },
    });
  }

  /** Latest start of another run after which the caller is still there. */
  function lastStartAtMs(state: StreamState): number {
    const {route, deadlineAtMs} = state.job;
    const {startMs} = state.need;
    const arrivedAtMs = quietSinceMs(state);
    return toWaiting({route, arrivedAtMs, deadlineAtMs, startMs}).giveUpAtMs;
  }

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
    watch: RunWatch<Successor> | undefined,
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
        watch,
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

  /** What one version has written, another can't go on with. */
  function bindToVersion(state: StreamState): void {
    const {version} = state.placement.decode;
    state.need = {...state.need, version};
    host.resumption.recordBegun(state.job, version);
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
      const started = await start.start(state);
      if (started.kind === 'cancelled') {
        return {end: 'caller-gone', upstreams: state.ran};
      }
      if (started.kind === 'left') {
        nextRuns.leave(state, started.departure);
        continue;
      }
      if (started.kind === 'failed') {
        const isPlaced = started.mayHaveRun
          ? await nextRuns.placeAfterBreak(state)
          : await nextRuns.placeAfterFailedStart(state, started);
        if (isPlaced) continue;
        return refuse(state, withRetryAfter(started.error));
      }
      const {answer, watch} = started;
      if (answer.status !== STATUS_OK) {
        watch?.end();
        // The engine's error is forwarded unless another run is allowed.
        if (await nextRuns.placeAfterBreak(state)) {
          answer.body.destroy();
          continue;
        }
        return deliverFailure(state, answer);
      }
      const end = await relay(state, answer, watch);
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
        case 'left':
          if (!watch?.departure) {
            throw new Error('A run was left without a successor.');
          }
          nextRuns.leave(state, watch.departure);
          continue;
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
          if (await nextRuns.placeAfterBreak(state)) continue;
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
        hasReservedRun: false,
        wasLeft: false,
        wasPrefilled: false,
        lastEventId: job.request.lastEventId,
        events: 0,
        lastEventAtMs: clock.nowMs(),
      };
      const startedAtMs = clock.nowMs();
      const outcome = await runPlaced(state);
      if (state.hasReservedRun) calls.giveBackRun(state);
      // Frees the prefill result now. Until its engine would drop it by itself,
      // other requests would wait for that memory.
      start.releasePrefillResult(state);
      start.releaseBookings(state);
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
