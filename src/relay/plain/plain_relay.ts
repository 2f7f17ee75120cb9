/**
 * Relays one call to a plain service: chooses an upstream, sends the call, and
 * decides whether to try another.
 *
 * A call that is not idempotent is sent again only if nothing was sent or the
 * upstream said that it did not run the call; so it runs at most once.
 *
 * An attempt at an idempotent call whose upstream is silent is left as soon as
 * another upstream has accepted the call. If that one does not run it after all,
 * the call is placed again until its deadline, since the silent attempt might
 * have been answered.
 */

import type {RequestError} from '../../core/error_kinds.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {UpstreamPort} from '../../ports/relay.js';
import {deliverCollected} from '../answers/answer_delivery.js';
import {toCallerError} from '../answers/answer_rules.js';
import type {JobOutcome} from '../job_outcome.js';
import type {MemoryBudget} from '../limits/memory_budget.js';
import type {RequestPriorities} from '../placement/request_priority.js';
import {KEY_WITHDRAWN, leftMs, type RelayJob} from '../relay_types.js';
import type {RetryAllowance} from '../retries/shared_retries.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import {createNextAttempts} from './next_attempts.js';
import {
  createPlainAttempts,
  type AttemptEnd,
  type PlainAttempt,
  type Progress,
} from './plain_attempt.js';
import type {NextAttempt, UpstreamSilence} from './attempt_watch.js';
import type {Slot, SlotClient, SlotNeed} from './slot_client.js';
import {toCallWaiting} from './slot_rules.js';

export interface PlainRelayHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly upstreamPort: UpstreamPort;
  readonly slots: SlotClient;
  readonly registry: UpstreamRegistry;
  readonly retryBudget: RetryAllowance;
  readonly priorities: RequestPriorities;
  readonly silence: UpstreamSilence;
  readonly memory: Pick<MemoryBudget, 'open'>;
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
 * Share of the time left to a call that it may wait for a place within an
 * upstream's limit. In a longer queue all waiting calls would be late.
 */
const PERMIT_WAIT_SHARE = 0.5;
/**
 * Attempts that reach no upstream cost the upstreams nothing; this limit bounds
 * their time.
 */
const MAX_SEND_COUNT = 5;

/** A few calls will have ended after this time. */
const PLACE_AGAIN_MS = 250;

/** One call with its attempts. */
interface PlainCall {
  readonly job: RelayJob;
  readonly progress: Progress;
}

interface UpstreamSelection {
  readonly avoid: ReadonlySet<string>;
  readonly permitWaitMs: number;
}

export function createPlainRelay(host: PlainRelayHost): PlainRelay {
  const {clock, slots, registry, retryBudget} = host;
  const nextAttempts = createNextAttempts(host);
  const attempts = createPlainAttempts({
    ...host,
    canBeOnTime: job => clock.nowMs() <= toNeed(job).waiting.onTimeUntilMs,
  });

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

  /** Whether the route allows a run at another upstream beside these. */
  const mayRunAgain = ({route}: RelayJob, ran: ReadonlySet<string>) =>
    route.kind === 'idempotent' && ran.size < route.maxAttempts;

  /** Takes a retry from the budget, unless no other upstream is left to try. */
  async function consumeRetry({job, progress}: PlainCall): Promise<boolean> {
    const {service, request} = job;
    if (!slots.hasOther(service.name, progress.tried)) return false;
    return retryBudget.tryTake(service.name, request.requestId);
  }

  /** Whether the call is sent again after an attempt that answered nothing. */
  async function mayContinue(
    call: PlainCall,
    end: Exclude<AttemptEnd, NextAttempt>,
  ): Promise<boolean> {
    const {job, progress} = call;
    switch (end) {
      case 'unsent':
        return !progress.hasLeft || waitToPlaceAgain(call);
      case 'not-run':
        return progress.hasLeft ? mayPlaceAgain(call) : consumeRetry(call);
      case 'ran':
        return mayRunAgain(job, progress.ran) && consumeRetry(call);
      case 'done':
      case 'stop':
        return false;
    }
  }

  const isOpen = ({deadlineAtMs, cancellation}: RelayJob) =>
    clock.nowMs() < deadlineAtMs && !cancellation.isCancelled;

  /** Once all upstreams have been tried, they may be chosen again. */
  async function waitToPlaceAgain({job, progress}: PlainCall) {
    const {tried} = progress;
    if (!slots.hasOther(job.service.name, tried)) tried.clear();
    const untilDeadlineMs = leftMs(job.deadlineAtMs, clock.nowMs());
    await new Promise<void>(resolve => {
      clock.setTimer(Math.min(PLACE_AGAIN_MS, untilDeadlineMs), resolve);
      job.cancellation.onCancel(resolve);
    });
    return isOpen(job);
  }

  /** The same, once there is a retry. */
  async function mayPlaceAgain(call: PlainCall): Promise<boolean> {
    const {service, request} = call.job;
    while (await waitToPlaceAgain(call)) {
      if (await retryBudget.tryTake(service.name, request.requestId))
        return true;
    }
    return false;
  }

  /** Undefined if the route allows no other run. */
  function toPrepareNext(
    {job, progress}: PlainCall,
    {upstream}: Slot,
  ): PlainAttempt['prepareNext'] {
    const ranWith = () => new Set([...progress.ran, upstream.id]);
    if (!mayRunAgain(job, ranWith())) return undefined;
    return async cancellation => {
      const ran = ranWith();
      // Attempts that were started meanwhile count, too.
      if (!mayRunAgain(job, ran)) return undefined;
      const need = toNeed(job);
      const {avoid} = selectUpstreams(job, ran, need);
      const onRan = (upstreamId: string) => void progress.ran.add(upstreamId);
      return nextAttempts.prepare({job, need, avoid, onRan}, cancellation);
    };
  }

  /**
   * Avoids upstreams that take no more calls for now. If there are no others,
   * the call may wait for one of them for a while.
   */
  function selectUpstreams(
    job: RelayJob,
    tried: ReadonlySet<string>,
    {waiting}: SlotNeed,
  ): UpstreamSelection {
    const {name} = job.service;
    const paused = registry.open(name).filter(({id}) => host.pausedMs(id) > 0);
    const avoid = new Set([...tried, ...paused.map(({id}) => id)]);
    if (slots.hasOther(name, avoid)) return {avoid, permitWaitMs: 0};
    const leftMs = Math.max(0, waiting.giveUpAtMs - clock.nowMs());
    return {avoid: tried, permitWaitMs: leftMs * PERMIT_WAIT_SHARE};
  }

  function maySend({job, progress}: PlainCall): boolean {
    const {sendCount, hasLeft} = progress;
    return isOpen(job) && (hasLeft || sendCount < MAX_SEND_COUNT);
  }

  /** Gets a slot; undefined if there is none for the call. */
  async function place(
    {job, progress}: PlainCall,
    need: SlotNeed,
    avoid: ReadonlySet<string>,
  ): Promise<Slot | undefined> {
    // A keeper would let the call wait for the upstreams that it avoids.
    if (!slots.hasOther(job.service.name, avoid)) return undefined;
    const slot = await slots.acquire(need, avoid, job.cancellation);
    if (slot.kind === 'refused') progress.failure = slot.error;
    return slot.kind === 'slot' ? slot : undefined;
  }

  /** Resolves to whether the caller has an answer. */
  async function runAttempts(call: PlainCall): Promise<boolean> {
    const {job, progress} = call;
    let next: NextAttempt | undefined;
    while (maySend(call)) {
      if (progress.ran.size === 0 && job.admitted.isWithdrawn()) {
        progress.failure = KEY_WITHDRAWN;
        break;
      }
      const need = toNeed(job);
      const selection = selectUpstreams(job, progress.tried, need);
      const sent = next?.sent;
      const slot = next?.slot ?? (await place(call, need, selection.avoid));
      next = undefined;
      if (!slot) {
        if (progress.hasLeft && (await waitToPlaceAgain(call))) continue;
        break;
      }
      const end = await attempts.send({
        job,
        progress,
        slot,
        permitWaitMs: selection.permitWaitMs,
        sent,
        prepareNext: toPrepareNext(call, slot),
      });
      if (end === 'done') return true;
      if (typeof end === 'object') next = end;
      else if (!(await mayContinue(call, end))) break;
    }
    next?.giveBack();
    return false;
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

  function finishUnanswered({job, progress}: PlainCall): JobOutcome {
    const {caller} = job;
    const upstreams = [...progress.ran];
    if (job.cancellation.isCancelled) return {end: 'caller-gone', upstreams};
    if (caller.hasBegun) {
      const {kind, detail} = progress.failure;
      return {end: 'cut', reason: `${kind}: ${detail}`, upstreams};
    }
    if (progress.fallback) {
      deliverCollected(caller, progress.fallback);
      const {status} = progress.fallback;
      return {end: 'answered', status, upstreams};
    }
    const hasRun = upstreams.length > 0;
    const isLate = clock.nowMs() >= job.deadlineAtMs;
    const error = toCallerError(progress.failure, hasRun, isLate);
    caller.refuse(extendRetryAfter(error, job.service.name));
    return {
      end: hasRun ? 'failed' : 'refused',
      reason: `${error.kind}: ${error.detail}`,
      upstreams,
    };
  }

  return {
    async run(job) {
      const progress: Progress = {
        ran: new Set(),
        tried: new Set(),
        sendCount: 0,
        hasLeft: false,
        failure: {
          kind: 'no-upstream',
          detail: 'No upstream is listed.',
          retryAfterMs: 500,
        },
      };
      const call: PlainCall = {job, progress};
      retryBudget.requestStarted(job.service.name);
      const isAnswered = await runAttempts(call);
      const outcome: JobOutcome = isAnswered
        ? {end: 'answered', upstreams: [...progress.ran]}
        : finishUnanswered(call);
      progress.held?.close();
      return outcome;
    },
  };
}
