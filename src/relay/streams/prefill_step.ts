/** Has the prompt of a stream read by a prefill engine. */

import type {Clock} from '../../ports/clock.js';
import type {
  PrefillResultPlace,
  SendFailure,
  SendOptions,
  UpstreamPort,
} from '../../ports/relay.js';
import type {CountedCalls, Spent} from './counted_calls.js';
import type {EngineFailures} from './engine_failures.js';
import type {
  EngineScheduler,
  PrefillBooking,
} from '../placement/engine_scheduler.js';
import {CONNECT_TIMEOUT_MS, leftMs} from '../relay_types.js';
import type {SharedLearning} from '../placement/shared_learning.js';
import type {StreamState} from './stream_state.js';
import type {Upstream} from '../../core/upstream.js';

export interface PrefillStepHost {
  readonly clock: Clock;
  readonly upstreamPort: Pick<UpstreamPort, 'prefill'>;
  readonly scheduler: EngineScheduler;
  readonly failures: EngineFailures;
  readonly calls: CountedCalls;
  readonly learning: SharedLearning;
}

export type PrefillEnd =
  | {readonly kind: 'read'; readonly source: PrefillResultPlace}
  /** The decode engine is to read the prompt itself. */
  | {readonly kind: 'not-read'}
  | Spent;

export interface PrefillStep {
  run(state: StreamState): Promise<PrefillEnd>;
}

/** Prefill engines that one request may ask, one after another. */
const MAX_TRIES = 3;
/** An engine with nothing else to do answers well within this time. */
const PREFILL_TIMEOUT_MS = 1_500;
/**
 * An engine with a long backlog gets so many times as long as it should take:
 * a prompt that is given up is read for nobody, and once more elsewhere.
 */
const BACKLOG_FACTOR = 2;

export function createPrefillStep(host: PrefillStepHost): PrefillStep {
  const {clock, upstreamPort, scheduler, failures, calls} = host;

  async function readAt(
    state: StreamState,
    engine: Upstream,
    booking: PrefillBooking,
  ): Promise<PrefillEnd | SendFailure> {
    const {job, need} = state;
    const startedAtMs = clock.nowMs();
    const backlogMs = booking.backlogTokens() / host.learning.tokensPerMs();
    const options: SendOptions = {
      upstream: engine,
      leftMs: leftMs(job.deadlineAtMs, startedAtMs),
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      headTimeoutMs: Math.max(PREFILL_TIMEOUT_MS, BACKLOG_FACTOR * backlogMs),
      mayReuseConnection: false,
    };
    const outcome = await calls.prefill(state, () =>
      upstreamPort.prefill(job.request, options, job.cancellation),
    );
    const wasAlone = booking.isAlone();
    booking.end();
    if (outcome.kind === 'spent') return outcome;
    if (outcome.kind === 'rejected') scheduler.noteFull(engine.id);
    if (outcome.kind !== 'prefilled') {
      failures.note(engine, outcome);
      failures.write('Prefill failed.', state, engine, outcome);
      return outcome;
    }
    scheduler.noteSuccess(engine.id);
    scheduler.noteTaken(engine.id);
    if (wasAlone) {
      const durationMs = clock.nowMs() - startedAtMs;
      host.learning.notePrefill(need.promptTokens, durationMs);
    }
    const {handle} = outcome;
    const {id: engineId, address} = engine;
    return {kind: 'read', source: {engineId, address, handle}};
  }

  return {
    async run(state) {
      const {job, need, placement} = state;
      const tried = new Set<string>();
      let engine = placement.prefill;
      let booking = placement.prefillBooking;
      while (engine) {
        const outcome = await readAt(state, engine, booking);
        if (outcome.kind === 'read' || outcome.kind === 'spent') return outcome;
        tried.add(engine.id);
        // What is booked from here on must be asked: a booking that nobody
        // ends makes its engine look busy for good.
        if (job.cancellation.isCancelled || tried.size >= MAX_TRIES) break;
        const next = scheduler.prefillAgain(need, placement.decode, tried);
        if (!next) break;
        ({engine, booking} = next);
      }
      return {kind: 'not-read'};
    },
  };
}
