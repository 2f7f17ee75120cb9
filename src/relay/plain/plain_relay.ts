/**
 * Relays one call to a plain service: chooses an upstream, sends the call, and
 * decides whether to try another.
 *
 * A call that is not idempotent is sent again only if nothing was sent or the
 * upstream said that it did not run the call; so it runs at most once.
 */

import type {RequestError} from '../../core/error_kinds.js';
import type {Clock} from '../../ports/clock.js';
import type {
  SendFailure,
  UpstreamAnswer,
  UpstreamPort,
} from '../../ports/relay.js';
import type {PlainCallResult} from '../../scheduling/plain_balancer.js';
import {
  collectAnswer,
  type CollectedAnswer,
} from '../answers/answer_collector.js';
import {deliverCollected, passThrough} from '../answers/answer_delivery.js';
import {isGenuine, toCallerError} from '../answers/answer_rules.js';
import type {RequestPriorities} from '../placement/request_priority.js';
import {
  CONNECT_TIMEOUT_MS,
  leftMs,
  KEY_WITHDRAWN,
  type RelayJob,
} from '../relay_types.js';
import type {JobOutcome} from '../job_outcome.js';
import type {RetryAllowance} from '../retries/shared_retries.js';
import {isFullNow, toNotes, toOverload, toResult} from './plain_outcomes.js';
import type {Slot, SlotClient, SlotNeed} from './slot_client.js';
import {toCallWaiting} from './slot_rules.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface PlainRelayHost {
  readonly clock: Clock;
  readonly upstreamPort: UpstreamPort;
  readonly slots: SlotClient;
  readonly registry: UpstreamRegistry;
  readonly retryBudget: RetryAllowance;
  readonly priorities: RequestPriorities;
  /**
   * How long the upstream takes no more calls from this host; 0 if it takes
   * them.
   */
  pausedMs(upstreamId: string): number;
}

export interface PlainRelay {
  run(job: RelayJob): Promise<JobOutcome>;
}

/**
 * How long the first attempt of an idempotent call may take if another attempt
 * is left, in multiples of the latency goal: long enough for a slow run, short
 * enough that the second attempt can still be of use to the caller.
 */
const FIRST_ATTEMPT_GOALS = 2.5;
const MIN_FIRST_ATTEMPT_MS = 150;
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
/**
 * Share of the time left to a call that it may wait for a place within an
 * upstream's limit. In a longer queue all waiting calls would be late.
 */
const PERMIT_WAIT_SHARE = 0.5;
/**
 * Attempts that reach no upstream cost the upstreams nothing; this limit bounds
 * their time.
 */
const MAX_SEND_COUNT = 5;

interface Progress {
  readonly tried: Set<string>;
  readonly ran: string[];
  sendCount: number;
  failure: RequestError;
  /** An upstream's error response, delivered if no other attempt succeeds. */
  fallback?: CollectedAnswer;
}

type Step = 'done' | 'again' | 'stop';

interface UpstreamSelection {
  readonly avoid: ReadonlySet<string>;
  readonly permitWaitMs: number;
}

/** Only calls that must run at most once wait, at upstreams that reset some. */
function firstByteDelayMs({route}: RelayJob, slot: Slot): number | undefined {
  const mustWait = route.kind !== 'idempotent' && slot.isResetting;
  return mustWait ? FIRST_BYTE_DELAY_MS : undefined;
}

function toRejected(detail: string): RequestError {
  return {kind: 'overloaded', detail, retryAfterMs: REJECTED_RETRY_MS};
}

export function createPlainRelay(host: PlainRelayHost): PlainRelay {
  const {clock, upstreamPort, slots, registry, retryBudget} = host;

  function toNeed(job: RelayJob): SlotNeed {
    const {request, route, service, deadlineAtMs, admitted} = job;
    return {
      requestId: request.requestId,
      service: service.name,
      account: admitted.account?.name,
      waiting: toCallWaiting({
        arrivedAtMs: request.arrivedAtMs,
        goalMs: route.goalMs,
        deadlineAtMs,
        meanCallMs: slots.meanCallMs(service.name),
        priority: host.priorities.ofRequest(
          service.name,
          route,
          admitted.account,
        ),
      }),
    };
  }

  /** Whether the route allows another run of the call. */
  function mayRunAgain(job: RelayJob, progress: Progress): boolean {
    const isRepeatable = job.route.kind === 'idempotent';
    return isRepeatable && progress.ran.length < job.route.maxAttempts;
  }

  /** Takes a retry from the budget, unless no other upstream is left to try. */
  async function consumeRetry(
    job: RelayJob,
    progress: Progress,
  ): Promise<boolean> {
    if (!slots.hasOther(job.service.name, progress.tried)) return false;
    return retryBudget.tryTake(job.service.name, job.request.requestId);
  }

  /** The next step if the call may be sent again. */
  async function nextStep(job: RelayJob, progress: Progress): Promise<Step> {
    return (await consumeRetry(job, progress)) ? 'again' : 'stop';
  }

  /** The next step after a run, which the route may not allow to repeat. */
  async function nextStepAfterRun(
    job: RelayJob,
    progress: Progress,
  ): Promise<Step> {
    return mayRunAgain(job, progress) ? nextStep(job, progress) : 'stop';
  }

  /**
   * Avoids upstreams that take no more calls for now. If there are no others,
   * the call may wait for one of them for a while.
   */
  function selectUpstreams(
    job: RelayJob,
    progress: Progress,
    {waiting}: SlotNeed,
  ): UpstreamSelection {
    const {name} = job.service;
    const {tried} = progress;
    const paused = registry.open(name).filter(({id}) => host.pausedMs(id) > 0);
    const avoid = new Set([...tried, ...paused.map(({id}) => id)]);
    if (slots.hasOther(name, avoid)) return {avoid, permitWaitMs: 0};
    const leftMs = Math.max(0, waiting.giveUpAtMs - clock.nowMs());
    return {avoid: tried, permitWaitMs: leftMs * PERMIT_WAIT_SHARE};
  }

  function headTimeoutMs(job: RelayJob, progress: Progress): number {
    const untilDeadlineMs = leftMs(job.deadlineAtMs, clock.nowMs());
    const isLast =
      job.route.kind !== 'idempotent' ||
      progress.ran.length + 1 >= job.route.maxAttempts;
    if (isLast) return untilDeadlineMs + DEADLINE_SLACK_MS;
    const firstMs = Math.max(
      MIN_FIRST_ATTEMPT_MS,
      job.route.goalMs * FIRST_ATTEMPT_GOALS,
    );
    return Math.min(untilDeadlineMs, firstMs);
  }

  async function sendOnce(
    job: RelayJob,
    progress: Progress,
    slot: Slot,
    permitWaitMs: number,
  ): Promise<Step> {
    const {upstream, end} = slot;
    const {request, cancellation} = job;
    const startedAtMs = clock.nowMs();
    progress.sendCount++;
    const outcome = await upstreamPort.send(
      request,
      {
        upstream,
        leftMs: leftMs(job.deadlineAtMs, startedAtMs),
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        headTimeoutMs: headTimeoutMs(job, progress),
        mayReuseConnection: job.route.kind === 'idempotent',
        firstByteDelayMs: firstByteDelayMs(job, slot),
        permitWaitMs,
        expectsEvents: job.route.kind === 'stream',
      },
      cancellation,
    );
    if (outcome.kind !== 'answered') {
      end(toResult(outcome), toNotes(outcome));
      return handleFailure(job, progress, slot, outcome);
    }
    progress.ran.push(upstream.id);
    progress.tried.add(upstream.id);
    return handleAnswer(job, progress, outcome, end);
  }

  /**
   * Whether a call that an upstream did not run returns to the queue of its
   * slot: it does if it can still be on time.
   */
  function mayQueueAgain(job: RelayJob, {hasQueue}: Slot): boolean {
    return hasQueue && clock.nowMs() <= toNeed(job).waiting.onTimeUntilMs;
  }

  async function handleFailure(
    job: RelayJob,
    progress: Progress,
    slot: Slot,
    failure: SendFailure,
  ): Promise<Step> {
    const {upstream} = slot;
    // The queue gives the call the next slot, also of the same upstream.
    const isQueuedAgain = isFullNow(failure) && mayQueueAgain(job, slot);
    if (!isQueuedAgain) progress.tried.add(upstream.id);
    switch (failure.kind) {
      case 'unreachable':
        if (failure.wasConnected) {
          progress.failure = toRejected(failure.detail);
          return 'again';
        }
        registry.markUnreachable(upstream.id);
        progress.failure = {
          kind: 'no-upstream',
          detail: failure.detail,
          retryAfterMs: UNREACHABLE_RETRY_MS,
        };
        return 'again';
      case 'withheld':
        progress.failure = toOverload(progress.failure, failure);
        return 'again';
      case 'rejected':
        if (failure.reason === 'other-instance')
          registry.markReplaced(upstream.id);
        progress.failure = toRejected(failure.detail);
        return nextStep(job, progress);
      case 'broken':
        progress.ran.push(upstream.id);
        progress.failure = {kind: 'upstream-failed', detail: failure.detail};
        return nextStepAfterRun(job, progress);
      case 'quarantined':
        progress.failure = failure.error;
        return 'stop';
      case 'cancelled':
        return 'stop';
    }
  }

  async function handleAnswer(
    job: RelayJob,
    progress: Progress,
    answer: UpstreamAnswer,
    report: (result: PlainCallResult) => void,
  ): Promise<Step> {
    if (!isGenuine(answer)) {
      answer.body.destroy();
      report('failed');
      progress.failure = {
        kind: 'upstream-failed',
        detail: `status ${answer.status} without proof`,
      };
      return nextStepAfterRun(job, progress);
    }
    if (job.route.kind === 'stream') {
      report('ok');
      await passThrough(job, answer);
      return 'done';
    }
    const collected = await collectAnswer(answer);
    if (collected.kind === 'large') {
      report('ok');
      await passThrough(job, collected.answer, collected.partial);
      return 'done';
    }
    return handleCollected(job, progress, collected, report);
  }

  function handleCollected(
    job: RelayJob,
    progress: Progress,
    collected: CollectedAnswer | {readonly kind: 'broken'; detail: string},
    report: (result: PlainCallResult) => void,
  ): Step | Promise<Step> {
    const isFailure =
      collected.kind === 'broken' || collected.status >= SERVER_ERROR;
    report(isFailure ? 'failed' : 'ok');
    if (!isFailure) {
      deliverCollected(job.caller, collected);
      return 'done';
    }
    if (collected.kind === 'broken') {
      progress.failure = {kind: 'upstream-failed', detail: collected.detail};
    } else {
      progress.fallback = collected;
    }
    return nextStepAfterRun(job, progress);
  }

  /**
   * Raises the retry delay to the earliest time at which an upstream takes
   * calls again.
   */
  function extendRetryAfter(
    error: RequestError,
    service: string,
  ): RequestError {
    if (error.retryAfterMs === undefined) return error;
    const pausedMs = registry.open(service).map(({id}) => host.pausedMs(id));
    const leastMs = pausedMs.length > 0 ? Math.min(...pausedMs) : 0;
    return {...error, retryAfterMs: Math.max(error.retryAfterMs, leastMs)};
  }

  function finishUnanswered(job: RelayJob, progress: Progress): JobOutcome {
    const {caller} = job;
    if (job.cancellation.isCancelled) {
      return {end: 'caller-gone', upstreams: progress.ran};
    }
    if (progress.fallback) {
      deliverCollected(caller, progress.fallback);
      const {status} = progress.fallback;
      return {end: 'answered', status, upstreams: progress.ran};
    }
    const hasRun = progress.ran.length > 0;
    const isLate = clock.nowMs() >= job.deadlineAtMs;
    const error = toCallerError(progress.failure, hasRun, isLate);
    caller.refuse(extendRetryAfter(error, job.service.name));
    return {
      end: hasRun ? 'failed' : 'refused',
      reason: `${error.kind}: ${error.detail}`,
      upstreams: progress.ran,
    };
  }

  return {
    async run(job) {
      const progress: Progress = {
        tried: new Set(),
        ran: [],
        sendCount: 0,
        failure: {
          kind: 'no-upstream',
          detail: 'No upstream is listed.',
          retryAfterMs: 500,
        },
      };
      retryBudget.requestStarted(job.service.name);
      while (
        progress.sendCount < MAX_SEND_COUNT &&
        clock.nowMs() < job.deadlineAtMs &&
        !job.cancellation.isCancelled
      ) {
        if (progress.ran.length === 0 && job.admitted.isWithdrawn()) {
          progress.failure = KEY_WITHDRAWN;
          break;
        }
        const need = toNeed(job);
        const {avoid, permitWaitMs} = selectUpstreams(job, progress, need);
        // A keeper would let the call wait for the upstreams that it avoids.
        if (!slots.hasOther(job.service.name, avoid)) break;
        const slot = await slots.acquire(need, avoid, job.cancellation);
        if (slot.kind === 'refused') progress.failure = slot.error;
        if (slot.kind !== 'slot') break;
        const step = await sendOnce(job, progress, slot, permitWaitMs);
        if (step === 'done') {
          return {end: 'answered', upstreams: progress.ran};
        }
        if (step === 'stop') break;
      }
      return finishUnanswered(job, progress);
    },
  };
}
