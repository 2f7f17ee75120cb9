/** Seeded open-loop arrivals that resemble the two deployments. */

import type {Random} from '../../src/ports/random.js';
import type {RequestClass} from '../../src/ports/grants.js';

export interface Shape {
  readonly name: 'tammeoja' | 'bekejel';
  readonly service: string;
  readonly domains: readonly string[];
  readonly engines: number;
  /** The number of prefill engines is a multiple of this: one per shard. */
  readonly prefillStep?: number;
  readonly wasteWeight: number;
  /** Prompt lengths are log-normal, limited on both sides. */
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

/** Tokens of a prompt that share one prefix hash. */
export const BLOCK_TOKENS = 64;
const SHARED_PREFIXES = 12;
const SHARED_PREFIX_TOKENS = 768;
const SHARED_PREFIX_SHARE = 0.4;

/** Share of each account; one account sends half of all requests. */
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
  /** Time at which the caller disconnects unless the answer is complete. */
  readonly cancelAtMs: number | undefined;
  /** How often this caller was refused before this request. */
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
  let remaining = random.nextFloat();
  for (let i = 0; i < ACCOUNT_DEMAND.length; i++) {
    remaining -= ACCOUNT_DEMAND[i];
    if (remaining < 0) return `account-${i}`;
  }
  return 'account-0';
}

/** Draws the index of a shared prefix; low ones are the most frequent. */
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

/** Draws Poisson arrivals; with the same seed every policy gets the same. */
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
