/** Has a prefill engine compute the prompt of a stream. */

import type {Clock} from '../../ports/clock.js';
import type {
  PrefillOutcome,
  PrefillResultPlace,
  SendFailure,
  UpstreamPort,
} from '../../ports/relay.js';
import {createCancellation} from '../front/cancellation.js';
import type {BudgetedCalls, NoRetries} from './budgeted_calls.js';
import type {EngineFailures} from './engine_failures.js';
import type {EngineScheduler} from '../placement/engine_scheduler.js';
import type {PrefillReservation} from '../placement/placement_types.js';
import {watchPrefill, type GivenUp} from './prefill_watch.js';
import {CONNECT_TIMEOUT_MS, leftMs} from '../relay_types.js';
import type {EngineProbes} from '../silence/engine_probes.js';
import type {SharedStatistics} from '../placement/shared_statistics.js';
import type {StreamState} from './stream_state.js';
import type {Upstream} from '../../core/upstream.js';

export interface PrefillStepHost {
  readonly clock: Clock;
  readonly upstreamPort: Pick<UpstreamPort, 'prefill'>;
  readonly probes: EngineProbes;
  readonly scheduler: EngineScheduler;
  readonly failures: EngineFailures;
  readonly calls: BudgetedCalls;
  readonly statistics: SharedStatistics;
}

export type PrefillStepOutcome =
  | {readonly kind: 'read'; readonly source: PrefillResultPlace}
  /** The decode engine has to prefill the prompt itself. */
  | {readonly kind: 'not-read'}
  | Extract<SendFailure, {kind: 'quarantined'}>
  | NoRetries;

export interface PrefillStep {
  run(state: StreamState): Promise<PrefillStepOutcome>;
}

/** Maximum number of prefill engines that are tried for one request. */
const MAX_ATTEMPTS = 3;
/** An idle engine answers well within this time. */
const PREFILL_TIMEOUT_MS = 1_500;
/**
 * Timeout of an engine with a backlog, as a multiple of the expected time. A
 * prompt whose call times out is computed in vain and again elsewhere.
 */
const BACKLOG_FACTOR = 2;

/** A call to one prefill engine. */
interface Attempt {
  readonly engine: Upstream;
  readonly reservation: PrefillReservation;
  /** A retry was reserved for it, since it follows a silent call. */
  readonly isReserved?: boolean;
}

/** How a call ended, and why if it was given up. */
interface CallEnd {
  readonly outcome: PrefillOutcome;
  readonly givenUp?: GivenUp;
  readonly durationMs: number;
  /** Whether the engine paused, so that the duration shows no speed. */
  readonly wasSilent: boolean;
}

interface AttemptEnd {
  readonly outcome: PrefillStepOutcome | SendFailure;
  readonly givenUp?: GivenUp;
}

export function createPrefillStep(host: PrefillStepHost): PrefillStep {
  const {clock, upstreamPort, probes, scheduler, failures, calls} = host;

  function timeoutMsOf({engine, reservation}: Attempt): number {
    const {speeds, tokensPerMs} = host.statistics;
    const engineTokensPerMs = tokensPerMs() * speeds.factorOf(engine.id);
    const backlogMs = reservation.backlogTokens() / engineTokensPerMs;
    return Math.max(PREFILL_TIMEOUT_MS, BACKLOG_FACTOR * backlogMs);
  }

  /** Calls the engine until it answers or its call is given up. */
  async function call(
    state: StreamState,
    engine: Upstream,
    timeoutMs: number,
    tried: ReadonlySet<string>,
  ): Promise<CallEnd> {
    const {job} = state;
    const cancellation = createCancellation();
    job.cancellation.onCancel(cancellation.cancel);
    const startedAtMs = clock.nowMs();
    const untilDeadlineMs = leftMs(job.deadlineAtMs, startedAtMs);
    let givenUp: GivenUp | undefined;
    const watch = watchPrefill(
      {clock, probes, scheduler, calls},
      {
        state,
        engine,
        timeoutMs,
        avoid: tried,
        mayMove: tried.size + 1 < MAX_ATTEMPTS,
      },
      end => {
        givenUp = end;
        cancellation.cancel();
      },
    );
    const outcome = await upstreamPort.prefill(
      job.request,
      {
        upstream: engine,
        leftMs: untilDeadlineMs,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        headTimeoutMs: untilDeadlineMs,
        mayReuseConnection: false,
        enginePriority: state.enginePriority,
      },
      cancellation,
    );
    watch.stop();
    const durationMs = clock.nowMs() - startedAtMs;
    const wasSilent = watch.wasSilent();
    if (!givenUp) return {outcome, durationMs, wasSilent};
    if (outcome.kind === 'prefilled' || job.cancellation.isCancelled) {
      if (givenUp.next) watch.release(givenUp.next);
      return {outcome, durationMs, wasSilent};
    }
    const failure: SendFailure = {kind: 'broken', detail: givenUp.detail};
    return {outcome: failure, givenUp, durationMs, wasSilent};
  }

  function recordSpeed(
    {need}: StreamState,
    {engine}: Attempt,
    {durationMs, wasSilent}: CallEnd,
  ): void {
    if (wasSilent) return;
    host.statistics.recordPrefill(need.promptTokens, durationMs);
    if (durationMs <= 0) return;
    const {speeds} = host.statistics;
    speeds.recordPrompt(engine, need.promptTokens / durationMs);
  }

  function recordFailure(
    state: StreamState,
    engine: Upstream,
    failure: SendFailure,
    givenUp: GivenUp | undefined,
  ): void {
    const isLate = clock.nowMs() >= state.job.deadlineAtMs;
    // A pause of all engines excludes none.
    const isOfEngine = givenUp ? givenUp.isOfEngine : !isLate;
    if (isOfEngine) failures.record(engine, failure);
    failures.logFailure('Prefill failed.', state, engine, failure);
  }

  async function prefillAt(
    state: StreamState,
    attempt: Attempt,
    tried: ReadonlySet<string>,
  ): Promise<AttemptEnd> {
    const {engine, reservation, isReserved} = attempt;
    const timeoutMs = timeoutMsOf(attempt);
    const ends: CallEnd[] = [];
    const outcome = await calls.prefill(
      state,
      async () => {
        ends.push(await call(state, engine, timeoutMs, tried));
        return ends[0].outcome;
      },
      isReserved,
    );
    const wasAlone = reservation.isUncontended();
    reservation.end();
    if (outcome.kind === 'no-retries') return {outcome};
    const {givenUp} = ends[0];
    if (outcome.kind === 'rejected') scheduler.recordRefusal(engine.id);
    if (outcome.kind !== 'prefilled') {
      recordFailure(state, engine, outcome, givenUp);
      return {outcome, givenUp};
    }
    scheduler.recordSuccess(engine.id);
    scheduler.recordAcceptance(engine.id);
    if (wasAlone) recordSpeed(state, attempt, ends[0]);
    const {handle} = outcome;
    const {id: engineId, address} = engine;
    return {outcome: {kind: 'read', source: {engineId, address, handle}}};
  }

  /** Whether no other engine is to be tried. */
  function isFinal(
    outcome: PrefillStepOutcome | SendFailure,
  ): outcome is PrefillStepOutcome {
    const {kind} = outcome;
    return kind === 'read' || kind === 'no-retries' || kind === 'quarantined';
  }

  /** Books the engine that is called after a failure. */
  function findNext(
    {need, placement}: StreamState,
    tried: ReadonlySet<string>,
  ): Attempt | undefined {
    if (tried.size >= MAX_ATTEMPTS) return undefined;
    return scheduler.prefillAgain(need, placement.decode, tried);
  }

  return {
    async run(state) {
      const {job, placement} = state;
      const tried = new Set<string>();
      let attempt: Attempt | undefined = placement.prefill && {
        engine: placement.prefill,
        reservation: placement.prefillReservation,
      };
      while (attempt) {
        const {outcome, givenUp} = await prefillAt(state, attempt, tried);
        if (isFinal(outcome)) return outcome;
        tried.add(attempt.engine.id);
        // An engine that is booked below must be called: a booking that is
        // never ended makes the engine look busy forever.
        if (job.cancellation.isCancelled) break;
        attempt = givenUp
          ? givenUp.next && {...givenUp.next, isReserved: true}
          : findNext(state, tried);
      }
      return {kind: 'not-read'};
    },
  };
}
