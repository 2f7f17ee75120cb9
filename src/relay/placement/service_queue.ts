/**
 * The streams of one service that wait for engines: which starts next, which
 * are refused, and when refused callers should return. Does no I/O; the caller
 * passes the time.
 */

import type {Placement, StreamNeed} from './engine_scheduler.js';
import {plannedTokens} from './placement_rules.js';
import {
  countBefore,
  createQueueForecasts,
  type QueuedRequest,
  type QueueForecasts,
} from './queue_forecasts.js';
import {createRetrySchedule} from './retry_schedule.js';
import type {StartOrder} from './start_order.js';
import {
  forecastWaitMs,
  tokensAtEnd,
  type RunningMemory,
} from './wait_forecast.js';
import {
  compareUrgency,
  findRetryAfterMs,
  MIN_RETRY_AFTER_MS,
  spreadRetryAfterMs,
  type Waiting,
} from './wait_rules.js';

export interface ServiceQueueHost {
  readonly order: StartOrder;
  /** Requests of the service that wait at the peers. */
  waitingAtPeers(): readonly Waiting[];
  /** The runs on the engines that this host prefers. */
  runningMemory(): RunningMemory;
  /** Assumed for requests without a priority. */
  leastUrgentPriority(): number | undefined;
  isOverShare(account: string): boolean;
  onPlaced(account: string, tokens: number): void;
  /**
   * Random part of the spread of a retry time; 0 where this host alone schedules
   * the retries of all hosts.
   */
  retrySpread(): number;
  /** Places the request if room is left for `ahead` others. */
  tryPlace(need: StreamNeed, ahead: number): Placement | undefined;
}

/** Why and for how long a request was refused, with the inputs for the log. */
export interface StreamRefusal {
  readonly reason: 'on-arrival' | 'forecast' | 'time-up';
  readonly waiting: Waiting;
  /** When room is expected. */
  readonly waitMs: number;
  readonly retryAfterMs: number;
  readonly waitingHere: number;
  readonly waitingAtPeers: number;
  readonly scheduledRetries: number;
  readonly memory: RunningMemory;
}

/** The end of a wait. */
export type QueueOutcome =
  | {readonly kind: 'started'; readonly placement: Placement}
  | {readonly kind: 'refused'; readonly refusal: StreamRefusal};

/** A request in the queue. */
export interface Waiter {
  readonly need: StreamNeed;
  readonly enqueuedAtMs: number;
}

export interface EndedWait {
  readonly waiter: Waiter;
  readonly outcome: QueueOutcome;
}

export interface ServiceQueue {
  /** Decides on a new request, or queues it and returns its waiter. */
  add(
    need: StreamNeed,
    nowMs: number,
  ): QueueOutcome | {readonly kind: 'waiting'; readonly waiter: Waiter};
  /** Starts and refuses waiting requests. */
  process(nowMs: number): readonly EndedWait[];
  /** Returns false if the request no longer waits. */
  remove(waiter: Waiter): boolean;
  /** The waiting requests, in order of arrival at this host. */
  waiters(): readonly Waiter[];
  scheduledRetries(nowMs: number): number;
}

interface Queued extends QueuedRequest {
  readonly need: StreamNeed;
  readonly waiter: Waiter;
}

/**
 * A request is refused if two checks this far apart find that its turn would
 * come too late. Announcements and releases arrive in bursts of some
 * milliseconds, in which a forecast can be wrong.
 */
const REFUSAL_CONFIRM_MS = 100;
/** Waiting requests are forecast again no more often than this. */
const FORECAST_INTERVAL_MS = 50;

export function createServiceQueue(host: ServiceQueueHost): ServiceQueue {
  const {order} = host;
  const retries = createRetrySchedule();
  let waiters: readonly Waiter[] = [];
  /** Since when each check has found that the turn would come too late. */
  const hopelessSinceMs = new WeakMap<Waiter, number>();
  let forecastAtMs = Number.NEGATIVE_INFINITY;
  /** Since when the next request has waited behind more urgent ones of peers. */
  let outrankedSinceMs: number | undefined;

  /** Reads the state of each account once for all requests of a check. */
  function createWaitingReader(): (need: StreamNeed) => Waiting {
    const overShare = new Map<string, boolean>();
    const leastUrgent = host.leastUrgentPriority();
    const isOverShare = (account: string) => {
      const isOver = overShare.get(account) ?? host.isOverShare(account);
      overShare.set(account, isOver);
      return isOver;
    };
    return ({waiting, account}) => ({
      ...waiting,
      priority: waiting.priority ?? leastUrgent,
      isOverShare: account !== undefined && isOverShare(account),
    });
  }

  function readWaitingAtPeers(): readonly Waiting[] {
    const leastUrgent = host.leastUrgentPriority();
    return host
      .waitingAtPeers()
      .map(each => ({...each, priority: each.priority ?? leastUrgent}));
  }

  function sortWaiters(nowMs: number): readonly Queued[] {
    const toWaiting = createWaitingReader();
    return waiters
      .map(waiter => {
        const {need} = waiter;
        return {waiter, need, waiting: toWaiting(need)};
      })
      .sort((a, b) => order.compare(a.waiting, b.waiting, nowMs));
  }

  function remove(waiter: Waiter): boolean {
    const count = waiters.length;
    waiters = waiters.filter(each => each !== waiter);
    return waiters.length < count;
  }

  function forecastsOf(
    inOrder: readonly Queued[],
    atPeers: readonly Waiting[],
    nowMs: number,
  ): QueueForecasts {
    const memory = host.runningMemory();
    return createQueueForecasts({order, memory, inOrder, atPeers, nowMs});
  }

  /** The wait of a request behind those that come before it. */
  function forecastMs(
    request: QueuedRequest,
    inOrder: readonly Queued[],
    atPeers: readonly Waiting[],
    nowMs: number,
  ): number {
    const forecasts = forecastsOf(inOrder, atPeers, nowMs);
    for (const each of inOrder) {
      if (order.compare(each.waiting, request.waiting, nowMs) >= 0) break;
      forecasts.pass(each);
    }
    return forecasts.forecastMs(request);
  }

  /** Refuses a request and schedules the return of its caller. */
  function refuse(
    {need, waiting}: Pick<Queued, 'need' | 'waiting'>,
    reason: StreamRefusal['reason'],
    forecastedMs: number,
    sinceMs: number,
    nowMs: number,
  ): QueueOutcome {
    const memory = host.runningMemory();
    const scheduledRetries = retries.count(nowMs);
    const waitMs = retries.extendWaitMs(forecastedMs, waiting, nowMs);
    const soonestMs = Math.max(forecastedMs, MIN_RETRY_AFTER_MS);
    const callerLeftMs = need.callerLeftMs - (nowMs - sinceMs);
    const retryAfterMs = spreadRetryAfterMs(
      retries.extendWaitMs(soonestMs, waiting, nowMs),
      callerLeftMs,
      host.retrySpread(),
    );
    const nothing = {tokens: 0, requests: 0};
    retries.add({
      atMs: nowMs + retryAfterMs,
      waiting,
      durationMs: forecastWaitMs(nothing, tokensAtEnd(need), memory),
    });
    const refusal = {
      reason,
      waiting,
      waitMs,
      retryAfterMs,
      waitingHere: waiters.length,
      waitingAtPeers: host.waitingAtPeers().length,
      scheduledRetries,
      memory,
    };
    return {kind: 'refused', refusal};
  }

  function recordStart(
    need: StreamNeed,
    waiting: Waiting,
    stillWaiting: readonly Queued[],
  ): void {
    order.recordStart(
      waiting,
      stillWaiting.map(each => each.waiting),
    );
    if (need.account === undefined) return;
    host.onPlaced(need.account, plannedTokens(need));
  }

  /**
   * Counts the requests of peers that come before the next one. Each host counts
   * only its own starts, so a host whose next request waits behind more urgent
   * ones of peers takes its turn after the time that the starts of a turn take.
   */
  function countAheadAtPeers(
    {waiting}: Queued,
    atPeers: readonly Waiting[],
    isTurn: boolean,
    nowMs: number,
  ): number {
    const moreUrgent = atPeers.filter(
      each => compareUrgency(each, waiting) < 0,
    );
    const others = atPeers.filter(each => compareUrgency(each, waiting) === 0);
    const same = countBefore(order, others, waiting, nowMs);
    if (moreUrgent.length === 0) outrankedSinceMs = undefined;
    else outrankedSinceMs ??= nowMs;
    if (isTurn || outrankedSinceMs === undefined) return same;
    const {runs, meanRunMs} = host.runningMemory();
    const msPerStart = meanRunMs / Math.max(1, runs);
    const turnMs = order.startsPerTurn(1) * (same + 1) * msPerStart;
    const isDue = nowMs - outrankedSinceMs >= turnMs;
    return isDue ? same : same + moreUrgent.length;
  }

  function startNext(
    inOrder: readonly Queued[],
    atPeers: readonly Waiting[],
    nowMs: number,
  ): EndedWait | undefined {
    const index = order.findNext(inOrder.map(({waiting}) => waiting));
    const next = inOrder.at(index);
    if (!next) return undefined;
    const {waiter, need, waiting} = next;
    const ahead = countAheadAtPeers(next, atPeers, index > 0, nowMs);
    const placement = host.tryPlace(need, ahead);
    if (!placement) return undefined;
    outrankedSinceMs = undefined;
    remove(waiter);
    recordStart(
      need,
      waiting,
      inOrder.filter(each => each !== next),
    );
    return {waiter, outcome: {kind: 'started', placement}};
  }

  /**
   * Refuses requests whose turn would come too late. The first one is never
   * among them: the next run that ends may make room for it.
   */
  function refuseHopeless(
    inOrder: readonly Queued[],
    atPeers: readonly Waiting[],
    nowMs: number,
  ): readonly EndedWait[] {
    if (nowMs - forecastAtMs < FORECAST_INTERVAL_MS) return [];
    forecastAtMs = nowMs;
    const refused: EndedWait[] = [];
    const forecasts = forecastsOf(inOrder, atPeers, nowMs);
    for (const queued of inOrder) {
      const {waiter, waiting} = queued;
      const waitMs = forecasts.forecastMs(queued);
      const isHopeless =
        forecasts.hasAhead(waiting) &&
        findRetryAfterMs(waiting, waitMs, nowMs) !== undefined;
      const sinceMs = hopelessSinceMs.get(waiter) ?? nowMs;
      if (isHopeless) hopelessSinceMs.set(waiter, sinceMs);
      else hopelessSinceMs.delete(waiter);
      if (!isHopeless || nowMs - sinceMs < REFUSAL_CONFIRM_MS) {
        forecasts.pass(queued);
        continue;
      }
      remove(waiter);
      const {enqueuedAtMs} = waiter;
      const outcome = refuse(queued, 'forecast', waitMs, enqueuedAtMs, nowMs);
      refused.push({waiter, outcome});
    }
    return refused;
  }

  function refuseExpired(
    inOrder: readonly Queued[],
    atPeers: readonly Waiting[],
    nowMs: number,
  ): readonly EndedWait[] {
    return inOrder
      .filter(({need}) => nowMs > need.waiting.giveUpAtMs)
      .map(queued => {
        const {waiter} = queued;
        const {enqueuedAtMs} = waiter;
        remove(waiter);
        const waitMs = forecastMs(queued, inOrder, atPeers, nowMs);
        const outcome = refuse(queued, 'time-up', waitMs, enqueuedAtMs, nowMs);
        return {waiter, outcome};
      });
  }

  /** Requests here and at the peers that a new request leaves room for. */
  function countAhead(
    waiting: Waiting,
    inOrder: readonly Queued[],
    atPeers: readonly Waiting[],
    nowMs: number,
  ): number {
    const here = inOrder.map(each => each.waiting);
    const index = order.findNext(here);
    // A less urgent request whose turn it is comes first, too.
    const isBehindTurn =
      index > 0 && order.compare(here[index], waiting, nowMs) >= 0;
    return (
      countBefore(order, [...here, ...atPeers], waiting, nowMs) +
      Number(isBehindTurn)
    );
  }

  return {
    add(need, nowMs) {
      const waiting = createWaitingReader()(need);
      const inOrder = sortWaiters(nowMs);
      const atPeers = readWaitingAtPeers();
      const ahead = countAhead(waiting, inOrder, atPeers, nowMs);
      const placement = host.tryPlace(need, ahead);
      if (placement) {
        recordStart(need, waiting, inOrder);
        return {kind: 'started', placement};
      }
      const request = {need, waiting};
      const queueMs = forecastMs(request, inOrder, atPeers, nowMs);
      const waitMs = retries.extendWaitMs(queueMs, waiting, nowMs);
      if (findRetryAfterMs(waiting, waitMs, nowMs) !== undefined) {
        return refuse(request, 'on-arrival', queueMs, nowMs, nowMs);
      }
      const waiter: Waiter = {need, enqueuedAtMs: nowMs};
      waiters = [...waiters, waiter];
      return {kind: 'waiting', waiter};
    },
    process(nowMs) {
      const atPeers = readWaitingAtPeers();
      const all = sortWaiters(nowMs);
      const ended = [...refuseExpired(all, atPeers, nowMs)];
      const isWaiting = ({waiter}: Queued) => waiters.includes(waiter);
      let inOrder = ended.length > 0 ? all.filter(isWaiting) : all;
      for (;;) {
        const started = startNext(inOrder, atPeers, nowMs);
        if (!started) break;
        ended.push(started);
        inOrder = inOrder.filter(({waiter}) => waiter !== started.waiter);
      }
      return [...ended, ...refuseHopeless(inOrder, atPeers, nowMs)];
    },
    remove,
    waiters: () => waiters,
    scheduledRetries: retries.count,
  };
}
