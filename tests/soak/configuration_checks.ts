/** Checks that hosts handle requests by a recent configuration. */

import type {DisruptedSpan} from './fault_kinds.js';
import type {CallRecord} from './soak_callers.js';
import type {SoakUpstream, WrittenConfiguration} from './soak_site.js';

/** A version is in force at each host this long after its acknowledgement. */
export const CONFIG_MS = 2_000;
/** A host is in touch if it was not disrupted for so long. */
const CONTACT_MS = 3_000;
/** Requests sent so soon after a version was seen may miss it. */
const ROLLBACK_SLACK_MS = 250;
/** For a host that was suspended. */
const SUSPENDED_SLACK_FACTOR = 8;
const STATUS_UNKNOWN_ROUTE = 404;
const STATUS_OK = 200;

export interface ConfigurationEvidence {
  readonly records: readonly CallRecord[];
  readonly upstreams: ReadonlyArray<Pick<SoakUpstream, 'standIn'>>;
  readonly disruptions: readonly DisruptedSpan[];
  /** The oldest first. */
  readonly configurations: readonly WrittenConfiguration[];
}

/** A request for a route that only some versions have, and its first run. */
interface RouteCall {
  readonly record: CallRecord;
  readonly route: string;
  readonly ranAtMs?: number;
}

function findRouteCalls(evidence: ConfigurationEvidence): readonly RouteCall[] {
  const firstRuns = new Map<string, number>();
  for (const {standIn} of evidence.upstreams) {
    for (const {requestId, startedAtMs} of standIn.runs) {
      const earlierMs = firstRuns.get(requestId) ?? Infinity;
      firstRuns.set(requestId, Math.min(startedAtMs, earlierMs));
    }
  }
  return evidence.records.flatMap(record => {
    const {id, route} = record;
    return route ? [{record, route, ranAtMs: firstRuns.get(id)}] : [];
  });
}

/** Whether only versions older than this one allow how it was handled. */
function isHandledByOlder(
  {record, route, ranAtMs}: RouteCall,
  version: number,
  configurations: readonly WrittenConfiguration[],
): boolean {
  const {status, endedAtMs = Infinity} = record;
  const wasRun = ranAtMs !== undefined || status === STATUS_OK;
  if (!wasRun && status !== STATUS_UNKNOWN_ROUTE) return false;
  return configurations
    .filter(each => each.version >= version && each.sentAtMs <= endedAtMs)
    .every(({routes}) => routes.includes(route) !== wasRun);
}

/**
 * The time from the acknowledgement of the oldest version that its host should
 * have had until the request was sent; 0 if its host had all versions.
 */
function findLatenessMs(
  call: RouteCall,
  configurations: readonly WrittenConfiguration[],
): number {
  const {sentAtMs} = call.record;
  const missed = configurations.find(
    ({version, acknowledgedAtMs}) =>
      acknowledgedAtMs < sentAtMs &&
      isHandledByOlder(call, version, configurations),
  );
  return missed ? sentAtMs - missed.acknowledgedAtMs : 0;
}

function isNear(span: DisruptedSpan, {hostId, sentAtMs}: CallRecord): boolean {
  return (
    span.hostId === hostId &&
    span.fromMs <= sentAtMs &&
    sentAtMs <= span.toMs + CONTACT_MS
  );
}

function describe({record, route, ranAtMs}: RouteCall): string {
  const {id, hostId, status} = record;
  const how = ranAtMs === undefined ? `got ${status}` : 'was run';
  return `${id}: ${hostId}, route ${route} ${how}`;
}

function findLate(
  calls: readonly RouteCall[],
  {disruptions, configurations}: ConfigurationEvidence,
): readonly string[] {
  return calls.flatMap(call => {
    const latenessMs = findLatenessMs(call, configurations);
    const isDisrupted = () =>
      disruptions.some(span => isNear(span, call.record));
    if (latenessMs <= CONFIG_MS || isDisrupted()) return [];
    return [`${describe(call)} ${Math.round(latenessMs)} ms after the change`];
  });
}

/** When each version was first seen in effect, by incarnation of a host. */
function findEffects(
  calls: readonly RouteCall[],
  configurations: readonly WrittenConfiguration[],
): ReadonlyMap<number, ReadonlyMap<number, number>> {
  const effects = new Map<number, Map<number, number>>();
  for (const {record, route, ranAtMs} of calls) {
    const first = configurations.find(({routes}) => routes.includes(route));
    const {processId} = record;
    if (ranAtMs === undefined || !first || !processId) continue;
    const own = effects.get(processId) ?? new Map<number, number>();
    effects.set(processId, own);
    const earlierMs = own.get(first.version) ?? Infinity;
    own.set(first.version, Math.min(ranAtMs, earlierMs));
  }
  return effects;
}

function findRegressions(
  calls: readonly RouteCall[],
  {disruptions, configurations}: ConfigurationEvidence,
): readonly string[] {
  const effects = findEffects(calls, configurations);
  return calls.flatMap(call => {
    const {record} = call;
    const isSuspended = disruptions.some(
      span => span.isOfProcess && !span.isPlanned && isNear(span, record),
    );
    const factor = isSuspended ? SUSPENDED_SLACK_FACTOR : 1;
    const seenUntilMs = record.sentAtMs - factor * ROLLBACK_SLACK_MS;
    const regressed = [...(effects.get(record.processId ?? 0) ?? [])].find(
      ([version, seenAtMs]) =>
        seenAtMs < seenUntilMs &&
        isHandledByOlder(call, version, configurations),
    );
    if (!regressed) return [];
    const [version, seenAtMs] = regressed;
    const sinceMs = Math.round(record.sentAtMs - seenAtMs);
    return [`${describe(call)} ${sinceMs} ms after version ${version} was`];
  });
}

/** Returns one line for each request handled by too old a configuration. */
export function findOldConfigurations(
  evidence: ConfigurationEvidence,
): readonly string[] {
  const calls = findRouteCalls(evidence);
  return [...findLate(calls, evidence), ...findRegressions(calls, evidence)];
}

/** Describes how soon the hosts in touch had each version. */
export function describeConfigurations(
  evidence: ConfigurationEvidence,
): readonly string[] {
  const {disruptions, configurations} = evidence;
  const calls = findRouteCalls(evidence);
  if (calls.length === 0) return [];
  const inTouch = calls.filter(
    ({record}) => !disruptions.some(span => isNear(span, record)),
  );
  const slowestMs = Math.max(
    0,
    ...inTouch.map(call => findLatenessMs(call, configurations)),
  );
  return [
    `configurations: ${configurations.length} versions, ${calls.length} requests, ` +
      `${inTouch.length} at hosts in touch, slowest after ${Math.round(slowestMs)} ms`,
  ];
}
