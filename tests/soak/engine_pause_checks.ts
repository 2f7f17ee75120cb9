/**
 * Checks that no request is lost to a pause of its engine or works at two
 * engines at once, and that streams leave connections that are silent for good.
 */

import type {
  EngineRun,
  EngineStandIn,
} from '../../stand_ins/users_platform/engine_stand_in_types.js';
import {stageOf} from './engine_versions.js';
import type {DisruptedSpan} from './fault_kinds.js';
import type {HostCut} from './host_cuts.js';
import type {CallRecord} from './soak_callers.js';
import type {FaultProxy} from './fault_proxy.js';
import type {SoakUpstream} from './soak_site.js';

/** What the checks read of an upstream. */
export interface PausedUpstream extends Pick<
  SoakUpstream,
  'service' | 'state' | 'pauses' | 'downtimes' | 'goneSinceMs'
> {
  readonly standIn: Pick<
    EngineStandIn,
    'id' | 'version' | 'runs' | 'arrivals' | 'row'
  >;
  readonly link: Pick<FaultProxy, 'disturbances'>;
}

export interface PauseEvidence {
  readonly records: readonly CallRecord[];
  readonly upstreams: readonly PausedUpstream[];
  readonly disruptions: readonly DisruptedSpan[];
  readonly cuts: readonly HostCut[];
  /** Additional retries per service. */
  readonly retrySlack: number;
}

interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

interface RunAt {
  readonly run: EngineRun;
  readonly upstream: PausedUpstream;
}

interface History {
  readonly record: CallRecord;
  readonly endedAtMs: number;
  /** All runs, oldest first. */
  readonly all: readonly RunAt[];
  /** Without those that only read the prompt. */
  readonly runs: readonly RunAt[];
}

/** With so many, no retry is denied. */
export const AMPLE_RETRIES = 100_000;
/** A host ends requests this long after an engine with them has crashed. */
const CRASH_REPORTED_MS = 500;
/** A host is in touch again this long after a disruption. */
const CONTACT_MS = 3_000;
/** By the users' rules. */
const MAX_AT_TWO_MS = 400;
const MAX_SILENCE_MS = 3_500;
const SLOTS = 8;
const OWN_UNAVAILABLE = 503;
const SERVER_ERROR = 500;
const NO_RETRY_DETAIL = 'The retries of the service are used up.';

const overlaps = (span: Span, {fromMs, toMs}: Span) =>
  span.fromMs <= toMs && fromMs <= span.toMs;
const isAmong = (spans: readonly Span[], span: Span) =>
  spans.some(each => overlaps(each, span));

function toHistories({records, upstreams}: PauseEvidence): readonly History[] {
  const byId = new Map<string, RunAt[]>();
  for (const upstream of upstreams) {
    for (const run of upstream.standIn.runs) {
      const known = byId.get(run.requestId) ?? [];
      byId.set(run.requestId, [...known, {run, upstream}]);
    }
  }
  return records
    .filter(({kind}) => !kind.startsWith('crashing'))
    .map(record => {
      const all = (byId.get(record.id) ?? []).sort(
        (a, b) => a.run.startedAtMs - b.run.startedAtMs,
      );
      const runs = all.filter(({run}) => run.stage !== 'prefill');
      return {record, endedAtMs: record.endedAtMs ?? Infinity, all, runs};
    });
}

/** Whether the host was stopped or started, or cut off from upstreams. */
function isHostDisrupted(
  {disruptions, cuts}: PauseEvidence,
  hostId: string,
  {fromMs, toMs}: Span,
): boolean {
  const span = {fromMs: fromMs - CONTACT_MS, toMs};
  return (
    disruptions.some(
      each =>
        each.isOfProcess && each.hostId === hostId && overlaps(each, span),
    ) || cuts.some(each => each.hostIds.has(hostId) && overlaps(each, span))
  );
}

/** Whether a request to the upstream may have been lost on its way. */
const mayLoseRequests = (
  {link, goneSinceMs = Infinity}: PausedUpstream,
  span: Span,
) =>
  link.disturbances.some(
    ({fromMs, toMs}) =>
      fromMs < toMs &&
      overlaps({fromMs, toMs: Math.min(toMs, goneSinceMs)}, span),
  );

/**
 * Whether a request that ended then may have been at it when it crashed, or sent
 * to its port before the next instance.
 */
const wasDownBefore = ({downtimes}: PausedUpstream, endedAtMs: number) =>
  downtimes.some(
    ({fromMs, toMs}) =>
      fromMs <= endedAtMs && endedAtMs - toMs <= CRASH_REPORTED_MS,
  );

/**
 * Whether a request failed since its next send got no retry in time, after an
 * engine to which it may have been sent had crashed.
 */
function failedForRetries(
  {body, sentAtMs}: CallRecord,
  {downtimes}: PausedUpstream,
  endedAtMs: number,
): boolean {
  return (
    body.includes(NO_RETRY_DETAIL) &&
    downtimes.some(({fromMs}) => sentAtMs <= fromMs && fromMs <= endedAtMs)
  );
}

function isLost({status = 0, body, isCut, hasDisconnected}: CallRecord) {
  const isOwnError =
    status >= SERVER_ERROR &&
    status !== OWN_UNAVAILABLE &&
    body !== 'own failure';
  return (isCut && !hasDisconnected) || isOwnError;
}

/** Whether the request ended for another reason than a pause. */
function hasOtherCause(
  evidence: PauseEvidence,
  {record, endedAtMs, all, runs}: History,
): boolean {
  const {hostId, sentAtMs, deadlineMs} = record;
  if (endedAtMs - sentAtMs >= deadlineMs) return true;
  if (isHostDisrupted(evidence, hostId, {fromMs: sentAtMs, toMs: endedAtMs})) {
    return true;
  }
  const last = runs.filter(({run}) => run.startedAtMs <= endedAtMs).at(-1);
  const {brokenOffAtMs, silencedAtMs} = last?.run ?? {};
  if (brokenOffAtMs !== undefined || silencedAtMs !== undefined) return true;
  const span = {fromMs: last?.run.startedAtMs ?? sentAtMs, toMs: endedAtMs};
  const [{upstream}] = all;
  return (
    all.some(each => isAmong(each.upstream.link.disturbances, span)) ||
    evidence.upstreams.some(
      each =>
        each.service === upstream.service &&
        (mayLoseRequests(each, span) ||
          wasDownBefore(each, endedAtMs) ||
          failedForRetries(record, each, endedAtMs)),
    )
  );
}

/** Requests that were cut or failed while an engine of theirs stood still. */
function findLost(
  evidence: PauseEvidence,
  histories: readonly History[],
): readonly string[] {
  return histories.flatMap(history => {
    const {record, endedAtMs, all} = history;
    if (!isLost(record)) return [];
    const {id, kind, hostId, status, sentAtMs} = record;
    const span = {fromMs: sentAtMs, toMs: endedAtMs};
    const paused = all
      .filter(each => isAmong(each.upstream.pauses, span))
      .at(-1);
    if (!paused || hasOtherCause(evidence, history)) return [];
    const afterMs = Math.round(endedAtMs - sentAtMs);
    return [
      `${id} (${kind}): ${hostId} ended it with ${status ?? 'no answer'} after ` +
        `${afterMs} ms, though its engine ${paused.upstream.standIn.id} only paused`,
    ];
  });
}

/**
 * By the time left to the deadline, which each send states. An engine that has
 * paused begins what was sent to it earlier after an engine that has not.
 */
function compareSent({run: a}: RunAt, {run: b}: RunAt): number {
  const leftMs = ({headers}: EngineRun) => Number(headers['x-deadline-ms']);
  return leftMs(b) - leftMs(a) || a.startedAtMs - b.startedAtMs;
}

/** Streams of which one run sent events after the next had begun. */
function findAtTwoEngines(
  evidence: PauseEvidence,
  histories: readonly History[],
): readonly string[] {
  return histories.flatMap(({record: {id, kind, hostId}, runs}) => {
    // The others had been left before their engines read them.
    const begun = runs
      .filter(({run}) => run.disconnectedAtMs !== run.startedAtMs)
      .sort(compareSent);
    return begun.flatMap(({run, upstream}, i) => {
      const {startedAtMs: fromMs, lastEventAtMs: toMs = 0} = run;
      const next = begun.at(i + 1);
      const tooLongMs = next ? toMs - next.run.startedAtMs : 0;
      if (!next || tooLongMs <= MAX_AT_TWO_MS) return [];
      const span = {fromMs, toMs};
      const isExcused =
        isHostDisrupted(evidence, hostId, span) ||
        isAmong(upstream.link.disturbances, span);
      return isExcused
        ? []
        : [
            `${id} (${kind}): ${upstream.standIn.id} still worked on it ` +
              `${Math.round(tooLongMs)} ms after ${next.upstream.standIn.id} began`,
          ];
    });
  });
}

function countOpenRuns({standIn}: PausedUpstream, atMs: number): number {
  return standIn.runs.filter(run => {
    const endMs = run.disconnectedAtMs ?? run.lastEventAtMs ?? Infinity;
    return run.startedAtMs <= atMs && atMs < endMs;
  }).length;
}

/** Whether the upstream served, and reached its hosts, all the while. */
function isSound(upstream: PausedUpstream, span: Span): boolean {
  const {state, standIn, pauses, link} = upstream;
  const first = standIn.runs.at(0);
  return (
    state === 'ready' &&
    first !== undefined &&
    first.startedAtMs < span.fromMs &&
    !isAmong(pauses, span) &&
    !isAmong(link.disturbances, span)
  );
}

/** Whether another engine could go on with the stream. */
function hasRoomElsewhere(
  {upstreams}: PauseEvidence,
  {record}: History,
  {upstream}: RunAt,
  span: Span,
): boolean {
  const {service, standIn} = upstream;
  const others = upstreams.filter(
    each => each.service === service && each !== upstream,
  );
  const sound = others.filter(each => isSound(each, span));
  const isOfRequest = ({requestId}: {readonly requestId: string}) =>
    requestId === record.id;
  const wasRefused = others.some(
    each =>
      each.standIn.arrivals.some(isOfRequest) &&
      !each.standIn.runs.some(isOfRequest),
  );
  return (
    !wasRefused &&
    sound.some(each => stageOf(each) === 'prefill') &&
    sound.some(
      each =>
        stageOf(each) === 'decode' &&
        each.standIn.version === standIn.version &&
        countOpenRuns(each, span.fromMs) < SLOTS,
    )
  );
}

/** Streams that may be resumed and stayed on a connection silent for good. */
function findHeld(
  evidence: PauseEvidence,
  histories: readonly History[],
): readonly string[] {
  if (evidence.retrySlack < AMPLE_RETRIES) return [];
  const resumable = histories.filter(({record}) => record.kind === 'resumable');
  return resumable.flatMap(history => {
    const {record, endedAtMs, runs} = history;
    const [first, next] = runs;
    const fromMs = first?.run.silencedAtMs;
    if (fromMs === undefined) return [];
    const leftAtMs = Math.min(
      first.run.disconnectedAtMs ?? Infinity,
      next?.run.startedAtMs ?? Infinity,
      endedAtMs,
    );
    const span = {fromMs, toMs: fromMs + MAX_SILENCE_MS};
    const isExcused =
      leftAtMs <= span.toMs ||
      isHostDisrupted(evidence, record.hostId, span) ||
      isAmong(first.upstream.pauses, span) ||
      !hasRoomElsewhere(evidence, history, first, span);
    return isExcused
      ? []
      : [
          `${record.id}: ${record.hostId} left its silent connection to ` +
            `${first.upstream.standIn.id} after ${Math.round(leftAtMs - fromMs)} ms`,
        ];
  });
}

/** Returns one line for each violated guarantee. */
export function findPauseViolations(
  evidence: PauseEvidence,
): readonly string[] {
  const histories = toHistories(evidence);
  return [
    ...findLost(evidence, histories),
    ...findAtTwoEngines(evidence, histories),
    ...findHeld(evidence, histories),
  ];
}
