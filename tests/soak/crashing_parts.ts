/**
 * A fault in which a part of a prompt ends each upstream that decodes it, in
 * requests that are alike in nothing else, and the check that hosts stop such
 * requests and serve those that share their other parts.
 */

import type {CrashedPort} from '../../stand_ins/users_platform/engine_stand_in_types.js';
import type {CallKind} from './call_kinds.js';
import {
  endUpstreams,
  findLateRuns,
  restart,
  type CrashEvidence,
} from './crashing_requests.js';
import type {CrashScenario, FaultContext} from './fault_kinds.js';
import type {CallRecord} from './soak_callers.js';

export interface PartScenario extends CrashScenario {
  /** Places where the part may stand; none if it is in no request. */
  readonly places: readonly number[];
  /** How many such parts there are; 1 if absent. */
  readonly partCount?: number;
  readonly soundPerS?: number;
  /** Its requests share a part with only one in so many sound ones. */
  readonly companionOneIn?: number;
  /** Time between its requests; 0.5 to 0.7 s if absent. */
  readonly badEveryMs?: number;
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

/** Draws the shared parts of a request that holds a bad one. */
function drawBadRequest(
  {random}: FaultContext,
  {places, companionOneIn}: PartScenario,
  bad: number,
): readonly number[] {
  const [, ...mixture] = MIXTURES[random.nextInt(MIXTURES.length)];
  const parts = [0, ...(companionOneIn ? [COMPANION] : mixture)];
  parts.splice(places[random.nextInt(places.length)], 0, bad);
  return parts;
}

/** Returns the restarts of upstreams that the parts end. */
function endUpstreamsOf(
  context: FaultContext,
  {scenario, parts}: PartFault,
): ReadonlyArray<Promise<void>> {
  const {site, now} = context;
  const {kind = 'crashing-part'} = scenario;
  const restarting: Array<Promise<void>> = [];
  site.crash = {
    crashOf({parts: held, stage}) {
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
  return restarting;
}

async function sendBad(context: FaultContext, fault: PartFault) {
  const {now, random, site, callWithParts} = context;
  const {kind = 'crashing-part', places, partCount = 1} = fault.scenario;
  const index = site.partFaults.length;
  const endAtMs = now() + DURATION_MS;
  fault.badFromMs = now();
  for (let i = 0; now() < endAtMs; i++) {
    if (places.length > 0) {
      const bad = FIRST_BAD_PART + (i % partCount);
      const drawn = drawBadRequest(context, fault.scenario, bad);
      void callWithParts(
        kind,
        drawn.map(part => toPartId(index, part)),
      );
    }
    fault.badToMs = now();
    await wait(
      fault.scenario.badEveryMs ??
        MIN_INTERVAL_MS + random.nextInt(INTERVAL_SPREAD_MS),
    );
  }
}

export async function sendCrashingParts(
  context: FaultContext,
  scenario: PartScenario = drawScenario(context),
): Promise<void> {
  const {site, now} = context;
  const {places, partCount = 1, hasOtherEnds} = scenario;
  if (site.crash) return;
  const index = site.partFaults.length + 1;
  const length = places.length > 0 ? partCount : 0;
  const parts = Array.from({length}, (_, i) =>
    toPartId(index, FIRST_BAD_PART + i),
  );
  const fault = {scenario, parts, fromMs: now(), badFromMs: 0, badToMs: 0};
  site.partFaults.push(fault);
  const restarting = endUpstreamsOf(context, fault);
  let isOver = false;
  const sending = sendSound(context, scenario, () => isOver);
  await wait(LEAD_MS);
  await Promise.all([
    sendBad(context, fault),
    hasOtherEnds && endUpstreams(context, now() + DURATION_MS),
  ]);
  isOver = true;
  await sending;
  await wait(MAX_STREAM_MS);
  site.crash = undefined;
  await Promise.all(restarting);
}

export interface PartEvidence extends CrashEvidence {
  readonly partFaults: readonly PartFault[];
}

function countServed(records: readonly CallRecord[]) {
  const served = records.filter(
    ({status, isCut}) => status === 200 && !isCut,
  ).length;
  const count = records.length;
  return {count, share: served / count, text: `${served} of ${count}`};
}

/** Returns what a part did, and what it violated. */
function measurePart(evidence: PartEvidence, fault: PartFault, part: string) {
  const crashes = evidence.crashes.filter(each => each.part === part);
  const last = crashes[MAX_CRASHES - 1] ?? crashes.at(-1);
  const stopAtMs = (last?.atMs ?? Infinity) + CONTACT_MS;
  const late = findLateRuns(evidence, stopAtMs, ({parts}) =>
    parts.includes(part),
  );
  const runs = late.filter(({stage}) => stage !== 'prefill');
  const requestCount = new Set(runs.map(({requestId}) => requestId)).size;
  const promptCount = late.length - runs.length;
  const sound = evidence.records.filter(
    ({kind, sharedParts, sentAtMs}) =>
      sharedParts &&
      !kind.startsWith('crashing') &&
      fault.fromMs <= sentAtMs &&
      sentAtMs <= fault.badToMs,
  );
  const before = countServed(
    sound.filter(({sentAtMs}) => sentAtMs < fault.badFromMs - MAX_STREAM_MS),
  );
  const after = countServed(
    sound.filter(({sentAtMs}) => sentAtMs > stopAtMs + CONTACT_MS),
  );
  const {minCompared = 0} = fault.scenario;
  const broken = [
    requestCount > MAX_LATE && 'its requests are not stopped',
    promptCount > MAX_LATE && 'its prompts are not stopped',
    minCompared > 0 && crashes.length === 0 && 'it crashed nothing',
    Math.min(before.count, after.count) < minCompared &&
      'too few sound requests to compare',
    minCompared > 0 &&
      after.share < SERVED_SHARE * before.share &&
      'sound requests are not served',
  ].filter(each => each !== false);
  const text =
    `part ${part}: ${crashes.length} upstreams ended; late: ${requestCount} ` +
    `requests in ${runs.length} runs, ${promptCount} prompts; sound ones ` +
    `served: ${before.text} before, ${after.text} after`;
  return {broken, text};
}

function measureParts(evidence: PartEvidence) {
  return evidence.partFaults.flatMap(fault =>
    fault.parts.map(part => measurePart(evidence, fault, part)),
  );
}

/** Returns one line for each part of prompts that crashes upstreams. */
export function describeParts(evidence: PartEvidence): readonly string[] {
  return measureParts(evidence).map(({text}) => text);
}

/** Returns one line for each part that violated a guarantee. */
export function findUnstoppedParts(evidence: PartEvidence): readonly string[] {
  return measureParts(evidence)
    .filter(({broken}) => broken.length > 0)
    .map(({broken, text}) => `${broken.join(', ')}; ${text}`);
}
