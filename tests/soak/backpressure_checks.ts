/** Checks that hosts obey the backpressure signals of upstreams. */

import type {CallRecord} from './soak_callers.js';
import type {DisruptedSpan} from './fault_kinds.js';
import type {BackpressureSignal, SoakUpstream} from './soak_site.js';

/** A request that reached an upstream, and the host that sent it. */
interface Arrival {
  readonly hostId: string;
  readonly sentAtMs: number;
  readonly atMs: number;
  /** When its caller received the whole answer. */
  readonly endedAtMs: number;
  readonly wasAskedToRest: boolean;
}

interface UpstreamHistory {
  readonly upstream: SoakUpstream;
  readonly arrivals: readonly Arrival[];
  readonly disruptions: readonly DisruptedSpan[];
}

/** Time in which a host must act on an answer that it forwarded. */
const REACTION_MS = 500;
/** Added to each bound, for delays on a busy machine. */
const SLACK_MS = 500;
const WINDOW_MS = 4_000;
const DRAIN_MS = 2_000;
const MAX_DURING_RETRY_AFTER = 2;
const MS_PER_SECOND = 1_000;

/**
 * A host whose process stopped or started meanwhile may have lost its state.
 */
function isExcused(
  {disruptions}: UpstreamHistory,
  hostId: string,
  fromMs: number,
  toMs: number,
): boolean {
  return disruptions.some(
    span =>
      span.isOfProcess &&
      span.hostId === hostId &&
      span.fromMs <= toMs &&
      span.toMs >= fromMs,
  );
}

/** When each host first forwarded an answer given after `fromMs`. */
function findNoticeTimes(
  {arrivals}: UpstreamHistory,
  fromMs: number,
): ReadonlyMap<string, number> {
  const noticeTimes = new Map<string, number>();
  for (const {hostId, atMs, endedAtMs} of arrivals) {
    if (atMs < fromMs) continue;
    noticeTimes.set(
      hostId,
      Math.min(endedAtMs, noticeTimes.get(hostId) ?? Infinity),
    );
  }
  return noticeTimes;
}

/**
 * Arrivals sent over `afterMs` after their host was notified, and not excused.
 */
function findLateArrivals(
  history: UpstreamHistory,
  {fromMs, toMs}: BackpressureSignal,
  afterMs: number,
): readonly Arrival[] {
  const noticeTimes = findNoticeTimes(history, fromMs);
  return history.arrivals.filter(({hostId, sentAtMs, atMs}) => {
    const noticedAtMs = noticeTimes.get(hostId) ?? Infinity;
    const isLate = sentAtMs > noticedAtMs + afterMs + SLACK_MS && atMs <= toMs;
    return isLate && !isExcused(history, hostId, fromMs, atMs);
  });
}

function checkLimit(
  history: UpstreamHistory,
  signal: BackpressureSignal,
): readonly string[] {
  const times = findLateArrivals(history, signal, REACTION_MS).map(
    ({atMs}) => atMs,
  );
  const most = Math.max(
    0,
    ...times.map(
      fromMs =>
        times.filter(atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
          .length,
    ),
  );
  const perS = signal.value;
  const allowed = (1.5 * perS * WINDOW_MS) / MS_PER_SECOND + 5;
  if (most <= allowed) return [];
  return [`${most} requests in 4 s at a limit of ${perS} per second`];
}

function checkLeaving(
  history: UpstreamHistory,
  signal: BackpressureSignal,
): readonly string[] {
  return findLateArrivals(history, signal, DRAIN_MS).map(
    ({hostId}) =>
      `a request of ${hostId} after it was notified that the upstream is leaving`,
  );
}

/**
 * Each arrival that is refused starts a new `Retry-After` time. Another fault
 * may make the upstream answer meanwhile.
 */
function checkRetryAfter(
  history: UpstreamHistory,
  signal: BackpressureSignal,
): readonly string[] {
  const retryAfterMs = signal.value * MS_PER_SECOND;
  const arrivalsInSpan = history.arrivals.filter(
    ({atMs}) => atMs >= signal.fromMs && atMs <= signal.toMs,
  );
  const refused = arrivalsInSpan.filter(each => each.wasAskedToRest);
  return refused.flatMap(({hostId, atMs}) => {
    const count = arrivalsInSpan.filter(
      each =>
        each.hostId === hostId &&
        each.sentAtMs > atMs + REACTION_MS &&
        each.atMs < Math.min(atMs + retryAfterMs, signal.toMs),
    ).length;
    const isAllowed =
      count <= MAX_DURING_RETRY_AFTER ||
      isExcused(history, hostId, atMs, atMs + retryAfterMs);
    return isAllowed
      ? []
      : [`${count} requests of ${hostId} within the Retry-After time`];
  });
}

const CHECKS: Readonly<
  Record<
    BackpressureSignal['kind'],
    (history: UpstreamHistory, signal: BackpressureSignal) => readonly string[]
  >
> = {limit: checkLimit, leaving: checkLeaving, rest: checkRetryAfter};

/** Returns one line for each signal that a host ignored. */
export function findIgnoredSignals(
  upstreams: readonly SoakUpstream[],
  byId: ReadonlyMap<string, CallRecord>,
  disruptions: readonly DisruptedSpan[],
): readonly string[] {
  return upstreams.flatMap(upstream => {
    const arrivals = upstream.standIn.arrivals.flatMap(each => {
      const {requestId, atMs, wasAskedToRest} = each;
      const record = byId.get(requestId);
      if (!record) return [];
      const {hostId, sentAtMs, endedAtMs = Infinity} = record;
      return [{hostId, sentAtMs, atMs, endedAtMs, wasAskedToRest}];
    });
    const history = {upstream, arrivals, disruptions};
    return upstream.signals
      .flatMap(signal => CHECKS[signal.kind](history, signal))
      .map(fault => `${upstream.standIn.id}: ${fault}`);
  });
}
