/**
 * Relays one call to a plain service: chooses an upstream, sends the call, and
 * decides whether to try another.
 *
 * A call that is not idempotent is sent again only if nothing was sent or the
 * upstream said that it did not run the call; so it runs at most once.
 *
 * An idempotent call whose upstream is silent is also sent to another, and gets
 * the answer that comes first. The silent attempt goes on meanwhile: there may
 * be no retry or no place for another, or the other may not run the call.
 */

import type {RequestError} from '../../core/error_kinds.js';
import type {Clock} from '../../ports/clock.js';
import type {UpstreamPort} from '../../ports/relay.js';
import {deliverCollected} from '../answers/answer_delivery.js';
import {toCallerError} from '../answers/answer_rules.js';
import type {JobOutcome} from '../job_outcome.js';
import type {RequestPriorities} from '../placement/request_priority.js';
import {KEY_WITHDRAWN, type RelayJob} from '../relay_types.js';
import type {RetryAllowance} from '../retries/shared_retries.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import {
  createAttemptRace,
  type AttemptRace,
  type RaceEntry,
} from './attempt_race.js';
import {
  createPlainAttempts,
  type AttemptEnd,
  type Progress,
} from './plain_attempt.js';
import type {SlotClient, SlotNeed} from './slot_client.js';
import {toCallWaiting} from './slot_rules.js';

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
 * Share of the time left to a call that it may wait for a place within an
 * upstream's limit. In a longer queue all waiting calls would be late.
 */
const PERMIT_WAIT_SHARE = 0.5;
/**
 * Attempts that reach no upstream cost the upstreams nothing; this limit bounds
 * their time.
 */
const MAX_SEND_COUNT = 5;

/** One call with its attempts. */
interface PlainCall {
  readonly job: RelayJob;
  readonly progress: Progress;
  readonly race: AttemptRace;
  /** A retry is being asked for, beside a silent attempt. */
  isRetryAsked: boolean;
}

interface UpstreamSelection {
  readonly avoid: ReadonlySet<string>;
  readonly permitWaitMs: number;
}

export function createPlainRelay(host: PlainRelayHost): PlainRelay {
  const {clock, slots, registry, retryBudget} = host;
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

  /** Whether the route allows another run of the call. */
  function mayRunAgain({job: {route}, progress}: PlainCall): boolean {
    return route.kind === 'idempotent' && progress.ran.size < route.maxAttempts;
  }

  /** Takes a retry from the budget, unless no other upstream is left to try. */
  async function consumeRetry(
    {service, request}: RelayJob,
    tried: ReadonlySet<string>,
  ): Promise<boolean> {
    if (!slots.hasOther(service.name, tried)) return false;
    return retryBudget.tryTake(service.name, request.requestId);
  }

  /** Whether the entry goes on after an attempt that answered nothing. */
  async function mayContinue(
    call: PlainCall,
    entry: RaceEntry,
    tried: ReadonlySet<string>,
    end: AttemptEnd,
  ): Promise<boolean> {
    // A later entry is the next attempt.
    if (end === 'stop' || !entry.isLatest()) return false;
    if (end === 'unsent') return true;
    if (end === 'ran' && !mayRunAgain(call)) return false;
    return consumeRetry(call.job, tried);
  }

  /** Runs another attempt beside one whose upstream is silent. */
  async function runBeside(call: PlainCall, entry: RaceEntry): Promise<void> {
    const {job, progress, race} = call;
    const mayRun = mayRunAgain(call) && entry.isLatest();
    if (!mayRun || call.isRetryAsked) return;
    call.isRetryAsked = true;
    const isTaken = await consumeRetry(job, progress.ran);
    call.isRetryAsked = false;
    if (!isTaken) return;
    if (entry.isLatest()) race.enter(next => runEntry(call, next, true));
    else retryBudget.giveBack(job.service.name);
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

  function maySend({job, progress}: PlainCall, entry: RaceEntry): boolean {
    if (progress.sendCount >= MAX_SEND_COUNT) return false;
    if (entry.cancellation.isCancelled) return false;
    return clock.nowMs() < job.deadlineAtMs;
  }

  /**
   * Sends the call to one upstream after another, and resolves to whether the
   * caller has an answer. A retry that was taken for it is returned if it sends
   * nothing.
   */
  async function runEntry(
    call: PlainCall,
    entry: RaceEntry,
    hasRetry: boolean,
  ): Promise<boolean> {
    const {progress} = call;
    const job = {...call.job, cancellation: entry.cancellation};
    const tried = new Set(progress.ran);
    let isRetryUnused = hasRetry;
    while (maySend(call, entry)) {
      if (progress.ran.size === 0 && job.admitted.isWithdrawn()) {
        progress.failure = KEY_WITHDRAWN;
        break;
      }
      const need = toNeed(job);
      const {avoid, permitWaitMs} = selectUpstreams(job, tried, need);
      // A keeper would let the call wait for the upstreams that it avoids.
      if (!slots.hasOther(job.service.name, avoid)) break;
      const slot = await slots.acquire(need, avoid, entry.cancellation);
      if (slot.kind === 'refused') progress.failure = slot.error;
      if (slot.kind !== 'slot') break;
      isRetryUnused = false;
      const end = await attempts.send({
        job,
        progress,
        entry,
        tried,
        slot,
        permitWaitMs,
        onSilent: () => void runBeside(call, entry),
      });
      if (end === 'done') return true;
      if (!(await mayContinue(call, entry, tried, end))) break;
    }
    if (isRetryUnused) retryBudget.giveBack(job.service.name);
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
        sendCount: 0,
        failure: {
          kind: 'no-upstream',
          detail: 'No upstream is listed.',
          retryAfterMs: 500,
        },
      };
      const race = createAttemptRace(job.cancellation);
      const call: PlainCall = {job, progress, race, isRetryAsked: false};
      retryBudget.requestStarted(job.service.name);
      race.enter(entry => runEntry(call, entry, false));
      if (!(await race.result)) return finishUnanswered(call);
      return {end: 'answered', upstreams: [...progress.ran]};
    },
  };
}
