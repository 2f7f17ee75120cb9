/** Checks what callers see of hosts that received SIGTERM. */

import type {EngineRun} from '../../stand_ins/users_platform/engine_stand_in_types.js';
import {isStreamKind} from './call_kinds.js';
import type {DisruptedSpan} from './fault_kinds.js';
import type {CallRecord} from './soak_callers.js';
import type {ExitedProcess} from './soak_checks.js';
import type {SoakUpstream} from './soak_site.js';

/** An answer takes this long from an upstream to its caller. */
const TRANSIT_MS = 50;
/** A process exits this soon after it closed its connections. */
const CLOSE_MS = 400;

function runsById(
  upstreams: readonly SoakUpstream[],
): ReadonlyMap<string, readonly EngineRun[]> {
  const byId = new Map<string, EngineRun[]>();
  for (const {standIn} of upstreams) {
    for (const run of standIn.runs) {
      const {requestId, stage} = run;
      if (stage === 'prefill') continue;
      byId.set(requestId, [...(byId.get(requestId) ?? []), run]);
    }
  }
  return byId;
}

/** Whether the caller lost its connection before a whole answer. */
const wasCut = ({isCut, hasDisconnected}: CallRecord): boolean =>
  isCut && !hasDisconnected;

/**
 * Returns one line for each request that a sound upstream ran and whose
 * connection its leaving host closed without an answer.
 */
export function findCutRequests(
  records: readonly CallRecord[],
  upstreams: readonly SoakUpstream[],
  left: readonly ExitedProcess[],
): readonly string[] {
  const runs = runsById(upstreams);
  return records.filter(wasCut).flatMap(record => {
    const {id, kind, hostId, sentAtMs, endedAtMs = Infinity} = record;
    const leaving = left.find(
      each =>
        each.hostId === hostId &&
        each.fromMs <= endedAtMs &&
        endedAtMs <= each.toMs + TRANSIT_MS,
    );
    const own = runs.get(id) ?? [];
    const isSound = own.some(({brokenOffAtMs}) => brokenOffAtMs === undefined);
    if (!leaving || !isSound) return [];
    const sinceMs = Math.round(sentAtMs - leaving.fromMs);
    const endMs = Math.round(endedAtMs - leaving.fromMs);
    return [
      `${id} (${kind}): cut by ${hostId} ${endMs} ms after its SIGTERM, sent ${sinceMs} ms after it`,
    ];
  });
}

/**
 * By the users' rules, a stream may be cut whose engine is still at work at the
 * end of the grace if it was sent within this share of the grace.
 */
export const EXCUSED_SENT_SHARE = 3 / 8;

const wasSentSoon = (
  sentAtMs: number,
  {fromMs}: ExitedProcess,
  graceMs: number,
): boolean => sentAtMs <= fromMs + EXCUSED_SENT_SHARE * graceMs;

/** The last answers are written so long before the kill. */
const ANSWER_MARGIN_MS = 450;
/** Requests may take so much longer than the longest one so far. */
const MAX_SLOW_FACTOR = 2;

/** A request that was refused because its host leaves. */
export interface LeavingRefusal {
  /**
   * Time from the earliest moment at which SIGTERM may have reached the host
   * until the request did.
   */
  readonly afterMs: number;
  /** Time from the same moment until the request was refused. */
  readonly refusedAfterMs: number;
  readonly deadlineMs: number;
  /** The longest whole answer to a request of its service until then. */
  readonly longestMs: number;
}

/**
 * Whether the request would have ended in time: by its deadline, or, in the
 * part of the grace in which requests begin that may outlast it, as recent
 * requests did.
 */
export function wasRefusedEarly(
  {afterMs, refusedAfterMs, deadlineMs, longestMs}: LeavingRefusal,
  graceMs: number,
): boolean {
  const endMs = graceMs - ANSWER_MARGIN_MS - TRANSIT_MS;
  const openUntilMs = EXCUSED_SENT_SHARE * graceMs - TRANSIT_MS;
  const isUsualInTime = afterMs + MAX_SLOW_FACTOR * longestMs < endMs;
  return (
    afterMs + deadlineMs < endMs ||
    (refusedAfterMs < openUntilMs && isUsualInTime)
  );
}

/**
 * Whether the request is a stream that has begun and was sent so soon that its
 * host may be unable to end it in time.
 */
export function mayOutlastGrace(
  {hostId, status, kind, sentAtMs}: CallRecord,
  left: readonly ExitedProcess[],
  graceMs: number,
): boolean {
  const leaving = left.find(each => each.hostId === hostId);
  return (
    isStreamKind(kind) &&
    status !== undefined &&
    leaving !== undefined &&
    wasSentSoon(sentAtMs, leaving, graceMs)
  );
}

/**
 * Whether the process aborted only streams that had begun, on connections that
 * fell silent, or soon enough at engines that stood still meanwhile.
 */
export function wasHeldByUpstreams(
  exit: ExitedProcess,
  records: readonly CallRecord[],
  upstreams: readonly SoakUpstream[],
  graceMs: number,
): boolean {
  const {hostId, fromMs, toMs} = exit;
  const aborted = records.filter(
    each =>
      each.hostId === hostId &&
      wasCut(each) &&
      (each.endedAtMs ?? 0) >= fromMs &&
      (each.endedAtMs ?? 0) <= toMs + TRANSIT_MS &&
      toMs - (each.endedAtMs ?? 0) < CLOSE_MS,
  );
  const isExcused = ({id, status, sentAtMs, endedAtMs = 0}: CallRecord) => {
    const isEarly = wasSentSoon(sentAtMs, exit, graceMs);
    const wasHeld = upstreams.some(({standIn, pauses}) => {
      const runs = standIn.runs.filter(({requestId}) => requestId === id);
      const wasPaused = pauses.some(
        pause => pause.fromMs < endedAtMs && sentAtMs < pause.toMs,
      );
      return runs.some(
        ({silencedAtMs}) =>
          silencedAtMs !== undefined || (isEarly && wasPaused),
      );
    });
    return status !== undefined && wasHeld;
  };
  return aborted.length > 0 && aborted.every(isExcused);
}

/** Whether another fault stopped the process while it was leaving. */
export function wasHeldUp(
  {hostId, fromMs, toMs}: ExitedProcess,
  disruptions: readonly DisruptedSpan[],
): boolean {
  return disruptions.some(
    span =>
      span.isOfProcess &&
      !span.isPlanned &&
      span.hostId === hostId &&
      span.fromMs < toMs &&
      fromMs < span.toMs,
  );
}

/**
 * The same for requests without the head of an answer: whatever happens to its
 * upstream, a host can answer these in words.
 */
export function findUnansweredRequests(
  records: readonly CallRecord[],
  upstreams: readonly SoakUpstream[],
  left: readonly ExitedProcess[],
  disruptions: readonly DisruptedSpan[],
): readonly string[] {
  return findCutRequests(
    records.filter(({status}) => status === undefined),
    upstreams,
    left.filter(each => !wasHeldUp(each, disruptions)),
  );
}
