/**
 * The streams of one service that wait for engines: which starts next, which
 * are refused, and when refused callers should return. Does no I/O; the caller
 * passes the time.
 */

import type {Placement, StreamNeed} from './placement_types.js';
import {plannedTokens} from './placement_rules.js';
import {
  createPeersAhead,
  createQueueForecasts,
  type CompareWaiting,
  type Forecast,
  type QueuedRequest,
} from './queue_forecasts.js';
import {createRetrySchedule} from './retry_schedule.js';
import {
  forecastWaitMs,
  tokensAtEnd,
  type RunningMemory,
} from './wait_forecast.js';
import {
  findRetryAfterMs,
  MIN_RETRY_AFTER_MS,
  spreadRetryAfterMs,
  type Waiting,
} from './wait_rules.js';

export interface ServiceQueueHost {
  readonly compare: CompareWaiting;
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
  /** Whether an engine that may run the request takes new work. */
  isServed(need: StreamNeed): boolean;
  /** Places the request if room is left for `ahead` others. */
  tryPlace(need: StreamNeed, ahead: number): Placement | undefined;
}

/** Why and for how long a request was refused, with the inputs for the log. */
export interface StreamRefusal {
  readonly reason: 'on-arrival' | 'forecast' | 'time-up' | 'version-gone';
  readonly waiting: Waiting;
  /**
   * When room is expected, after the retries that are due before it; at least
   * the smallest retry time.
   */
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

interface RefusalCause {
  readonly reason: StreamRefusal['reason'];
  /** Forecast of the request, without the retries that are due before it. */
  readonly waitMs: number;
  readonly enqueuedAtMs: number;
}

/** What is read once for all requests of a check. */
interface Check {
  readonly nowMs: number;
  readonly memory: RunningMemory;
  readonly atPeers: readonly Waiting[];
}

/**
 * A request is refused if two checks this far apart, and all between them, find
 * that its turn would come too late. Announcements and releases arrive in bursts
 * of some milliseconds, in which a forecast can be wrong.
 */
const REFUSAL_CONFIRM_MS = 100;
/**
 * Limits the work at each end of a run. With a forecast at each, the shares on
 * time in a burst on 16 to 24 engines were the same to 0.004.
 */
const FORECAST_INTERVAL_MS = 50;

export function createServiceQueue(host: ServiceQueueHost): ServiceQueue {
  const {compare} = host;
  const retries = createRetrySchedule();
  const waiters = new Set<Waiter>();
  /** Since when each check has found that the turn would come too late. */
  const hopelessSinceMs = new WeakMap<Waiter, number>();
  let forecastAtMs = Number.NEGATIVE_INFINITY;

  /** Reads the state of each account once for all requests of a check. */
  function createWaitingReader(): (need: StreamNeed) => Waiting {
    const overShare = new Map<string, boolean>();
    const leastUrgent = host.leastUrgentPriority();
    const isOverShare = (account: string) => {
      const isOver = overShare.get(account) ?? host.isOverShare(account);
      overShare.set(account, isOver);
      return isOver;
    };
    return ({waiting, account}) =>
      // Without a spread, which takes most of the time of a check.
      ({
        arrivedAtMs: waiting.arrivedAtMs,
        onTimeUntilMs: waiting.onTimeUntilMs,
        giveUpAtMs: waiting.giveUpAtMs,
        priority: waiting.priority ?? leastUrgent,
        isOverShare: account !== undefined && isOverShare(account),
      });
  }

  function readWaitingAtPeers(): Waiting[] {
    const leastUrgent = host.leastUrgentPriority();
    return host
      .waitingAtPeers()
      .map(each => ({...each, priority: each.priority ?? leastUrgent}));
  }

  function readQueue(toWaiting: (need: StreamNeed) => Waiting): Queued[] {
    return Array.from(waiters, waiter => {
      const {need} = waiter;
      return {waiter, need, waiting: toWaiting(need)};
    });
  }

  /** Refuses a request and schedules the return of its caller. */
  function refuse(
    {need, waiting}: Pick<Queued, 'need' | 'waiting'>,
    cause: RefusalCause,
    {nowMs, memory, atPeers}: Check,
  ): QueueOutcome {
    const scheduledRetries = retries.count(nowMs);
    const soonestMs = Math.max(cause.waitMs, MIN_RETRY_AFTER_MS);
    const waitMs = retries.extendWaitMs(soonestMs, waiting, nowMs);
    const callerLeftMs = need.callerLeftMs - (nowMs - cause.enqueuedAtMs);
    const retryAfterMs = spreadRetryAfterMs(
      waitMs,
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
      reason: cause.reason,
      waiting,
      waitMs,
      retryAfterMs,
      waitingHere: waiters.size,
      waitingAtPeers: atPeers.length,
      scheduledRetries,
      memory,
    };
    return {kind: 'refused', refusal};
  }

  function recordStart({account, ...need}: StreamNeed): void {
    if (account !== undefined) host.onPlaced(account, plannedTokens(need));
  }

  /** Starts requests, in the order of service, until there is no more room. */
  function startWaiters(
    inOrder: readonly Queued[],
    atPeers: readonly Waiting[],
    nowMs: number,
  ): readonly EndedWait[] {
    const started: EndedWait[] = [];
    const peersAhead = createPeersAhead(compare, atPeers, nowMs);
    let begunAhead = 0;
    for (const {waiter, need, waiting} of inOrder) {
      if (isExpired(need, nowMs)) continue;
      const ahead = isBegun(need) ? 0 : begunAhead + peersAhead(waiting);
      const placement = host.tryPlace(need, ahead);
      if (!placement && isBegun(need)) {
        // Other versions may have room when the one of a begun stream has none.
        begunAhead++;
        continue;
      }
      if (!placement) break;
      waiters.delete(waiter);
      recordStart(need);
      started.push({waiter, outcome: {kind: 'started', placement}});
    }
    return started;
  }

  /** Whether the turn of a request comes too late, as confirmed by two checks. */
  function isHopeless(
    {waiter, waiting}: Queued,
    {waitMs, hasAhead}: Forecast,
    nowMs: number,
  ): boolean {
    // A request with none ahead is kept: the next run that ends may make room
    // for it.
    if (!hasAhead || findRetryAfterMs(waiting, waitMs, nowMs) === undefined) {
      hopelessSinceMs.delete(waiter);
      return false;
    }
    const sinceMs = hopelessSinceMs.get(waiter) ?? nowMs;
    hopelessSinceMs.set(waiter, sinceMs);
    return nowMs - sinceMs >= REFUSAL_CONFIRM_MS;
  }

  /** Refuses requests whose time is up or whose turn would come too late. */
  function refuseWaiters(
    inOrder: readonly Queued[],
    check: Check,
  ): readonly EndedWait[] {
    const {nowMs} = check;
    const isForecastDue = nowMs - forecastAtMs >= FORECAST_INTERVAL_MS;
    if (isForecastDue) forecastAtMs = nowMs;
    else if (!inOrder.some(({need}) => isExpired(need, nowMs))) return [];
    const findReason = (queued: Queued, forecast: Forecast) => {
      if (isExpired(queued.need, nowMs)) return 'time-up';
      if (isBegun(queued.need)) {
        return host.isServed(queued.need) ? undefined : 'version-gone';
      }
      const isRefused = isForecastDue && isHopeless(queued, forecast, nowMs);
      return isRefused ? 'forecast' : undefined;
    };
    const forecasts = createQueueForecasts(
      check.memory,
      createPeersAhead(compare, check.atPeers, nowMs),
    );
    const refused: EndedWait[] = [];
    for (const queued of inOrder) {
      const {waiter} = queued;
      const forecast = isBegun(queued.need)
        ? NO_FORECAST
        : forecasts.forecast(queued);
      const reason = findReason(queued, forecast);
      if (!reason) {
        forecasts.pass(queued);
        continue;
      }
      waiters.delete(waiter);
      const {waitMs} = forecast;
      const {enqueuedAtMs} = waiter;
      const outcome = refuse(queued, {reason, waitMs, enqueuedAtMs}, check);
      refused.push({waiter, outcome});
    }
    return refused;
  }

  return {
    add(need, nowMs) {
      const toWaiting = createWaitingReader();
      const waiting = toWaiting(need);
      const isAhead = (other: Waiting) => compare(other, waiting, nowMs) < 0;
      const here = readQueue(toWaiting).filter(
        each => isBegun(each.need) || isAhead(each.waiting),
      );
      const atPeers = readWaitingAtPeers();
      const requests = atPeers.filter(isAhead).length;
      const ahead = isBegun(need) ? 0 : here.length + requests;
      const placement = host.tryPlace(need, ahead);
      if (placement) {
        recordStart(need);
        return {kind: 'started', placement};
      }
      const check = {nowMs, memory: host.runningMemory(), atPeers};
      const tokens = here.reduce(
        (sum, each) => sum + tokensAtEnd(each.need),
        0,
      );
      const waitMs = forecastWaitMs(
        {tokens, requests},
        tokensAtEnd(need),
        check.memory,
      );
      const extendedMs = retries.extendWaitMs(waitMs, waiting, nowMs);
      const isLate = findRetryAfterMs(waiting, extendedMs, nowMs) !== undefined;
      if (isLate && !isBegun(need)) {
        const cause: RefusalCause = {
          reason: 'on-arrival',
          waitMs,
          enqueuedAtMs: nowMs,
        };
        return refuse({need, waiting}, cause, check);
      }
      const waiter: Waiter = {need, enqueuedAtMs: nowMs};
      waiters.add(waiter);
      return {kind: 'waiting', waiter};
    },
    process(nowMs) {
      const atPeers = readWaitingAtPeers().sort((a, b) => compare(a, b, nowMs));
      const inOrder = readQueue(createWaitingReader()).sort(
        (a, b) =>
          Number(isBegun(b.need)) - Number(isBegun(a.need)) ||
          compare(a.waiting, b.waiting, nowMs),
      );
      const started = startWaiters(inOrder, atPeers, nowMs);
      const stillWaiting = inOrder.filter(({waiter}) => waiters.has(waiter));
      const check = {nowMs, memory: host.runningMemory(), atPeers};
      return [...started, ...refuseWaiters(stillWaiting, check)];
    },
    remove: waiter => waiters.delete(waiter),
    waiters: () => [...waiters],
    scheduledRetries: retries.count,
  };
}

/** Forecasts are made for engines of all versions, and for new streams. */
const NO_FORECAST: Forecast = {waitMs: 0, hasAhead: false};

/** The caller has events of the stream, and one version can go on with it. */
const isBegun = ({version}: StreamNeed) => version !== undefined;

function isExpired({waiting}: StreamNeed, nowMs: number): boolean {
  return nowMs > waiting.giveUpAtMs;
}
