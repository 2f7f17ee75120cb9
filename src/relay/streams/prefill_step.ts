/** Has a prefill engine compute the prompt of a stream. */

import type {Clock} from '../../ports/clock.js';
import type {
  Cancellation,
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
import {
  watchPrefill,
  type GivenUp,
  type NextPrefill,
  type SentPrefill,
} from './prefill_watch.js';
import {CONNECT_TIMEOUT_MS, leftMs} from '../relay_types.js';
import type {EngineProbes} from '../silence/engine_probes.js';
import {waitForRefusal} from '../silence/refusal_wait.js';
import type {SharedStatistics} from '../placement/shared_statistics.js';
import type {StreamState} from './stream_state.js';
import type {Upstream} from '../../core/upstream.js';

export interface PrefillStepHost {
  readonly clock: Clock;
  readonly upstreamPort: Pick<UpstreamPort, 'prefill' | 'releasePrefill'>;
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
  /** It was sent while the call before was silent. */
  readonly sent?: SentPrefill;
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

function toSource(
  {id: engineId, address}: Upstream,
  handle: string,
): PrefillResultPlace {
  return {engineId, address, handle};
}

export function createPrefillStep(host: PrefillStepHost): PrefillStep {
  const {clock, upstreamPort, probes, scheduler, failures, calls} = host;

  function timeoutMsOf({engine, reservation}: Attempt): number {
    const {speeds, tokensPerMs} = host.statistics;
    const engineTokensPerMs = tokensPerMs() * speeds.factorOf(engine.id);
    const backlogMs = reservation.backlogTokens() / engineTokensPerMs;
    return Math.max(PREFILL_TIMEOUT_MS, BACKLOG_FACTOR * backlogMs);
  }

  function send(
    {job, enginePriority}: StreamState,
    engine: Upstream,
    cancellation: Cancellation,
  ): Promise<PrefillOutcome> {
    const untilDeadlineMs = leftMs(job.deadlineAtMs, clock.nowMs());
    return upstreamPort.prefill(
      job.request,
      {
        upstream: engine,
        leftMs: untilDeadlineMs,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        headTimeoutMs: untilDeadlineMs,
        mayReuseConnection: false,
        enginePriority,
      },
      cancellation,
    );
  }

  /** Sends the prompt to the next engine while the call before is silent. */
  async function startNext(
    state: StreamState,
    {engine, reservation}: NextPrefill,
    cancellation: Cancellation,
  ): Promise<SentPrefill | undefined> {
    const source = createCancellation();
    cancellation.onCancel(source.cancel);
    const sentAtMs = clock.nowMs();
    const outcome = calls.reservedPrefill(state, () =>
      send(state, engine, source),
    );
    const first = await waitForRefusal(clock, outcome);
    if (!first || first.kind === 'prefilled') {
      const release = () => {
        source.cancel();
        void outcome.then(each => {
          if (each.kind !== 'prefilled') return;
          upstreamPort.releasePrefill(toSource(engine, each.handle));
        });
      };
      return {sentAtMs, outcome, cancel: source.cancel, release};
    }
    reservation.end();
    noteFailure(state, engine, first);
    return undefined;
  }

  /** Calls the engine until it answers or its call is given up. */
  async function call(
    state: StreamState,
    {engine, sent}: Attempt,
    timeoutMs: number,
    tried: ReadonlySet<string>,
  ): Promise<CallEnd> {
    const {job} = state;
    const cancellation = createCancellation();
    job.cancellation.onCancel(cancellation.cancel);
    if (sent) cancellation.onCancel(sent.cancel);
    const startedAtMs = sent?.sentAtMs ?? clock.nowMs();
    let givenUp: GivenUp | undefined;
    const watch = watchPrefill(
      {clock, probes, scheduler, calls},
      {
        state,
        engine,
        timeoutMs,
        avoid: tried,
        maxMoves: MAX_ATTEMPTS - 1 - tried.size,
        start: (next, given) => startNext(state, next, given),
      },
      end => {
        givenUp = end;
        cancellation.cancel();
      },
    );
    const outcome = await (sent?.outcome ?? send(state, engine, cancellation));
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

  function noteFailure(
    state: StreamState,
    engine: Upstream,
    failure: SendFailure,
    givenUp?: GivenUp,
  ): void {
    if (failure.kind === 'rejected') scheduler.recordRefusal(engine.id);
    recordFailure(state, engine, failure, givenUp);
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
    const {engine, reservation, isReserved, sent} = attempt;
    const timeoutMs = timeoutMsOf(attempt);
    const ends: CallEnd[] = [];
    const run = async () => {
      ends.push(await call(state, attempt, timeoutMs, tried));
      return ends[0].outcome;
    };
    // A call that was sent has been charged.
    const charged = isReserved ? calls.reservedPrefill : calls.prefill;
    const outcome = await (sent ? run() : charged(state, run));
    const wasAlone = reservation.isUncontended();
    reservation.end();
    if (outcome.kind === 'no-retries') return {outcome};
    const {givenUp} = ends[0];
    if (outcome.kind !== 'prefilled') {
      noteFailure(state, engine, outcome, givenUp);
      return {outcome, givenUp};
    }
    scheduler.recordSuccess(engine.id);
    scheduler.recordAcceptance(engine.id);
    if (wasAlone) recordSpeed(state, attempt, ends[0]);
    const source = toSource(engine, outcome.handle);
    return {outcome: {kind: 'read', source}};
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
