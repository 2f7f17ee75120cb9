/**
 * Checks the guarantees of a soak against the records of callers and upstreams.
 */

import {findIgnoredSignals} from './backpressure_checks.js';
import {isStreamKind} from './call_kinds.js';
import {findOldConfigurations} from './configuration_checks.js';
import {findUnstoppedParts, type PartFault} from './crashing_parts.js';
import {findUnstoppedCrashes} from './crashing_requests.js';
import {findPauseViolations} from './engine_pause_checks.js';
import {
  findLostTakeUps,
  findMixedVersions,
  withoutVersions,
} from './engine_versions.js';
import {findUnservedCuts, type HostCut} from './host_cuts.js';
import {
  findUnansweredRequests,
  wasHeldByUpstreams,
  wasHeldUp,
} from './leaving_checks.js';
import type {ChildExit} from './relay_child.js';
import type {CallRecord} from './soak_callers.js';
import type {DisruptedSpan} from './fault_kinds.js';
import {
  LEAVE_GRACE_MS,
  STREAM_EVENTS,
  type RecordedCrash,
  type SoakUpstream,
  type WrittenConfiguration,
} from './soak_site.js';

export interface ExitedProcess {
  readonly hostId: string;
  readonly end: ChildExit;
  /**
   * When it received SIGTERM, and when it exited; by SIGKILL if it outlived its
   * grace.
   */
  readonly fromMs: number;
  readonly toMs: number;
}

export interface SoakEvidence {
  readonly records: readonly CallRecord[];
  readonly upstreams: readonly SoakUpstream[];
  readonly crashes: readonly RecordedCrash[];
  readonly partFaults: readonly PartFault[];
  readonly disruptions: readonly DisruptedSpan[];
  readonly cuts: readonly HostCut[];
  /** Disturbances of the store and of the hosts' links to it. */
  readonly storeDisruptions: readonly DisruptedSpan[];
  readonly configurations: readonly WrittenConfiguration[];
  /** Additional retries per service. */
  readonly retrySlack: number;
  /** Exits of processes that received SIGTERM. */
  readonly left: readonly ExitedProcess[];
}

/** Statuses that guarantee that the request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const SINGLE_RUN_KINDS: ReadonlySet<string> = new Set(['once', 'stream']);
const MAX_RUNS = 2;
export const EXIT_REQUESTS_ABORTED = 1;
/** Hosts stop sending new work to a draining upstream within this time. */
const DRAIN_MS = 2_000;
/** Allows for delays on a busy machine; the bound itself is 2 s. */
const DRAIN_SLACK_MS = 500;
/** Bounds apply again to a disrupted host after this time. */
const RECOVERY_MS = 3_000;

function countRuns(
  upstreams: readonly SoakUpstream[],
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const {standIn} of upstreams) {
    for (const {requestId, stage} of standIn.runs) {
      if (stage === 'prefill') continue;
      counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
    }
  }
  return counts;
}

function buildCompleteStream(): string {
  return Array.from(
    {length: STREAM_EVENTS},
    (_, i) => `id: ${i + 1}\ndata: token-${i + 1}\n\n`,
  ).join('');
}

const COMPLETE_STREAM = buildCompleteStream();

function checkBody(record: CallRecord): string | undefined {
  if (record.status !== 200) return undefined;
  const isBroken = record.isCut || record.hasDisconnected;
  if (!isStreamKind(record.kind)) {
    const isWhole = /^answer of i-\d+$/.test(record.body);
    return isWhole || isBroken ? undefined : 'an answer is incomplete';
  }
  const {bodyBefore = ''} = record.takeUp ?? {};
  const body = withoutVersions(bodyBefore + record.body);
  if (!COMPLETE_STREAM.startsWith(body)) {
    return 'a stream has a gap, a repeat or bytes of another stream';
  }
  const isWhole = body === COMPLETE_STREAM;
  return isWhole || isBroken
    ? undefined
    : 'an incomplete stream ended as if it were complete';
}

function checkRuns(record: CallRecord, runs: number): string | undefined {
  if (runs > 0 && NOT_RUN_STATUSES.has(record.status ?? 0)) {
    return `status ${record.status} means that it has not run, but it ran`;
  }
  const maxRuns = SINGLE_RUN_KINDS.has(record.kind) ? 1 : MAX_RUNS;
  return runs > maxRuns ? `ran ${runs} times` : undefined;
}

function checkDraining(
  upstream: SoakUpstream,
  byId: ReadonlyMap<string, CallRecord>,
  disruptions: readonly DisruptedSpan[],
): readonly string[] {
  const {drainingSinceMs, standIn} = upstream;
  if (drainingSinceMs === undefined) return [];
  const boundMs = drainingSinceMs + DRAIN_MS + DRAIN_SLACK_MS;
  const late = standIn.runs
    .map(({requestId}) => byId.get(requestId))
    .filter((record): record is CallRecord => record !== undefined)
    .filter(({sentAtMs, hostId}) => {
      const isCalm = !disruptions.some(
        span =>
          span.hostId === hostId &&
          span.fromMs <= sentAtMs &&
          sentAtMs <= span.toMs + RECOVERY_MS,
      );
      return sentAtMs > boundMs && isCalm;
    });
  return late.map(
    ({id, hostId, sentAtMs}) =>
      `${id}: ${hostId} sent it to the draining upstream ${standIn.id} ` +
      `${Math.round(sentAtMs - drainingSinceMs)} ms after it began to drain`,
  );
}

function wasCutOff(
  {hostId, fromMs, toMs}: ExitedProcess,
  cuts: readonly HostCut[],
): boolean {
  return cuts.some(
    cut =>
      cut.hostIds.has(hostId) &&
      cut.fromMs < toMs &&
      fromMs < cut.toMs + RECOVERY_MS,
  );
}

function toSpans(cuts: readonly HostCut[]): readonly DisruptedSpan[] {
  return cuts.flatMap(({hostIds, fromMs, toMs}) =>
    [...hostIds].map(hostId => ({hostId, fromMs, toMs, isOfProcess: false})),
  );
}

/** All spans in which a host is not held to the bound of configurations. */
export function withAllDisruptions(evidence: SoakEvidence): SoakEvidence {
  const {disruptions, cuts, storeDisruptions} = evidence;
  return {
    ...evidence,
    disruptions: [...disruptions, ...toSpans(cuts), ...storeDisruptions],
  };
}

/** Returns one line for each violated guarantee. */
export function findViolations(evidence: SoakEvidence): readonly string[] {
  const {records, upstreams, disruptions, left} = evidence;
  const runs = countRuns(upstreams);
  const byId = new Map(records.map(record => [record.id, record]));
  const violations: string[] = [];
  for (const record of records) {
    const faults = [
      checkBody(record),
      checkRuns(record, runs.get(record.id) ?? 0),
    ];
    for (const fault of faults) {
      if (fault) violations.push(`${record.id} (${record.kind}): ${fault}`);
    }
  }
  for (const id of runs.keys()) {
    if (!byId.has(id)) violations.push(`${id}: ran, but no caller sent it`);
  }
  for (const upstream of upstreams) {
    violations.push(...checkDraining(upstream, byId, disruptions));
  }
  violations.push(...findIgnoredSignals(upstreams, byId, disruptions));
  violations.push(...findOldConfigurations(withAllDisruptions(evidence)));
  violations.push(...findUnstoppedCrashes(evidence));
  violations.push(...findUnstoppedParts(evidence));
  violations.push(...findUnservedCuts(records, evidence.cuts, disruptions));
  violations.push(...findPauseViolations(evidence));
  violations.push(...findMixedVersions(records));
  violations.push(
    ...findLostTakeUps(records, [...disruptions, ...toSpans(evidence.cuts)]),
  );
  violations.push(
    ...findUnansweredRequests(records, upstreams, left, disruptions),
  );
  for (const exit of left) {
    const {hostId, end} = exit;
    // Requests on links that hang may not end in time.
    if (end.code === 0 || wasCutOff(exit, evidence.cuts)) continue;
    if (end.signal === 'SIGKILL' && wasHeldUp(exit, disruptions)) continue;
    const isAbort = end.code === EXIT_REQUESTS_ABORTED;
    if (
      isAbort &&
      wasHeldByUpstreams(exit, records, upstreams, LEAVE_GRACE_MS)
    ) {
      continue;
    }
    violations.push(
      `${hostId}: exited with code ${end.code}, signal ${end.signal} after SIGTERM`,
    );
  }
  return violations;
}
