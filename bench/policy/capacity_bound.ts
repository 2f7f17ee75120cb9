/**
 * Upper bound on the request rate that the engines can serve, computed from
 * mean demands, and the split into prefill and decode engines that maximizes
 * it. Goodput is compared with this bound.
 */

import {createSeededRandom} from '../../src/core/seeded_random.js';
import {ENGINE} from './engine_fakes.js';
import {drawAnswerTokens, drawPromptTokens, type Shape} from './workload.js';

export interface Capacity {
  readonly prefillEngines: number;
  readonly decodeEngines: number;
  /** Memory of one decode engine: slightly more than a full batch needs. */
  readonly decodeKvBytes: number;
  /** Requests per second that each resource could serve by itself. */
  readonly byPrefill: number;
  readonly bySlots: number;
  readonly byMemory: number;
  readonly byLinks: number;
  /** The lowest of the four rates. */
  readonly ratePerSecond: number;
}

const SAMPLES = 200_000;
const SAMPLE_SEED = 4711;
/** Memory of a decode engine relative to a full batch of mean requests. */
const MEMORY_FACTOR = 1.2;
const MS_PER_SECOND = 1_000;

interface Means {
  readonly prefillMs: number;
  readonly holdMs: number;
  readonly kvBytes: number;
  /** KV bytes multiplied by the time for which they stay reserved. */
  readonly kvBytesMs: number;
  readonly promptKvBytes: number;
}

/** Step time of a full batch, on which the capacity is based. */
const FULL_STEP_MS =
  ENGINE.stepBaseMs + ENGINE.stepPerRequestMs * ENGINE.decodeSlots;

function measureMeans(shape: Shape): Means {
  const random = createSeededRandom(SAMPLE_SEED);
  let prefillMs = 0;
  let holdMs = 0;
  let kvBytes = 0;
  let kvBytesMs = 0;
  let promptKvBytes = 0;
  for (let i = 0; i < SAMPLES; i++) {
    const prompt = drawPromptTokens(shape, random);
    const answer = drawAnswerTokens(shape, random);
    const promptBytes = prompt * ENGINE.kvBytesPerToken;
    const transferMs = promptBytes / ENGINE.linkBytesPerMs;
    const held = transferMs + answer * FULL_STEP_MS;
    const bytes = (prompt + shape.maxTokens) * ENGINE.kvBytesPerToken;
    prefillMs += ENGINE.prefillOverheadMs + prompt / ENGINE.prefillTokensPerMs;
    holdMs += held;
    kvBytes += bytes;
    kvBytesMs += bytes * held;
    promptKvBytes += promptBytes;
  }
  return {
    prefillMs: prefillMs / SAMPLES,
    holdMs: holdMs / SAMPLES,
    kvBytes: kvBytes / SAMPLES,
    kvBytesMs: kvBytesMs / SAMPLES,
    promptKvBytes: promptKvBytes / SAMPLES,
  };
}

function capacityOfSplit(
  means: Means,
  prefillEngines: number,
  decodeEngines: number,
): Capacity {
  const decodeKvBytes = ENGINE.decodeSlots * means.kvBytes * MEMORY_FACTOR;
  const byPrefill = (prefillEngines * MS_PER_SECOND) / means.prefillMs;
  const bySlots =
    (decodeEngines * ENGINE.decodeSlots * MS_PER_SECOND) / means.holdMs;
  const byMemory =
    (decodeEngines * decodeKvBytes * MS_PER_SECOND) / means.kvBytesMs;
  const byLinks =
    (Math.min(prefillEngines, decodeEngines) *
      ENGINE.linkBytesPerMs *
      MS_PER_SECOND) /
    means.promptKvBytes;
  return {
    prefillEngines,
    decodeEngines,
    decodeKvBytes,
    byPrefill,
    bySlots,
    byMemory,
    byLinks,
    ratePerSecond: Math.min(byPrefill, bySlots, byMemory, byLinks),
  };
}

/** All splits of the shape's engines, by ascending number of prefill engines. */
export function listSplits(shape: Shape): readonly Capacity[] {
  const means = measureMeans(shape);
  const result: Capacity[] = [];
  for (let prefill = 1; prefill < shape.engines; prefill++) {
    if (prefill % (shape.prefillStep ?? 1) !== 0) continue;
    result.push(capacityOfSplit(means, prefill, shape.engines - prefill));
  }
  return result;
}

const bestSplitByShape = new Map<string, Capacity>();

export function bestSplit(shape: Shape): Capacity {
  const key = `${shape.name}/${shape.engines}`;
  let best = bestSplitByShape.get(key);
  if (!best) {
    best = listSplits(shape).reduce((a, b) =>
      b.ratePerSecond > a.ratePerSecond ? b : a,
    );
    bestSplitByShape.set(key, best);
  }
  return best;
}
