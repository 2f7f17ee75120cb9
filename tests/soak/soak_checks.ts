/** What must hold of a soak, from what callers and upstreams saw. */

import {findIgnoredAsks} from './backpressure_checks.js';
import type {ChildEnd} from './relay_child.js';
import type {CallRecord} from './soak_callers.js';
import type {HarmSpan} from './soak_faults.js';
import {STREAM_EVENTS, type SoakUpstream} from './soak_site.js';

export interface LeftProcess {
  readonly hostId: string;
  readonly end: ChildEnd;
}

export interface SoakEvidence {
  readonly records: readonly CallRecord[];
  readonly upstreams: readonly SoakUpstream[];
  readonly harm: readonly HarmSpan[];
  /** Processes that were asked to leave. */
  readonly left: readonly LeftProcess[];
}

/** Each of these promises that the request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const RUNS_ONCE: ReadonlySet<string> = new Set(['once', 'stream']);
const MOST_RUNS = 2;
/** New work for an upstream that leaves ends within this time. */
const DRAIN_MS = 2_000;
/** Real time on a busy machine; the bound itself is 2 s. */
const DRAIN_SLACK_MS = 500;
/** A harmed host is held to bounds again this long after the harm. */
const CALM_AFTER_MS = 3_000;

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

function wholeStream(): string {
  return Array.from(
    {length: STREAM_EVENTS},
    (_, i) => `id: ${i + 1}\ndata: token-${i + 1}\n\n`,
  ).join('');
}

const WHOLE_STREAM = wholeStream();

function checkBody(record: CallRecord): string | undefined {
  if (record.status !== 200) return undefined;
  const isStream = record.kind === 'stream' || record.kind === 'resumable';
  const isBroken = record.isCut || record.hasLeft;
  if (!isStream) {
    const isWhole = /^answer of i-\d+$/.test(record.body);
    return isWhole || isBroken ? undefined : 'an answer is not whole';
  }
  if (!WHOLE_STREAM.startsWith(record.body)) {
    return 'a stream has a gap, a repeat or bytes of another';
  }
  const isWhole = record.body === WHOLE_STREAM;
  return isWhole || isBroken ? undefined : 'a short stream looks whole';
}

function checkRuns(record: CallRecord, runs: number): string | undefined {
  if (runs > 0 && PROMISES.has(record.status ?? 0)) {
    return `${record.status} promised "not run", and it ran`;
  }
  const most = RUNS_ONCE.has(record.kind) ? 1 : MOST_RUNS;
  return runs > most ? `ran ${runs} times` : undefined;
}

function checkDraining(
  upstream: SoakUpstream,
  byId: ReadonlyMap<string, CallRecord>,
  harm: readonly HarmSpan[],
): readonly string[] {
  const {leftAtMs, standIn} = upstream;
  if (leftAtMs === undefined) return [];
  const boundMs = leftAtMs + DRAIN_MS + DRAIN_SLACK_MS;
  const late = standIn.runs
    .map(({requestId}) => byId.get(requestId))
    .filter((record): record is CallRecord => record !== undefined)
    .filter(({sentAtMs, hostId}) => {
      const isCalm = !harm.some(
        span =>
          span.hostId === hostId &&
          span.fromMs <= sentAtMs &&
          sentAtMs <= span.toMs + CALM_AFTER_MS,
      );
      return sentAtMs > boundMs && isCalm;
    });
  return late.map(
    ({id, hostId, sentAtMs}) =>
      `${id}: ${hostId} sent it to ${standIn.id}, which leaves, ` +
      `${Math.round(sentAtMs - leftAtMs)} ms after the news`,
  );
}

/** One line for each promise that was broken; empty when all held. */
export function findBroken(evidence: SoakEvidence): readonly string[] {
  const {records, upstreams, harm, left} = evidence;
  const runs = countRuns(upstreams);
  const byId = new Map(records.map(record => [record.id, record]));
  const broken: string[] = [];
  for (const record of records) {
    const faults = [
      checkBody(record),
      checkRuns(record, runs.get(record.id) ?? 0),
    ];
    for (const fault of faults) {
      if (fault) broken.push(`${record.id} (${record.kind}): ${fault}`);
    }
  }
  for (const id of runs.keys()) {
    if (!byId.has(id)) broken.push(`${id}: ran, and nobody sent it`);
  }
  for (const upstream of upstreams) {
    broken.push(...checkDraining(upstream, byId, harm));
  }
  broken.push(...findIgnoredAsks(upstreams, byId, harm));
  for (const {hostId, end} of left) {
    if (end.code === 0) continue;
    broken.push(`${hostId}: left with code ${end.code}, signal ${end.signal}`);
  }
  return broken;
}
