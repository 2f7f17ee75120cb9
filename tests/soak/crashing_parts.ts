/**
 * A fault in which a part of a prompt ends each upstream that decodes it, in
 * requests that are alike in nothing else, and the check that hosts stop such
 * requests and serve those that share their other parts.
 */

import type {
  CrashedPort,
  EngineRun,
} from '../../stand_ins/users_platform/engine_stand_in_types.js';
import type {CallKind} from './call_kinds.js';
import {
  endUpstreams,
  restart,
  type CrashEvidence,
} from './crashing_requests.js';
import type {CrashScenario, FaultContext} from './fault_kinds.js';
import type {CallRecord} from './soak_callers.js';

export interface PartScenario extends CrashScenario {
  /** Places where the part may stand; none if it is in no request. */
  readonly places: readonly number[];
  /** How many shared parts its requests have; 2 if absent. */
  readonly sharedCount?: number;
  /** How many such parts there are; 1 if absent. */
  readonly partCount?: number;
  readonly soundPerS?: number;
  /** Its requests share a part with only one in so many sound ones. */
  readonly companionOneIn?: number;
  /** Upstreams end for other reasons as well. */
  readonly hasOtherEnds?: boolean;
  /** Fewest sound requests before and after to compare; absent to skip it. */
  readonly minCompared?: number;
}

export interface PartFault {
  readonly scenario: PartScenario;
  readonly parts: readonly string[];
  readonly fromMs: number;
  /** When the first request with such a part was sent, and the last one. */
  badFromMs: number;
  badToMs: number;
}

const PORTS: readonly CrashedPort[] = ['closed', 'resetting', 'silent'];
/** Shared parts of sound requests after the first one. */
const MIXTURES = [[1], [2], [1, 3], [4], [2, 5]];
const SOUND_PER_S = 30;
const LEAD_MS = 4_000;
const DURATION_MS = 14_000;
const MIN_INTERVAL_MS = 500;
const INTERVAL_SPREAD_MS = 200;
/** Hosts stop requests with the part this long after its fifth crash. */
const CONTACT_MS = 3_000;
const MAX_CRASHES = 5;
const MAX_LATE = 3;
const SERVED_SHARE = 0.5;
const MAX_STREAM_MS = 1_000;

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

function drawScenario({random}: FaultContext): PartScenario {
  return {
    kind: random.nextInt(3) === 0 ? 'crashing-part-once' : 'crashing-part',
    port: PORTS[random.nextInt(PORTS.length)],
    answersFirst: random.nextInt(2) === 0,
    places: [0, 1, 2].slice(random.nextInt(2)),
    sharedCount: 3,
    partCount: 1 + random.nextInt(2),
  };
}

/** Ids of shared parts, which differ in all faults of a site. */
const toPartId = (fault: number, part: number) =>
  (0xa_0000 + fault * 0x100 + part).toString(16);
const FIRST_BAD_PART = 0x80;
const COMPANION = 0x40;

async function sendSound(
  context: FaultContext,
  scenario: PartScenario,
  isOver: () => boolean,
): Promise<void> {
  const {soundPerS = SOUND_PER_S, companionOneIn = 0, kind} = scenario;
  const {partFaults} = context.site;
  const fault = partFaults.length;
  const soundKind: CallKind =
    kind === 'crashing-part-once' ? 'stream' : 'resumable';
  for (let i = 1; !isOver(); i++) {
    const hasCompanion = companionOneIn > 0 && i % companionOneIn === 0;
    const mixture = hasCompanion ? [COMPANION] : MIXTURES[i % MIXTURES.length];
    const parts = [0, ...mixture].map(each => toPartId(fault, each));
    void context.callWithParts(soundKind, parts);
    await wait(1_000 / soundPerS);
  }
}

function drawBadParts(
  {random}: FaultContext,
  scenario: PartScenario,
  bad: number,
): readonly number[] {
  const {places, sharedCount = 2, companionOneIn} = scenario;
  const mixture = MIXTURES[random.nextInt(MIXTURES.length)];
  const others = [0, ...(companionOneIn ? [COMPANION] : mixture), 6, 7];
  const parts = others.slice(0, sharedCount - 1);
  parts.splice(places[random.nextInt(places.length)], 0, bad);
  return parts;
}

export async function sendCrashingParts(
  context: FaultContext,
  scenario: PartScenario = drawScenario(context),
): Promise<void> {
  const {site, now, random} = context;
  const {kind = 'crashing-part', places, partCount = 1} = scenario;
  if (site.crash) return;
  const index = site.partFaults.length + 1;
  const toId = (part: number) => toPartId(index, part);
  const badParts = Array.from(
    {length: partCount},
    (_, i) => FIRST_BAD_PART + i,
  );
  const parts = badParts.map(toId);
  const fault: PartFault = {
    scenario,
    parts,
    fromMs: now(),
    badFromMs: Infinity,
    badToMs: 0,
  };
  site.partFaults.push(fault);
  const restarting: Array<Promise<void>> = [];
  site.crash = {
    crashOf({parts: held, stage}: EngineRun) {
      const part = held.find(each => parts.includes(each));
      if (part === undefined || stage === 'prefill') return undefined;
      site.crashes.push({kind, atMs: now(), part});
      return scenario;
    },
    onCrash(upstream) {
      if (upstream.state === 'gone') return;
      restarting.push(restart(context, upstream, scenario));
    },
  };
  let isOver = false;
  const sending = sendSound(context, scenario, () => isOver);
  await wait(LEAD_MS);
  fault.badFromMs = now();
  const endAtMs = now() + DURATION_MS;
  if (scenario.hasOtherEnds) restarting.push(endUpstreams(context, endAtMs));
  for (let i = 0; now() < endAtMs; i++) {
    if (places.length > 0) {
      const bad = badParts[i % badParts.length];
      const drawn = drawBadParts(context, scenario, bad);
      void context.callWithParts(kind, drawn.map(toId));
      fault.badToMs = now();
    }
    await wait(MIN_INTERVAL_MS + random.nextInt(INTERVAL_SPREAD_MS));
  }
  isOver = true;
  await sending;
  await wait(MAX_STREAM_MS);
  site.crash = undefined;
  await Promise.all(restarting);
}

export interface PartEvidence extends CrashEvidence {
  readonly partFaults: readonly PartFault[];
}

interface Service {
  readonly count: number;
  readonly served: number;
}

function measureService(records: readonly CallRecord[]): Service {
  const served = records.filter(
    ({status, isCut}) => status === 200 && !isCut,
  ).length;
  return {count: records.length, served};
}

const shareOf = ({count, served}: Service) => served / count;

/** Returns runs with the part after the time by hosts without disruptions. */
function findLateRuns(
  {records, upstreams, disruptions}: PartEvidence,
  part: string,
  fromMs: number,
): readonly EngineRun[] {
  const hostIds = new Map(records.map(({id, hostId}) => [id, hostId]));
  return upstreams
    .flatMap(({standIn}) => standIn.runs)
    .filter(({requestId, parts, startedAtMs}) => {
      const isExcused = disruptions.some(
        span =>
          span.hostId === hostIds.get(requestId) &&
          span.fromMs <= startedAtMs &&
          startedAtMs <= span.toMs + CONTACT_MS,
      );
      return parts.includes(part) && startedAtMs > fromMs && !isExcused;
    });
}

function measurePart(evidence: PartEvidence, fault: PartFault, part: string) {
  const crashes = evidence.crashes.filter(each => each.part === part);
  const last = crashes[MAX_CRASHES - 1] ?? crashes.at(-1);
  const stopAtMs = (last?.atMs ?? Infinity) + CONTACT_MS;
  const late = findLateRuns(evidence, part, stopAtMs);
  const runs = late.filter(({stage}) => stage !== 'prefill');
  const sound = evidence.records.filter(
    ({kind, sharedParts, sentAtMs}) =>
      sharedParts &&
      !kind.startsWith('crashing') &&
      fault.fromMs <= sentAtMs &&
      sentAtMs <= fault.badToMs,
  );
  return {
    part,
    crashes: crashes.length,
    lateRuns: runs.length,
    lateRequests: new Set(runs.map(({requestId}) => requestId)).size,
    latePrompts: late.length - runs.length,
    before: measureService(
      sound.filter(({sentAtMs}) => sentAtMs < fault.badFromMs - MAX_STREAM_MS),
    ),
    after: measureService(
      sound.filter(({sentAtMs}) => sentAtMs > stopAtMs + CONTACT_MS),
    ),
  };
}

type PartMeasure = ReturnType<typeof measurePart>;

function measureParts(evidence: PartEvidence) {
  return evidence.partFaults.flatMap(fault => {
    const {places, minCompared} = fault.scenario;
    const parts = places.length > 0 ? fault.parts : [];
    return parts.map(part => ({
      ...measurePart(evidence, fault, part),
      minCompared,
    }));
  });
}

function formatMeasure(measure: PartMeasure): string {
  const {part, crashes, lateRuns, lateRequests, latePrompts} = measure;
  const {before, after} = measure;
  return (
    `part ${part}: ${crashes} upstreams ended; late: ${lateRequests} requests ` +
    `in ${lateRuns} runs, ${latePrompts} prompts; sound ones served: ` +
    `${before.served} of ${before.count} before, ` +
    `${after.served} of ${after.count} after`
  );
}

/** Returns one line for each part that crashed upstreams. */
export function describeParts(evidence: PartEvidence): readonly string[] {
  return measureParts(evidence).map(formatMeasure);
}

/** Returns one line for each violated guarantee. */
export function findUnstoppedParts(evidence: PartEvidence): readonly string[] {
  return measureParts(evidence).flatMap(measure => {
    const {crashes, lateRequests, latePrompts, before, after} = measure;
    const {minCompared} = measure;
    const isCompared = minCompared !== undefined;
    const faults = [
      isCompared && crashes === 0 && 'it crashed nothing',
      lateRequests > MAX_LATE && 'its requests are not stopped',
      latePrompts > MAX_LATE && 'its prompts are not stopped',
      isCompared &&
        Math.min(before.count, after.count) < minCompared &&
        'too few sound requests to compare',
      isCompared &&
        shareOf(after) < SERVED_SHARE * shareOf(before) &&
        'sound requests are not served',
    ];
    return faults
      .filter(fault => fault !== false)
      .map(fault => `${fault}; ${formatMeasure(measure)}`);
  });
}
