/**
 * Finds the run that follows one that has ended: after it broke off, after it
 * was left for its silence, and after a start that reached no engine.
 */

import type {RequestError} from '../../core/error_kinds.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Cancellation} from '../../ports/relay.js';
import type {EngineLoads} from '../placement/engine_loads.js';
import type {EngineScheduler} from '../placement/engine_scheduler.js';
import type {
  PlacementOutcome,
  StreamNeed,
} from '../placement/placement_types.js';
import {hasDecodeEngine} from '../placement/engine_versions.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import type {Departure} from '../silence/run_watch.js';
import type {BudgetedCalls} from './budgeted_calls.js';
import type {
  FailedStart,
  StreamStart,
  Successor,
} from './stream_start_types.js';
import {mayResume, toWaitingForNext, type StreamState} from './stream_state.js';
import type {Successors} from './successors.js';

export interface NextRunsHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  readonly scheduler: EngineScheduler;
  readonly engineLoads: EngineLoads;
  readonly registry: Pick<UpstreamRegistry, 'notLeaving'>;
  readonly calls: BudgetedCalls;
  readonly successors: Successors;
  readonly start: Pick<
    StreamStart,
    'placeElsewhere' | 'moveTo' | 'releaseBookings'
  >;
  place(
    need: StreamNeed,
    cancellation: Cancellation,
  ): Promise<PlacementOutcome>;
}

export interface NextRuns {
  /** Places a run that resumes after the last event; false if none may. */
  placeAfterBreak(state: StreamState): Promise<boolean>;
  /** Ends the run that was left for its successor. */
  leave(state: StreamState, departure: Departure<Successor>): Successor;
  /**
   * Places a run once more that no engine has begun. After a run that was left
   * for its silence this is repeated up to the deadline, after one that broke
   * off it waits for room once.
   */
  placeAfterFailedStart(
    state: StreamState,
    start: FailedStart,
  ): Promise<boolean>;
}

/** What another run of a stream lacks. */
type MissingForRun = 'attempt' | 'retry' | 'version' | 'room';

const NO_ENGINES: ReadonlySet<string> = new Set();
const START_RETRY_MS = 100;

export function createNextRuns(host: NextRunsHost): NextRuns {
  const {clock, scheduler, engineLoads, calls, start} = host;

  /** Returns what a next run lacks, or undefined once it is placed. */
  async function placeNextRun(
    state: StreamState,
  ): Promise<MissingForRun | undefined> {
    const {decode} = state.placement;
    if (!mayResume(state)) return 'attempt';
    if (!calls.canRetryRun(state)) return 'retry';
    if (state.events > 0 && state.need.version === undefined) return 'version';
    state.avoid.add(decode.id);
    state.source = undefined;
    const isBound = state.need.version !== undefined;
    return (await placeAnywhere(state, isBound)) ? undefined : 'room';
  }

  async function placeAnywhere(
    state: StreamState,
    mayReturn: boolean,
  ): Promise<boolean> {
    const {outputTokens} = state.placement.run;
    const isPlaced =
      start.placeElsewhere(state) || (mayReturn && (await placeAgain(state)));
    if (isPlaced)
      engineLoads.setOutputTokens(state.placement.run, outputTokens);
    return isPlaced;
  }

  /**
   * Places a stream that no other engine has room for: at one that ran or
   * refused it before, or at the first that has room while the caller waits for
   * the next event.
   */
  async function placeAgain(state: StreamState): Promise<boolean> {
    const {job, need, placement} = state;
    // The one that has just ended a run looks empty.
    const last = new Set([placement.decode.id]);
    if (start.placeElsewhere(state, last)) return true;
    if (start.placeElsewhere(state, NO_ENGINES)) return true;
    const waiting = toWaitingForNext(state);
    if (clock.nowMs() > waiting.giveUpAtMs) return false;
    start.releaseBookings(state);
    const placed = await host.place({...need, waiting}, job.cancellation);
    if (placed.kind !== 'placed') return false;
    start.moveTo(state, placed);
    return true;
  }

  const isVersionGone = ({need}: StreamState) =>
    need.version !== undefined &&
    !hasDecodeEngine(host.registry.notLeaving(need.service.name), need.version);

  const delay = (ms: number) =>
    new Promise<void>(resolve => clock.setTimer(ms, resolve));

  /** Places the request as soon as it finds room before the deadline. */
  async function placeInTime(state: StreamState): Promise<boolean> {
    const {cancellation, deadlineAtMs} = state.job;
    while (clock.nowMs() + START_RETRY_MS < deadlineAtMs) {
      await delay(START_RETRY_MS);
      if (cancellation.isCancelled || isVersionGone(state)) return false;
      if (await placeAnywhere(state, true)) return true;
    }
    return false;
  }

  return {
    async placeAfterBreak(state) {
      const missing = await placeNextRun(state);
      if (missing === undefined) return true;
      if (!state.job.route.isResumable) return false;
      host.log.info('No next run.', {
        request: state.job.request.requestId,
        missing,
        sinceEventMs: Math.round(clock.nowMs() - state.lastEventAtMs),
      });
      return false;
    },
    leave(state, {reason, silentMs, successor}) {
      const {decode} = state.placement;
      const {placement} = successor.next;
      host.metrics.count('runs_left', `reason="${reason}"`);
      host.log.info('Run left.', {
        request: state.job.request.requestId,
        upstream: decode.id,
        reason,
        silentMs: Math.round(silentMs),
        events: state.events,
        nextUpstream: placement.decode.id,
        prefill: placement.prefill?.id,
        promptTokens: state.need.promptTokens,
      });
      if (reason === 'silent-engine') scheduler.recordFailure(decode.id);
      host.successors.endLeft(state);
      return successor;
    },
    async placeAfterFailedStart(state, {error, lacksRetry}) {
      if (state.ran.length === 0 || !isPassing(error)) return false;
      if (state.wasLeft) return placeInTime(state);
      return state.events > 0 && !lacksRetry && placeAgain(state);
    },
  };
}

/** Whether another start may find what this one lacked. */
function isPassing({kind}: RequestError): boolean {
  return kind === 'overloaded' || kind === 'no-upstream';
}
