/**
 * Runs a placed stream up to the head of its answer: the prefill engine
 * computes the prompt, then the request goes to the decode engine, or to others
 * if that one refuses it.
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
import type {BudgetedCalls, NoRetries} from './budgeted_calls.js';
import type {EngineFailures} from './engine_failures.js';
import {joinCancellations} from '../front/cancellation.js';
import type {EngineScheduler} from '../placement/engine_scheduler.js';
import type {Placement} from '../placement/placement_types.js';
import type {PrefillStep} from './prefill_step.js';
import {CONNECT_TIMEOUT_MS, KEY_WITHDRAWN, leftMs} from '../relay_types.js';
import {wasNotRun} from '../send_failures.js';
import type {RunWatch} from '../silence/run_watch.js';
import type {StreamState} from './stream_state.js';
import type {
  Left,
  StartOptions,
  StartOutcome,
  StreamStart,
  Successor,
} from './stream_start_types.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface StreamStartHost {
  readonly clock: Clock;
  readonly upstreamPort: UpstreamPort;
  readonly scheduler: EngineScheduler;
  readonly registry: UpstreamRegistry;
  readonly calls: BudgetedCalls;
  readonly failures: EngineFailures;
  readonly prefillStep: PrefillStep;
  /** Watches the run that is about to start; undefined if none may follow. */
  watchRun(state: StreamState): RunWatch<Successor> | undefined;
}

interface Answered {
  readonly kind: 'answered';
  readonly answer: UpstreamAnswer;
  readonly watch?: RunWatch<Successor>;
}

const MAX_SENDS = 4;
const DEADLINE_SLACK_MS = 60;

export function createStreamStart(host: StreamStartHost): StreamStart {
  const {clock, upstreamPort, scheduler, registry, failures, calls} = host;

  async function sendDecode(
    state: StreamState,
    onSent: () => void,
  ): Promise<Answered | Left | SendFailure | NoRetries> {
    const {job, placement} = state;
    const untilDeadlineMs = leftMs(job.deadlineAtMs, clock.nowMs());
    const options: SendOptions = {
      upstream: placement.decode,
      leftMs: untilDeadlineMs,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      headTimeoutMs: untilDeadlineMs + DEADLINE_SLACK_MS,
      mayReuseConnection: false,
      prefill: state.source,
      enginePriority: state.enginePriority,
      expectsEvents: true,
      resumeAfterEvent: state.ran.length > 0 ? state.lastEventId : undefined,
    };
    let watch: RunWatch<Successor> | undefined;
    const outcome = await calls.run(state, () => {
      recordRun(state);
      watch = host.watchRun(state);
      onSent();
      return upstreamPort.send(
        job.request,
        options,
        joinCancellations(job.cancellation, watch?.leaving),
      );
    });
    if (watch?.departure) {
      if (outcome.kind === 'answered') outcome.body.destroy();
      return {kind: 'left', departure: watch.departure};
    }
    if (outcome.kind === 'answered') {
      watch?.noteData();
      return {kind: 'answered', answer: outcome, watch};
    }
    watch?.end();
    if (wasNotRun(outcome)) removeRun(state);
    return outcome;
  }

  /**
   * Books another decode engine, and a prefill engine if there is no prefill
   * result: a decode engine that prefills a long prompt itself delays the
   * tokens of all its runs too much.
   */
  function placeElsewhere(
    state: StreamState,
    avoid: ReadonlySet<string> = state.avoid,
  ): boolean {
    const next =
      placeWithSource(state, avoid) ??
      scheduler.placeAgain(state.need, avoid, true);
    if (!next) return false;
    moveTo(state, next);
    return true;
  }

  /** Books a decode engine that can read the prefill result. */
  function placeWithSource(
    state: StreamState,
    avoid: ReadonlySet<string>,
  ): Placement | undefined {
    if (!state.source) return undefined;
    const {version} = state.placement.decode;
    const others = registry
      .open(state.need.service.name)
      .filter(each => each.version !== version)
      .map(({id}) => id);
    const excluded = new Set([...avoid, ...others]);
    const next = scheduler.placeAgain(state.need, excluded, false);
    if (!next) releasePrefillResult(state);
    return next;
  }

  function moveTo(state: StreamState, next: Placement): void {
    releaseBookings(state);
    state.placement = next;
  }

  function releasePrefillResult(state: StreamState): void {
    if (state.source) upstreamPort.releasePrefill(state.source);
    state.source = undefined;
  }

  function releaseBookings(state: StreamState): void {
    state.placement.prefillReservation.end();
    scheduler.release(state.placement.run);
  }

  /**
   * Places a request that an engine rejected. The engine may be full or may not
   * find the prefill result; its answer doesn't distinguish these cases. So the
   * same result is first tried on another engine, then the prompt is prefilled
   * again.
   */
  function retryAfterRejection(state: StreamState, attempt: number): boolean {
    const {placement} = state;
    scheduler.recordRefusal(placement.decode.id);
    state.avoid.add(placement.decode.id);
    if (attempt > 1 && state.source) {
      if (placement.prefill) scheduler.recordFailure(placement.prefill.id);
      releasePrefillResult(state);
    }
    return placeElsewhere(state);
  }

  async function start(
    state: StreamState,
    options: StartOptions = {},
  ): Promise<StartOutcome> {
    const {job} = state;
    const {maxSends = MAX_SENDS, onSent = () => undefined} = options;
    const isWanted = options.isWanted ?? (() => true);
    let failure: RequestError = {kind: 'no-upstream', detail: 'None had room.'};
    for (let attempt = 1; attempt <= maxSends; attempt++) {
      if (job.cancellation.isCancelled) return {kind: 'cancelled'};
      // A run that started before the withdrawal may be resumed.
      if (state.ran.length === 0 && job.admitted.isWithdrawn()) {
        return notRun(KEY_WITHDRAWN);
      }
      if (!state.source && state.placement.prefill) {
        const prefill = await host.prefillStep.run(state);
        if (prefill.kind === 'read') state.source = prefill.source;
        if (job.cancellation.isCancelled) return {kind: 'cancelled'};
        if (prefill.kind === 'no-retries') return withoutRetry(prefill);
        if (prefill.kind === 'quarantined') return notRun(prefill.error);
      }
      if (!isWanted()) return {kind: 'cancelled'};
      const {decode} = state.placement;
      // The engine may have started to drain during the prefill.
      const isOpen = registry
        .open(job.service.name)
        .some(each => each.id === decode.id);
      const outcome: Answered | Left | SendFailure | NoRetries = isOpen
        ? await sendDecode(state, onSent)
        : {kind: 'unreachable', detail: 'the engine leaves'};
      if (outcome.kind === 'no-retries') return withoutRetry(outcome);
      if (outcome.kind !== 'answered' && outcome.kind !== 'left') {
        failures.logFailure('Send failed.', state, decode, outcome);
      }
      switch (outcome.kind) {
        case 'answered':
          scheduler.recordAcceptance(decode.id);
          return acceptAnswer(state, outcome);
        case 'left':
        case 'cancelled':
          return outcome;
        case 'quarantined':
          return notRun(outcome.error);
        case 'broken':
          failures.record(decode, outcome);
          failure = {kind: 'upstream-failed', detail: outcome.detail};
          return {kind: 'failed', error: failure, mayHaveRun: true};
        case 'unreachable':
          if (isOpen) failures.record(decode, outcome);
          state.avoid.add(decode.id);
          failure = {kind: 'no-upstream', detail: outcome.detail};
          if (!placeElsewhere(state)) return notRun(failure);
          break;
        case 'withheld': {
          const {detail, retryAfterMs} = outcome;
          failures.record(decode, outcome);
          state.avoid.add(decode.id);
          failure = {kind: 'overloaded', detail, retryAfterMs};
          if (!placeElsewhere(state)) return notRun(failure);
          break;
        }
        case 'rejected':
          failures.record(decode, outcome);
          failure = {kind: 'overloaded', detail: outcome.detail};
          if (!retryAfterRejection(state, attempt)) return notRun(failure);
          break;
      }
    }
    return notRun(failure);
  }

  function recordRun({placement, ran, ranVersions}: StreamState): void {
    ran.push(placement.decode.id);
    ranVersions.push(placement.decode.version ?? '');
  }

  function removeRun({ran, ranVersions}: StreamState): void {
    ran.pop();
    ranVersions.pop();
  }

  const withoutRetry = ({detail}: NoRetries): StartOutcome => ({
    kind: 'failed',
    error: {kind: 'overloaded', detail},
    mayHaveRun: false,
    lacksRetry: true,
  });

  function notRun(error: RequestError): StartOutcome {
    return {kind: 'failed', error, mayHaveRun: false};
  }

  function acceptAnswer(
    state: StreamState,
    {answer, watch}: Answered,
  ): StartOutcome {
    const {decode} = state.placement;
    // The engine has taken over the prefill result with the request.
    state.source = undefined;
    if (isGenuine(answer)) return {kind: 'streaming', answer, watch};
    watch?.end();
    answer.body.destroy();
    scheduler.recordFailure(decode.id);
    return {
      kind: 'failed',
      error: {
        kind: 'upstream-failed',
        detail: `status ${answer.status} without proof`,
      },
      mayHaveRun: true,
    };
  }

  return {
    start,
    placeElsewhere,
    moveTo,
    releasePrefillResult,
    releaseBookings,
  };
}
