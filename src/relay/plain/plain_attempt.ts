/**
 * Sends a call to one upstream and decides what its outcome means for the call.
 *
 * An upstream that is silent may be paused and answer later, so silence ends no
 * attempt: it is reported, and the relay may run another attempt beside it.
 */

import type {RequestError} from '../../core/error_kinds.js';
import type {Clock} from '../../ports/clock.js';
import type {
  SendFailure,
  UpstreamAnswer,
  UpstreamPort,
} from '../../ports/relay.js';
import {
  collectAnswer,
  type Collected,
  type CollectedAnswer,
} from '../answers/answer_collector.js';
import {deliverCollected, passThrough} from '../answers/answer_delivery.js';
import {isGenuine} from '../answers/answer_rules.js';
import {CONNECT_TIMEOUT_MS, leftMs, type RelayJob} from '../relay_types.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import type {RaceEntry} from './attempt_race.js';
import {isFullNow, toNotes, toOverload, toResult} from './plain_outcomes.js';
import {createSilenceWatch, type SilenceWatch} from './silence_watch.js';
import type {Slot} from './slot_client.js';

export interface PlainAttemptHost {
  readonly clock: Clock;
  readonly upstreamPort: Pick<UpstreamPort, 'send'>;
  readonly registry: Pick<UpstreamRegistry, 'markReplaced' | 'markUnreachable'>;
  /** Whether the call can still be on time if it starts now. */
  canBeOnTime(job: RelayJob): boolean;
}

/** What all attempts of a call share. */
export interface Progress {
  /** Upstreams that may have run the call, in order. */
  readonly ran: Set<string>;
  sendCount: number;
  failure: RequestError;
  /** An upstream's error response, delivered if no other attempt succeeds. */
  fallback?: CollectedAnswer;
}

export interface PlainAttempt {
  /** Its cancellation is that of the entry. */
  readonly job: RelayJob;
  readonly progress: Progress;
  readonly entry: RaceEntry;
  /** Upstreams that this entry does not choose again. */
  readonly tried: Set<string>;
  readonly slot: Slot;
  readonly permitWaitMs: number;
  /** The upstream is silent; called again from time to time while it is. */
  onSilent(): void;
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
  | 'stop';

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
/** The upstream ends a run at its deadline itself and reports it. */
const DEADLINE_SLACK_MS = 60;
/** A few calls will have ended after this time. */
const REJECTED_RETRY_MS = 100;
const UNREACHABLE_RETRY_MS = 300;
/**
 * An upstream that resets connections does so when it accepts them, one hop
 * after connecting and one back: some 4 ms.
 */
const FIRST_BYTE_DELAY_MS = 6;
const SERVER_ERROR = 500;

/** Only calls that must run at most once wait, at upstreams that reset some. */
function firstByteDelayMs({route}: RelayJob, slot: Slot): number | undefined {
  const mustWait = route.kind !== 'idempotent' && slot.isResetting;
  return mustWait ? FIRST_BYTE_DELAY_MS : undefined;
}

function toRejected(detail: string): RequestError {
  return {kind: 'overloaded', detail, retryAfterMs: REJECTED_RETRY_MS};
}

export function createPlainAttempts(host: PlainAttemptHost): PlainAttempts {
  const {clock, upstreamPort, registry} = host;

  const untilDeadlineMs = ({deadlineAtMs}: RelayJob) =>
    leftMs(deadlineAtMs, clock.nowMs()) + DEADLINE_SLACK_MS;

  function watchSilence(attempt: PlainAttempt): SilenceWatch {
    const {job, progress, slot, tried} = attempt;
    const {goalMs} = job.route;
    return createSilenceWatch({
      clock,
      afterMs: Math.max(MIN_SILENT_MS, goalMs * SILENT_GOALS),
      onSilent() {
        progress.ran.add(slot.upstream.id);
        tried.add(slot.upstream.id);
        attempt.onSilent();
      },
    });
  }

  async function send(attempt: PlainAttempt): Promise<AttemptEnd> {
    const silence = watchSilence(attempt);
    const end = await sendWatched(attempt, silence);
    silence.stop();
    return end;
  }

  async function sendWatched(
    attempt: PlainAttempt,
    silence: SilenceWatch,
  ): Promise<AttemptEnd> {
    const {job, progress, slot, permitWaitMs} = attempt;
    const {request, cancellation, route} = job;
    const {upstream} = slot;
    progress.sendCount++;
    if (permitWaitMs === 0) silence.start();
    const outcome = await upstreamPort.send(
      request,
      {
        upstream,
        leftMs: leftMs(job.deadlineAtMs, clock.nowMs()),
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        headTimeoutMs: untilDeadlineMs(job),
        mayReuseConnection: route.kind === 'idempotent',
        firstByteDelayMs: firstByteDelayMs(job, slot),
        permitWaitMs,
        onPermitted: silence.start,
        expectsEvents: route.kind === 'stream',
      },
      cancellation,
    );
    if (outcome.kind === 'answered') {
      progress.ran.add(upstream.id);
      attempt.tried.add(upstream.id);
      return handleAnswer(attempt, outcome, silence);
    }
    if (outcome.kind === 'cancelled') return abandon(attempt, silence);
    slot.end(toResult(outcome), toNotes(outcome));
    return handleFailure(attempt, outcome);
  }

  /** The caller has left, or another attempt was faster. */
  function abandon({slot}: PlainAttempt, silence: SilenceWatch): AttemptEnd {
    slot.end(silence.isSilent() ? 'timeout' : 'cancelled');
    return 'stop';
  }

  /**
   * Whether a call that an upstream did not run returns to the queue of its
   * slot: it does if it can still be on time.
   */
  function mayQueueAgain(job: RelayJob, {hasQueue}: Slot): boolean {
    return hasQueue && host.canBeOnTime(job);
  }

  function handleFailure(
    {job, progress, slot, tried}: PlainAttempt,
    failure: Exclude<SendFailure, {kind: 'cancelled'}>,
  ): AttemptEnd {
    const {id} = slot.upstream;
    // The queue gives the call the next slot, also of the same upstream.
    const isQueuedAgain = isFullNow(failure) && mayQueueAgain(job, slot);
    if (!isQueuedAgain) tried.add(id);
    if (failure.kind !== 'broken') progress.ran.delete(id);
    switch (failure.kind) {
      case 'unreachable':
        if (failure.wasConnected) {
          progress.failure = toRejected(failure.detail);
          return 'unsent';
        }
        registry.markUnreachable(id);
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
        if (failure.reason === 'other-instance') registry.markReplaced(id);
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
    silence: SilenceWatch,
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
      await passThrough(job, answer);
      return 'done';
    }
    const collected = await collect(job, answer);
    if (collected === 'cancelled') return abandon(attempt, silence);
    if (collected.kind === 'large') {
      if (!attempt.entry.tryWin()) return abandon(attempt, silence);
      silence.stop();
      slot.end('ok');
      await passThrough(job, collected.answer, collected.partial);
      return 'done';
    }
    return handleCollected(attempt, collected);
  }

  /** Collects an answer until the deadline or until nobody needs it. */
  function collect(
    job: RelayJob,
    answer: UpstreamAnswer,
  ): Promise<Collected | 'cancelled'> {
    return new Promise(resolve => {
      const timer = clock.setTimer(untilDeadlineMs(job), () => {
        answer.body.destroy();
        resolve({kind: 'broken', detail: 'no whole answer in time'});
      });
      job.cancellation.onCancel(() => {
        clock.clearTimer(timer);
        answer.body.destroy();
        resolve('cancelled');
      });
      void collectAnswer(answer).then(collected => {
        clock.clearTimer(timer);
        resolve(collected);
      });
    });
  }

  function handleCollected(
    {job, progress, slot, entry}: PlainAttempt,
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
      progress.fallback = collected;
      return 'ran';
    }
    if (!entry.tryWin()) return 'stop';
    deliverCollected(job.caller, collected);
    return 'done';
  }

  return {send};
}
