/**
 * Sends a call to one upstream and decides what its outcome means for the call.
 *
 * An upstream that is silent may be paused and answer later, so its attempt
 * ends only when another upstream has accepted the call.
 */

import type {RequestError} from '../../core/error_kinds.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {
  SendFailure,
  UpstreamAnswer,
  UpstreamPort,
} from '../../ports/relay.js';
import {
  collectAnswer,
  type Collected,
  type CollectedAnswer,
  type PartialAnswer,
} from '../answers/answer_collector.js';
import {deliverCollected, passThrough} from '../answers/answer_delivery.js';
import {isGenuine} from '../answers/answer_rules.js';
import {joinCancellations} from '../front/cancellation.js';
import {createHeldAnswer, type HeldAnswer} from '../limits/held_answer.js';
import type {MemoryBudget} from '../limits/memory_budget.js';
import type {RelayJob} from '../relay_types.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import {
  createAttemptWatch,
  type AttemptWatch,
  type AttemptWatchHost,
  type NextAttempt,
  type SentCall,
  type UpstreamSilence,
} from './attempt_watch.js';
import {
  isFullNow,
  noteUnusable,
  toNotes,
  toOverload,
  toResult,
} from './plain_outcomes.js';
import {
  sendPlainCall,
  untilDeadlineMs,
  type SendOutcome,
} from './plain_send.js';
import type {Slot} from './slot_client.js';

export interface PlainAttemptHost {
  readonly clock: Clock;
  readonly log: Pick<Logger, 'info'>;
  readonly upstreamPort: Pick<UpstreamPort, 'send'>;
  readonly registry: Pick<UpstreamRegistry, 'markReplaced' | 'markUnreachable'>;
  readonly silence: UpstreamSilence;
  readonly memory: Pick<MemoryBudget, 'open'>;
  /** Whether the call can still be on time if it starts now. */
  canBeOnTime(job: RelayJob): boolean;
}

/** What the attempts of a call share. */
export interface Progress {
  /** Upstreams that may have run the call, in order. */
  readonly ran: Set<string>;
  /** Upstreams that are not chosen next. */
  readonly tried: Set<string>;
  sendCount: number;
  /** An attempt was left for another although it could have been answered. */
  hasLeft: boolean;
  failure: RequestError;
  /** An upstream's error response, delivered if no other attempt succeeds. */
  fallback?: CollectedAnswer;
  /** What is held of the fallback. */
  held?: HeldAnswer;
}

export interface PlainAttempt {
  readonly job: RelayJob;
  readonly progress: Progress;
  readonly slot: Slot;
  readonly permitWaitMs: number;
  /** Set if the call was sent already. */
  readonly sent?: SentCall;
  /** Prepares the attempt that follows if the upstream is silent. */
  readonly prepareNext?: AttemptWatchHost['prepare'];
}

/** The end of an attempt. */
export type AttemptEnd =
  /** The caller has an answer. */
  | 'done'
  /** Nothing arrived at the upstream. */
  | 'unsent'
  /** The upstream did not run the call. */
  | 'not-run'
  /** The upstream may have run the call, without a usable answer. */
  | 'ran'
  /** The call must not be sent again. */
  | 'stop'
  /** The upstream was silent, and this attempt follows, which was sent. */
  | NextAttempt;

export interface PlainAttempts {
  send(attempt: PlainAttempt): Promise<AttemptEnd>;
}

/**
 * When an attempt counts as silent, in multiples of the latency goal: long
 * enough for a slow run, short enough that another attempt can still be of use
 * to the caller.
 */
const SILENT_GOALS = 2.5;
const MIN_SILENT_MS = 150;
/** A few calls will have ended after this time. */
const REJECTED_RETRY_MS = 100;
const UNREACHABLE_RETRY_MS = 300;
const SERVER_ERROR = 500;

const DROPPED: RequestError = {
  kind: 'outcome-unknown',
  detail: 'This entry has no room for the answer.',
};

function toRejected(detail: string): RequestError {
  return {kind: 'overloaded', detail, retryAfterMs: REJECTED_RETRY_MS};
}

export function createPlainAttempts(host: PlainAttemptHost): PlainAttempts {
  const {clock, registry} = host;

  /** Undefined if no other attempt may follow a silent one. */
  function watch(attempt: PlainAttempt): AttemptWatch | undefined {
    const {job, slot, prepareNext} = attempt;
    if (!prepareNext) return undefined;
    return createAttemptWatch({
      clock,
      silence: host.silence,
      upstream: slot.upstream,
      silentAfterMs: Math.max(MIN_SILENT_MS, job.route.goalMs * SILENT_GOALS),
      prepare: prepareNext,
    });
  }

  async function send(attempt: PlainAttempt): Promise<AttemptEnd> {
    const watched = watch(attempt);
    const cancellation = joinCancellations(
      attempt.job.cancellation,
      watched?.leaving,
    );
    const job = {...attempt.job, cancellation};
    const end = await sendWatched({...attempt, job}, watched);
    watched?.end();
    return end;
  }

  /** Sends the call, unless it was sent while the one before was silent. */
  function toOutcome(
    {job, slot, permitWaitMs, sent}: PlainAttempt,
    watched: AttemptWatch | undefined,
  ): Promise<SendOutcome> {
    const {cancellation} = job;
    if (sent || permitWaitMs === 0) watched?.start();
    if (!sent) {
      const options = {permitWaitMs, onPermitted: watched?.start};
      return sendPlainCall(host, job, slot, options, cancellation);
    }
    cancellation.onCancel(sent.cancel);
    return sent.outcome();
  }

  async function sendWatched(
    attempt: PlainAttempt,
    watched: AttemptWatch | undefined,
  ): Promise<AttemptEnd> {
    const {progress, slot} = attempt;
    const {upstream} = slot;
    progress.sendCount++;
    const outcome = await toOutcome(attempt, watched);
    if (outcome.kind === 'answered') {
      progress.ran.add(upstream.id);
      progress.tried.add(upstream.id);
      return handleAnswer(attempt, outcome, watched);
    }
    if (outcome.kind === 'cancelled') return abandon(attempt, watched);
    slot.end(toResult(outcome), toNotes(outcome));
    return handleFailure(attempt, outcome);
  }

  /** The caller has left, or another attempt follows. */
  function abandon(
    {job, slot, progress}: PlainAttempt,
    watched: AttemptWatch | undefined,
  ): AttemptEnd {
    const next = watched?.next;
    slot.end(next ? 'timeout' : 'cancelled');
    if (!next) return 'stop';
    progress.ran.add(slot.upstream.id);
    // If the next attempt is not run, any upstream may be chosen again.
    progress.tried.clear();
    progress.hasLeft = true;
    host.log.info('Silent attempt left.', {
      request: job.request.requestId,
      upstream: slot.upstream.id,
      next: next.slot.upstream.id,
      sinceArrivalMs: Math.round(clock.nowMs() - job.request.arrivedAtMs),
    });
    return next;
  }

  /**
   * Whether a call that an upstream did not run returns to the queue of its
   * slot: it does if it can still be on time.
   */
  function mayQueueAgain(job: RelayJob, {hasQueue}: Slot): boolean {
    return hasQueue && host.canBeOnTime(job);
  }

  function handleFailure(
    {job, progress, slot}: PlainAttempt,
    failure: Exclude<SendFailure, {kind: 'cancelled'}>,
  ): AttemptEnd {
    const {id} = slot.upstream;
    // The queue gives the call the next slot, also of the same upstream.
    const isQueuedAgain = isFullNow(failure) && mayQueueAgain(job, slot);
    if (!isQueuedAgain) progress.tried.add(id);
    noteUnusable(registry, id, failure);
    switch (failure.kind) {
      case 'unreachable':
        if (failure.wasConnected) {
          progress.failure = toRejected(failure.detail);
          return 'unsent';
        }
        progress.failure = {
          kind: 'no-upstream',
          detail: failure.detail,
          retryAfterMs: UNREACHABLE_RETRY_MS,
        };
        return 'unsent';
      case 'withheld':
        progress.failure = toOverload(progress.failure, failure);
        return 'unsent';
      case 'rejected':
        progress.failure = toRejected(failure.detail);
        return 'not-run';
      case 'broken':
        progress.ran.add(id);
        progress.failure = {kind: 'upstream-failed', detail: failure.detail};
        return 'ran';
      case 'quarantined':
        progress.failure = failure.error;
        return 'stop';
    }
  }

  async function handleAnswer(
    attempt: PlainAttempt,
    answer: UpstreamAnswer,
    watched: AttemptWatch | undefined,
  ): Promise<AttemptEnd> {
    const {job, progress, slot} = attempt;
    if (!isGenuine(answer)) {
      answer.body.destroy();
      slot.end('failed');
      const detail = `status ${answer.status} without proof`;
      progress.failure = {kind: 'upstream-failed', detail};
      return 'ran';
    }
    if (job.route.kind === 'stream') {
      slot.end('ok');
      return pass(attempt, answer);
    }
    const collected = await collect(job, answer);
    if (collected === 'cancelled') return abandon(attempt, watched);
    if (collected === 'dropped') {
      slot.end('cancelled');
      progress.failure = DROPPED;
      return 'stop';
    }
    if (collected.kind === 'large') {
      watched?.end();
      slot.end('ok');
      return pass(attempt, collected.answer, collected.partial);
    }
    return handleCollected(attempt, collected);
  }

  async function pass(
    {job, progress}: PlainAttempt,
    answer: UpstreamAnswer,
    partial?: PartialAnswer,
  ): Promise<AttemptEnd> {
    const end = await passThrough(host, job, answer, partial);
    if (end.kind === 'whole') return 'done';
    if (end.kind === 'cut') progress.failure = end.error;
    return 'stop';
  }

  /** Collects an answer until the deadline or until nobody needs it. */
  function collect(
    job: RelayJob,
    answer: UpstreamAnswer,
  ): Promise<Collected | 'cancelled' | 'dropped'> {
    return new Promise(resolve => {
      const settle = (collected: Collected | 'cancelled' | 'dropped') => {
        clock.clearTimer(timer);
        held.close();
        resolve(collected);
      };
      const giveUp = (collected: Parameters<typeof settle>[0]) => {
        answer.body.destroy();
        settle(collected);
      };
      const held = createHeldAnswer(host.memory, {
        requestId: job.request.requestId,
        end: () => giveUp('dropped'),
      });
      const timer = clock.setTimer(untilDeadlineMs(job, clock.nowMs()), () =>
        giveUp({kind: 'broken', detail: 'no whole answer in time'}),
      );
      job.cancellation.onCancel(() => giveUp('cancelled'));
      void collectAnswer(answer, held.set).then(settle);
    });
  }

  function keepFallback(
    {request}: RelayJob,
    progress: Progress,
    answer: CollectedAnswer,
  ): void {
    progress.held?.close();
    progress.fallback = answer;
    progress.held = createHeldAnswer(host.memory, {
      requestId: request.requestId,
      end: () => void (progress.fallback = undefined),
    });
    progress.held.set(answer.sizeBytes);
  }

  function handleCollected(
    {job, progress, slot}: PlainAttempt,
    collected: Exclude<Collected, {kind: 'large'}>,
  ): AttemptEnd {
    const isFailure =
      collected.kind === 'broken' || collected.status >= SERVER_ERROR;
    slot.end(isFailure ? 'failed' : 'ok');
    if (collected.kind === 'broken') {
      progress.failure = {kind: 'upstream-failed', detail: collected.detail};
      return 'ran';
    }
    if (isFailure) {
      keepFallback(job, progress, collected);
      return 'ran';
    }
    deliverCollected(job.caller, collected);
    return 'done';
  }

  return {send};
}
