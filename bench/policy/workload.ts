/** Seeded open-loop arrivals in the shapes of the two deployments. */

import type {Random} from '../../src/ports/random.js';
import type {RequestClass} from '../../src/ports/grants.js';

export interface Shape {
  readonly name: 'tammeoja' | 'bekejel';
  readonly service: string;
  readonly domains: readonly string[];
  readonly engines: number;
  /** Prefill engines come in multiples of this; one for each shard. */
  readonly prefillStep?: number;
  readonly wasteWeight: number;
  /** Prompt lengths are log-normal, cut off on both sides. */
  readonly medianPromptTokens: number;
  readonly promptSigma: number;
  readonly medianAnswerTokens: number;
  readonly answerSigma: number;
  readonly maxTokens: number;
  readonly interactiveShare: number;
  readonly ttftMs: Readonly<Record<RequestClass, number>>;
  readonly waitMs: Readonly<Record<RequestClass, number>>;
  readonly tokenIntervalMs: number;
}

export const SHAPES: Readonly<Record<Shape['name'], Shape>> = {
  tammeoja: {
    name: 'tammeoja',
    service: 'aruande-koostaja',
    domains: ['ylikool-saal', 'annelinn-saal', 'raadi-ruum', 'kontor-kelder'],
    engines: 13,
    wasteWeight: 0.8,
    medianPromptTokens: 3_000,
    promptSigma: 1,
    medianAnswerTokens: 260,
    answerSigma: 0.6,
    maxTokens: 512,
    interactiveShare: 0.3,
    ttftMs: {interactive: 4_000, patient: 15_000},
    waitMs: {interactive: 60_000, patient: 180_000},
    tokenIntervalMs: 60,
  },
  bekejel: {
    name: 'bekejel',
    service: 'brief-llm',
    domains: ['bp-angyal', 'bp-csepel', 'bp-obuda', 'bp-kobanya'],
    engines: 13,
    wasteWeight: 0.2,
    medianPromptTokens: 1_200,
    promptSigma: 1.1,
    medianAnswerTokens: 220,
    answerSigma: 0.6,
    maxTokens: 512,
    interactiveShare: 0.6,
    ttftMs: {interactive: 2_500, patient: 10_000},
    waitMs: {interactive: 45_000, patient: 120_000},
    tokenIntervalMs: 60,
  },
};

export const MIN_PROMPT_TOKENS = 30;
export const MAX_PROMPT_TOKENS = 32_000;
const MIN_ANSWER_TOKENS = 8;

/** Hash blocks of a prompt, in tokens. */
export const BLOCK_TOKENS = 64;
const SHARED_PREFIXES = 12;
const SHARED_PREFIX_TOKENS = 768;
const SHARED_PREFIX_SHARE = 0.4;

/** One account asks for half of everything; the others share the rest. */
export const ACCOUNT_DEMAND: readonly number[] = [
  0.5, 0.14, 0.12, 0.1, 0.08, 0.06,
];

export interface Arrival {
  readonly id: number;
  readonly atMs: number;
  readonly account: string;
  readonly requestClass: RequestClass;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly maxTokens: number;
  readonly prefixHashes: readonly string[];
  readonly ttftMs: number;
  readonly waitMs: number;
  /** The caller hangs up then, if the answer is not whole yet. */
  readonly cancelAtMs: number | undefined;
  /** How often this caller was refused before. */
  readonly returnCount: number;
}

export function drawNormal(random: Random): number {
  const u = Math.max(random.nextFloat(), 1e-12);
  return (
    Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * random.nextFloat())
  );
}

export function drawPromptTokens(shape: Shape, random: Random): number {
  const raw =
    shape.medianPromptTokens * Math.exp(shape.promptSigma * drawNormal(random));
  return Math.round(
    Math.min(MAX_PROMPT_TOKENS, Math.max(MIN_PROMPT_TOKENS, raw)),
  );
}

export function drawAnswerTokens(shape: Shape, random: Random): number {
  const raw =
    shape.medianAnswerTokens * Math.exp(shape.answerSigma * drawNormal(random));
  return Math.round(
    Math.min(shape.maxTokens, Math.max(MIN_ANSWER_TOKENS, raw)),
  );
}

function drawAccount(random: Random): string {
  let left = random.nextFloat();
  for (let i = 0; i < ACCOUNT_DEMAND.length; i++) {
    left -= ACCOUNT_DEMAND[i];
    if (left < 0) return `account-${i}`;
  }
  return 'account-0';
}

/** Popular prefixes come often: shares fall with the square. */
function drawPrefix(random: Random): number {
  return Math.floor(SHARED_PREFIXES * random.nextFloat() ** 2);
}

function makeHashes(id: number, tokens: number, random: Random): string[] {
  const blocks = Math.floor(tokens / BLOCK_TOKENS);
  const isShared =
    random.nextFloat() < SHARED_PREFIX_SHARE && tokens > SHARED_PREFIX_TOKENS;
  const prefix = drawPrefix(random);
  const sharedBlocks = isShared ? SHARED_PREFIX_TOKENS / BLOCK_TOKENS : 0;
  const hashes: string[] = [];
  for (let i = 0; i < blocks; i++) {
    hashes.push(i < sharedBlocks ? `shared-${prefix}-${i}` : `own-${id}-${i}`);
  }
  return hashes;
}

export interface ArrivalPlan {
  readonly shape: Shape;
  readonly ratePerSecond: number;
  readonly durationMs: number;
  readonly cancelShare: number;
}

/** Poisson arrivals; the same seed gives the same list to every policy. */
export function drawArrivals(plan: ArrivalPlan, random: Random): Arrival[] {
  const {shape} = plan;
  const arrivals: Arrival[] = [];
  let atMs = 0;
  for (let id = 0; ; id++) {
    atMs += (-1_000 * Math.log(1 - random.nextFloat())) / plan.ratePerSecond;
    if (atMs >= plan.durationMs) return arrivals;
    const isInteractive = random.nextFloat() < shape.interactiveShare;
    const requestClass = isInteractive ? 'interactive' : 'patient';
    const promptTokens = drawPromptTokens(shape, random);
    const isCancelled = random.nextFloat() < plan.cancelShare;
    const cancelAfterMs = random.nextFloat() * 20_000;
    arrivals.push({
      id,
      atMs,
      account: drawAccount(random),
      requestClass,
      promptTokens,
      answerTokens: drawAnswerTokens(shape, random),
      maxTokens: shape.maxTokens,
      prefixHashes: makeHashes(id, promptTokens, random),
      ttftMs: shape.ttftMs[requestClass],
      waitMs: shape.waitMs[requestClass],
      cancelAtMs: isCancelled ? atMs + cancelAfterMs : undefined,
      returnCount: 0,
    });
  }
}
