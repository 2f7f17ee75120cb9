/**
 * Shuts an entry down without breaking off requests.
 *
 * Callers cache the directory's answer, so connections and requests still
 * arrive after the entry is no longer listed. It serves those that can end
 * before the process is killed, and refuses the others, so that callers use
 * another entry. Shortly before the end it answers the requests that are still
 * open, since a closed connection does not say whether a request has run.
 */

import type {RouteKind} from '../../core/routing_types.js';
import type {RequestError} from '../../core/error_kinds.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import {leftMs, type RelayJob} from '../relay_types.js';
import type {CallDurations, RecentDurations} from './call_durations.js';

/** What is known of a request when it is decided whether it may begin. */
export interface BeginningRequest extends Pick<
  RelayJob,
  'route' | 'service' | 'deadlineAtMs'
> {
  readonly request: Pick<RelayJob['request'], 'requestId'>;
  readonly caller: Pick<RelayJob['caller'], 'isPipelined'>;
}

export interface LeavingHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly durations: Pick<CallDurations, 'recent'>;
  /**
   * Time from the signal until the process is killed. The one in force when
   * leaving begins counts.
   */
  graceMs(): number;
  /** Returns the number of requests that haven't ended. */
  openCount(): number;
  /** Of these, the number that was read whole or whose answer has begun. */
  cutCount(): number;
  lastRequestAtMs(): number;
  /** Signals that arrived before this time have been handled. */
  signalsHandledUntilMs(): number;
  /** Whether another entry takes requests. */
  hasOtherEntry(): boolean;
  /** Ends requests that wait and for which `find` returns an error. */
  refuseWaiting(
    find: (request: BeginningRequest) => RequestError | undefined,
  ): void;
  /** Answers all requests whose answer has not begun. */
  endUnanswered(notRun: RequestError): void;
  /** Called when leaving begins. */
  onLeave(): void;
}

export interface Leaving {
  /** Called once the signal is handled, `waitedMs` after it was received. */
  start(waitedMs?: number): void;
  isLeaving(): boolean;
  /** Returns an error if the request may not begin now. */
  refuse(request: BeginningRequest): RequestError | undefined;
  /** Returns an error if no request that arrives now can be answered. */
  refuseArriving(): RequestError | undefined;
  /**
   * Resolves to the number of requests that are cut. One that wasn't read whole
   * has not run, and its caller can tell.
   */
  readonly ended: Promise<number>;
}

/** Most callers refresh the directory's answer within this time. */
const MIN_LEAVE_MS = 2_500;
/**
 * After this time without a request, callers are assumed to use other entries.
 */
const QUIET_MS = 400;
const CHECK_INTERVAL_MS = 50;
/** A check this late shows that the process did not run. */
const LATE_CHECK_MS = 100;
/** Lets the process read what arrived while it did not run. */
const READ_DELAY_MS = 1;
/** Lets the process write the answers that it has just made. */
const WRITE_DELAY_MS = 5;
/** Connections are closed this long before the process is killed. */
const KILL_MARGIN_MS = 300;
/** All answers are written this long before connections are closed. */
const ANSWER_MARGIN_MS = 150;
/** A shorter grace leaves no time in which a request could end. */
export const MIN_GRACE_MS = KILL_MARGIN_MS + ANSWER_MARGIN_MS + 50;
/**
 * Until then, requests begin that may outlast the grace: most callers haven't
 * refreshed the directory's answer, and most requests end long before their
 * deadline. Later ones begin only if their deadline is before the end.
 */
const OPEN_SHARE = 3 / 8;
const MAX_OPEN_MS = 3_000;
/** Short, since a caller can connect to another entry right away. */
const OTHER_ENTRY_RETRY_MS = 20;
/** The longest delay of the signal's handler that is accounted for. */
const MAX_SIGNAL_DELAY_MS = 1_000;
/** Time from the end of a process until its successor serves. */
const RESTART_MS = 1_000;

/** How the longest recent request tells how long one may take. */
interface Reserve {
  /** How much longer one may take than the longest of many. */
  readonly factor: number;
  /** With fewer recent requests than this, longer ones are to be expected. */
  readonly manyRequests: number;
}

const CALL_RESERVE: Reserve = {factor: 2, manyRequests: 20};
/** Lengths of streams are skewed, and one that has begun can only be cut. */
const STREAM_RESERVE: Reserve = {factor: 1.2, manyRequests: 100};

const RESERVES: Readonly<Record<RouteKind, Reserve>> = {
  idempotent: CALL_RESERVE,
  'non-idempotent': CALL_RESERVE,
  stream: STREAM_RESERVE,
};

/** Times since the signal, by the grace. */
interface LeavingTimes {
  readonly graceMs: number;
  /** When connections are closed. */
  readonly closeAfterMs: number;
  /** When all answers have been written. */
  readonly answerAfterMs: number;
  /** Until when requests begin that may outlast the grace. */
  readonly openForMs: number;
}

function toTimes(graceMs: number): LeavingTimes {
  const closeAfterMs = graceMs - KILL_MARGIN_MS;
  return {
    graceMs,
    closeAfterMs,
    answerAfterMs: closeAfterMs - ANSWER_MARGIN_MS,
    openForMs: Math.min(graceMs * OPEN_SHARE, MAX_OPEN_MS),
  };
}

export function createLeaving(host: LeavingHost): Leaving {
  const {clock, log} = host;
  let times = toTimes(host.graceMs());
  let startedAtMs: number | undefined;
  /** Since when this host could read requests without a break. */
  let runningSinceMs = clock.nowMs();
  let resolveEnded: (cutCount: number) => void = () => undefined;
  const ended = new Promise<number>(resolve => {
    resolveEnded = resolve;
  });

  const sinceStartMs = () => clock.nowMs() - (startedAtMs ?? clock.nowMs());

  /** Another entry serves at once; else this one's successor does. */
  function toRefusal(): RequestError {
    return {
      kind: 'shutting-down',
      detail: 'Connect to another entry.',
      retryAfterMs: host.hasOtherEntry()
        ? OTHER_ENTRY_RETRY_MS
        : leftMs(times.graceMs, sinceStartMs()) + RESTART_MS,
    };
  }

  /** How long a request that begins now may take. */
  function toExpectedMs(
    recent: RecentDurations | undefined,
    {factor, manyRequests}: Reserve,
  ): number {
    const {answerAfterMs, openForMs} = times;
    // Such a request begins throughout the open time.
    const assumedMs = answerAfterMs - openForMs;
    if (!recent) return assumedMs;
    const longestMs = recent.longestMs * factor;
    const doubt = Math.max(1, manyRequests / recent.count);
    return Math.max(longestMs, Math.min(longestMs * doubt, assumedMs));
  }

  /** An expectation, so it only decides whether to use another entry sooner. */
  function isExpectedToEnd({route, service}: BeginningRequest): boolean {
    const recent = host.durations.recent(service.name);
    const expectedMs = toExpectedMs(recent, RESERVES[route.kind]);
    return sinceStartMs() + expectedMs <= times.answerAfterMs;
  }

  function findRefusal(beginning: BeginningRequest): RequestError | undefined {
    if (startedAtMs === undefined) return undefined;
    const latestEndAtMs = Math.max(beginning.deadlineAtMs, clock.nowMs());
    if (latestEndAtMs <= startedAtMs + times.answerAfterMs) return undefined;
    const {route, caller} = beginning;
    // A stream that is cut takes along the requests behind it; other requests
    // are answered before the end.
    const mayBeFollowed = route.kind === 'stream' && caller.isPipelined;
    const mayOutlast =
      sinceStartMs() < times.openForMs &&
      !mayBeFollowed &&
      // Without another entry, a refusal costs a caller more than the risk.
      (!host.hasOtherEntry() || isExpectedToEnd(beginning));
    return mayOutlast ? undefined : toRefusal();
  }

  function refuse(beginning: BeginningRequest): RequestError | undefined {
    const refusal = findRefusal(beginning);
    if (startedAtMs === undefined || refusal) return refusal;
    const {request, route, service, deadlineAtMs} = beginning;
    const nowMs = clock.nowMs();
    log.info('Request begins while leaving.', {
      request: request.requestId,
      route: route.name,
      service: service.name,
      afterMs: Math.round(nowMs - startedAtMs),
      restMs: Math.round(startedAtMs + times.answerAfterMs - nowMs),
      deadlineInMs: Math.round(leftMs(deadlineAtMs, nowMs)),
      ...host.durations.recent(service.name),
    });
    return undefined;
  }

  function end(): void {
    const cutRequests = host.cutCount();
    log.info('Left.', {
      openRequests: host.openCount(),
      cutRequests,
      afterMs: Math.round(sinceStartMs()),
    });
    resolveEnded(cutRequests);
  }

  function checkLater(): void {
    const dueMs = clock.nowMs() + CHECK_INTERVAL_MS;
    clock.setTimer(CHECK_INTERVAL_MS, () => {
      if (clock.nowMs() - dueMs < LATE_CHECK_MS) return check();
      runningSinceMs = clock.nowMs();
      clock.setTimer(READ_DELAY_MS, check);
    });
  }

  function check(): void {
    const nowMs = clock.nowMs();
    const sinceMs = sinceStartMs();
    if (sinceMs >= times.answerAfterMs) host.endUnanswered(toRefusal());
    else host.refuseWaiting(findRefusal);
    const quietSinceMs = Math.max(runningSinceMs, host.lastRequestAtMs());
    const isQuiet = host.openCount() === 0 && nowMs - quietSinceMs >= QUIET_MS;
    const isDone = sinceMs >= MIN_LEAVE_MS && isQuiet;
    if (isDone) end();
    else if (sinceMs >= times.closeAfterMs) clock.setTimer(WRITE_DELAY_MS, end);
    else checkLater();
  }

  /** The earliest time at which the signal may have arrived. */
  function toSignalAtMs(waitedMs: number): number {
    const receivedAtMs = clock.nowMs() - waitedMs;
    return Math.max(
      Math.min(receivedAtMs, host.signalsHandledUntilMs()),
      receivedAtMs - MAX_SIGNAL_DELAY_MS,
    );
  }

  return {
    start(waitedMs = 0) {
      if (startedAtMs !== undefined) return;
      startedAtMs = toSignalAtMs(waitedMs);
      times = toTimes(host.graceMs());
      log.info('Leaving.', {
        graceMs: times.graceMs,
        openRequests: host.openCount(),
        signalAgeMs: Math.round(sinceStartMs()),
      });
      host.onLeave();
      check();
    },
    isLeaving: () => startedAtMs !== undefined,
    refuse,
    refuseArriving: () =>
      startedAtMs !== undefined && sinceStartMs() >= times.answerAfterMs
        ? toRefusal()
        : undefined,
    ended,
  };
}
