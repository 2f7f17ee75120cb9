/**
 * Faults in which sound engines stand still for a while, or their open
 * connections fall silent for good.
 */

import {createSeededRandom} from '../../src/core/seeded_random.js';
import type {Random} from '../../src/ports/random.js';
import {AMPLE_RETRIES} from './engine_pause_checks.js';
import {stageOf} from './engine_versions.js';
import type {FaultContext, PlannedFault} from './fault_kinds.js';
import type {SoakUpstream} from './soak_site.js';

const IS_IN_GROUP = {
  service: ({service}: SoakUpstream) => service === 'drafts',
  decode: (each: SoakUpstream) => stageOf(each) === 'decode',
  prefill: (each: SoakUpstream) => stageOf(each) === 'prefill',
  plain: ({service}: SoakUpstream) => service === 'ledger',
};

export type PauseGroup = keyof typeof IS_IN_GROUP;

export interface PauseScenario {
  readonly group: PauseGroup;
  /** Whether all upstreams of the group pause, or only some. */
  readonly isWhole: boolean;
  readonly forMs: number;
  /** How many times in a row. */
  readonly rounds: number;
}

const GROUPS: readonly PauseGroup[] = [
  'service',
  'service',
  'decode',
  'decode',
  'prefill',
  'plain',
];
const MIN_PAUSE_MS = 500;
const MAX_PAUSE_MS = 4_000;
const MAX_GAP_MS = 1_000;
/** Calls begin this long before a pause, and go on as long after its start. */
const LEAD_MS = 300;
const SOME_SHARE = 0.6;

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

function drawPause(random: Random): PauseScenario {
  return {
    group: GROUPS[random.nextInt(GROUPS.length)],
    isWhole: random.nextInt(2) === 0,
    forMs: MIN_PAUSE_MS + random.nextInt(MAX_PAUSE_MS - MIN_PAUSE_MS),
    rounds: 1 + random.nextInt(2),
  };
}

/** Callers wait for longer than pauses; odd seeds deny no retries. */
export function toPauseOptions(seed: number) {
  const deadlineMs = 2 * MAX_PAUSE_MS;
  return seed % 2 === 0
    ? {deadlineMs}
    : {deadlineMs, retrySlack: AMPLE_RETRIES};
}

/** Callers draw from the random numbers of the run, in no fixed order. */
function randomOf({atMs, forMs}: PlannedFault): Random {
  const random = createSeededRandom(atMs * forMs);
  // The first numbers of all small seeds are alike.
  random.nextId();
  return random;
}

/** Chooses some of the upstreams, at least one. */
function chooseSome(
  upstreams: readonly SoakUpstream[],
  random: Random,
): readonly SoakUpstream[] {
  const count = Math.ceil(upstreams.length * SOME_SHARE);
  const first = random.nextInt(Math.max(1, upstreams.length));
  return Array.from(
    {length: count},
    (_, i) => upstreams[(first + i) % upstreams.length],
  );
}

function findServing({site}: FaultContext, group: PauseGroup) {
  return site.upstreams.filter(
    each => each.state === 'ready' && IS_IN_GROUP[group](each),
  );
}

async function pauseOnce(
  {now}: FaultContext,
  upstreams: readonly SoakUpstream[],
  forMs: number,
): Promise<void> {
  const paused = upstreams
    .filter(({pauses}) => pauses.every(({toMs}) => toMs !== Infinity))
    .map(({standIn, pauses}) => {
      const span = {fromMs: now(), toMs: Infinity};
      pauses.push(span);
      standIn.pause();
      return {standIn, span};
    });
  await wait(forMs);
  for (const {standIn, span} of paused) {
    standIn.resume();
    span.toMs = now();
  }
}

/** Pauses upstreams while all kinds of calls run. */
export async function pauseEngines(
  context: FaultContext,
  fault: PlannedFault,
): Promise<void> {
  const random = randomOf(fault);
  const drawn = drawPause(random);
  const {group, isWhole, forMs, rounds} = fault.pause ?? drawn;
  const calls: Array<Promise<unknown>> = [];
  for (let i = 0; i < rounds; i++) {
    calls.push(context.callEachHost(2 * LEAD_MS));
    await wait(LEAD_MS);
    const serving = findServing(context, group);
    const chosen = isWhole ? serving : chooseSome(serving, random);
    await pauseOnce(context, chosen, forMs);
    await wait(random.nextInt(MAX_GAP_MS));
  }
  await Promise.all(calls);
}

/** Open connections of some upstreams fall silent; new ones work. */
export async function silenceConnections(
  context: FaultContext,
  fault: PlannedFault,
): Promise<void> {
  const random = randomOf(fault);
  const group = random.nextInt(3) === 0 ? 'plain' : 'decode';
  const calls = context.callEachHost(2 * LEAD_MS);
  await wait(LEAD_MS);
  const chosen = chooseSome(findServing(context, group), random);
  for (const {standIn} of chosen) standIn.silenceConnections();
  await calls;
}
