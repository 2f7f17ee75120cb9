/**
 * Takes a placed stream through its runs to the end of its answer.
 *
 * A stream that isn't resumable runs at most once: after a send that may have
 * reached an engine, its answer is forwarded or the request ends. A resumable
 * stream continues on another engine after its last whole event.
 */

import {errorAnswers, type RequestError} from '../../core/error_kinds.js';
import type {Clock} from '../../ports/clock.js';
import type {UpstreamAnswer} from '../../ports/relay.js';
import {passThrough} from '../answers/answer_delivery.js';
import {toCallerError} from '../answers/answer_rules.js';
import type {JobOutcome} from '../job_outcome.js';
import type {MemoryBudget} from '../limits/memory_budget.js';
import type {EngineLoads} from '../placement/engine_loads.js';
import type {EngineScheduler} from '../placement/engine_scheduler.js';
import type {SharedStatistics} from '../placement/shared_statistics.js';
import type {Resumption} from '../resumption/resumption.js';
import type {EngineSilence} from '../silence/engine_silence.js';
import type {Departure, RunWatch} from '../silence/run_watch.js';
import type {EngineFailures} from './engine_failures.js';
import type {NextRuns} from './next_runs.js';
import type {OutputForecast} from './output_forecast.js';
import {createRunPaceMeter} from './run_pace.js';
import {relayEvents, type StreamEnd} from './stream_events.js';
import type {
  StartOutcome,
  StreamStart,
  Successor,
} from './stream_start_types.js';
import type {StreamState} from './stream_state.js';

export interface PlacedStreamsHost {
  readonly clock: Clock;
  readonly memory: Pick<MemoryBudget, 'open'>;
  readonly scheduler: EngineScheduler;
  readonly engineLoads: EngineLoads;
  readonly statistics: SharedStatistics;
  readonly silence: Pick<EngineSilence, 'wasSilentSince'>;
  readonly resumption: Pick<Resumption, 'recordBegun'>;
  readonly failures: EngineFailures;
  readonly forecast: OutputForecast;
  readonly nextRuns: NextRuns;
  start: StreamStart['start'];
}

export interface PlacedStreams {
  /** Runs until the stream is complete or no further run is allowed. */
  run(placed: StreamState): Promise<EndedStream>;
}

export interface EndedStream {
  /** The state of the last run. */
  readonly state: StreamState;
  readonly outcome: JobOutcome;
}

/** What follows a run. */
type RunEnd =
  | {readonly kind: 'ended'; readonly outcome: JobOutcome}
  /** The stream was placed for another run. */
  | {readonly kind: 'again'}
  | {readonly kind: 'left'; readonly departure: Departure<Successor>};

const STATUS_OK = 200;
const NO_ROOM: RequestError = {
  kind: 'outcome-unknown',
  detail: 'This entry has no room for the events.',
};
/** Engines that rejected a request have capacity again within this time. */
const REJECTION_RETRY_MS = 400;

export function createPlacedStreams(host: PlacedStreamsHost): PlacedStreams {
  const {clock, scheduler, engineLoads, failures, forecast, nextRuns} = host;

  function relay(
    state: StreamState,
    answer: UpstreamAnswer,
    watch: RunWatch<Successor> | undefined,
  ): Promise<StreamEnd> {
    const {job, placement} = state;
    const tokensPerEvent = job.service.engine?.tokensPerEvent ?? 1;
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
    return relayEvents(host, {
      requestId: job.request.requestId,
      answer,
      caller: job.caller,
      cancellation: job.cancellation,
      wholeEventsOnly: job.route.isResumable,
      watch,
      deadlineAtMs: job.deadlineAtMs,
      onResume: pace.restart,
      onEvents({count, lastId}) {
        pace.noteEvents(count);
        if (state.events === 0) bindToVersion(state);
        state.events += count;
        state.lastEventAtMs = clock.nowMs();
        eventsOfRun += count;
        state.lastEventId = lastId ?? state.lastEventId;
        engineLoads.setOutputTokens(
          placement.run,
          eventsOfRun * tokensPerEvent,
        );
        placement.prefillReservation.end();
        state.firstByteAtMs ??= state.lastEventAtMs;
      },
    });
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

  /** Takes one run from its start to its end. */
  async function runOnce(
    state: StreamState,
    started: StartOutcome,
    placedAtMs: number,
  ): Promise<RunEnd> {
    const ended = (outcome: JobOutcome): RunEnd => ({kind: 'ended', outcome});
    switch (started.kind) {
      case 'cancelled':
        return ended({end: 'caller-gone', upstreams: state.ran});
      case 'left':
        return started;
      case 'failed': {
        const isPlaced = started.mayHaveRun
          ? await nextRuns.placeAfterBreak(state)
          : await nextRuns.placeAfterFailedStart(state, started);
        if (isPlaced) return {kind: 'again'};
        return ended(refuse(state, withRetryAfter(started.error)));
      }
      case 'streaming':
        return relayRun(state, started, placedAtMs);
    }
  }

  /** Forwards the answer of a run. */
  async function relayRun(
    state: StreamState,
    {answer, watch}: Extract<StartOutcome, {kind: 'streaming'}>,
    placedAtMs: number,
  ): Promise<RunEnd> {
    const ended = (outcome: JobOutcome): RunEnd => ({kind: 'ended', outcome});
    if (answer.status !== STATUS_OK) {
      watch?.end();
      // The engine's error is forwarded unless another run is allowed.
      if (!(await nextRuns.placeAfterBreak(state))) {
        return ended(await deliverFailure(state, answer));
      }
      answer.body.destroy();
      return {kind: 'again'};
    }
    const end = await relay(state, answer, watch);
    recordStart(state, placedAtMs);
    switch (end.kind) {
      case 'whole':
        recordWhole(state, placedAtMs);
        return ended({
          end: 'answered',
          status: answer.status,
          upstreams: state.ran,
          events: state.events,
          framing: answer.body.isUnframed ? 'unframed' : 'framed',
          restBytes: end.restBytes,
        });
      case 'caller-gone':
        return ended({
          end: 'caller-gone',
          upstreams: state.ran,
          events: state.events,
        });
      case 'left':
        if (!watch?.departure) {
          throw new Error('A run was left without a successor.');
        }
        return {kind: 'left', departure: watch.departure};
      case 'timeout':
        return ended(
          refuse(state, {kind: 'deadline-passed', detail: end.detail}),
        );
      case 'dropped':
        return ended(refuse(state, NO_ROOM));
      case 'broken': {
        const {decode} = state.placement;
        if (!end.isOfPeer) scheduler.recordFailure(decode.id);
        failures.logFailure('Stream broke.', state, decode, end);
        if (await nextRuns.placeAfterBreak(state)) return {kind: 'again'};
        return ended(refuse(state, {kind: 'answer-cut', detail: end.detail}));
      }
    }
  }

  /** A start over a pause of an engine shows nothing of the next starts. */
  function recordStart(
    {firstByteAtMs, ran, placement}: StreamState,
    placedAtMs: number,
  ): void {
    if (firstByteAtMs === undefined || ran.length !== 1) return;
    const {decode, prefill = decode} = placement;
    const hasPaused = [decode, prefill].some(({id}) =>
      host.silence.wasSilentSince(id, placedAtMs),
    );
    if (!hasPaused) host.statistics.recordStart(firstByteAtMs - placedAtMs);
  }

  function recordWhole(state: StreamState, placedAtMs: number): void {
    const {name, engine} = state.job.service;
    scheduler.recordSuccess(state.placement.decode.id);
    forecast.recordOutput(name, state.events * (engine?.tokensPerEvent ?? 1));
    host.statistics.recordRun({
      promptTokens: state.need.promptTokens,
      outputTokens: state.placement.run.outputTokens,
      durationMs: clock.nowMs() - placedAtMs,
      kvTokens: engine?.kvTokens ?? 0,
    });
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
    const end = await passThrough(host, state.job, answer);
    if (end.kind === 'cut') return refuse(state, end.error);
    return {end: 'answered', status: answer.status, upstreams: state.ran};
  }

  return {
    async run(first) {
      const placedAtMs = clock.nowMs();
      let run: Successor = {next: first, started: host.start(first)};
      for (;;) {
        const {next: state} = run;
        const end = await runOnce(state, await run.started, placedAtMs);
        switch (end.kind) {
          case 'ended':
            return {state, outcome: end.outcome};
          case 'again':
            run = {next: state, started: host.start(state)};
            break;
          case 'left':
            run = nextRuns.leave(state, end.departure);
            break;
        }
      }
    },
  };
}
