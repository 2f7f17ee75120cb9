/**
 * Runs streams of model services: decides on take-ups, waits for a placement,
 * and has the placed stream run to its end.
 */

import type {RequestError} from '../../core/error_kinds.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Cancellation, UpstreamPort} from '../../ports/relay.js';
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
import type {MemoryBudget} from '../limits/memory_budget.js';
import type {RetryAllowance} from '../retries/shared_retries.js';
import {leftMs, type RelayJob} from '../relay_types.js';
import type {JobOutcome} from '../job_outcome.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {EngineProbes} from '../silence/engine_probes.js';
import type {EngineSilence} from '../silence/engine_silence.js';
import {createRunWatch, type RunWatch} from '../silence/run_watch.js';
import {createNextRuns} from './next_runs.js';
import {createPrefillStep} from './prefill_step.js';
import {createPlacedStreams} from './placed_streams.js';
import {createStreamStart} from './stream_start.js';
import {mayResume, toWaitingForNext, type StreamState} from './stream_state.js';
import type {Successor} from './stream_start_types.js';
import {createSuccessors} from './successors.js';
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
  readonly memory: Pick<MemoryBudget, 'open'>;
  readonly statistics: SharedStatistics;
  readonly resumption: Pick<Resumption, 'takeUps' | 'recordBegun'>;
}

export interface StreamRelay {
  run(job: RelayJob): Promise<JobOutcome>;
}

export function createStreamRelay(host: StreamRelayHost): StreamRelay {
  const {clock, retryBudget} = host;
  const forecast = createOutputForecast();
  const failures = createEngineFailures(host);
  const calls = createBudgetedCalls(retryBudget);
  const prefillStep = createPrefillStep({...host, failures, calls});
  const start = createStreamStart({
    ...host,
    failures,
    calls,
    prefillStep,
    watchRun,
  });
  const successors = createSuccessors({...host, calls, start: start.start});
  const placedStreams = createPlacedStreams({
    ...host,
    failures,
    forecast,
    nextRuns: createNextRuns({...host, calls, successors, start}),
    start: start.start,
  });

  /** Watches a run for silence if another may follow it. */
  function watchRun(state: StreamState): RunWatch<Successor> | undefined {
    if (!mayResume(state)) return undefined;
    return createRunWatch<Successor>(state.placement.decode, {
      clock,
      silence: host.silence,
      requestId: state.job.request.requestId,
      hasBegun: () => state.events > 0,
      lastStartAtMs: () => toWaitingForNext(state).giveUpAtMs,
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
      const placed: StreamState = {
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
      const {state, outcome} = await placedStreams.run(placed);
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
