/**
 * Decides whether a request fits on a decode engine and which engines suit it
 * best. Does no I/O. Written for loads in which decode memory is the bottleneck
 * and prefill is light.
 */

import type {EngineTraits} from '../../core/routing_types.js';
import type {DecodeLoad, EngineLoads} from './engine_loads.js';
import type {Upstream} from '../../core/upstream.js';

/** Tokens that a request needs on a decode engine. */
export interface TokenNeed {
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
}

/**
 * Share of the remaining output of all runs that is assumed to be in memory at
 * once. Runs end at different times, so it is never all in memory: if the ages
 * of the runs were evenly spread, it would be half. The share above half is a
 * margin for outputs that are longer than forecast.
 */
const CONCURRENT_GROWTH_SHARE = 0.6;
/**
 * Engines allocate memory in blocks, so part of each run's last block is
 * unused.
 */
export const USABLE_KV_SHARE = 0.97;
/**
 * Added to the backlog of a prefill engine in another failure domain than the
 * decode engine, because the transfer then takes twice as long, some 4 ms more.
 */
const CROSS_DOMAIN_PREFILL_TOKENS = 150;

/** Tokens that one more request may take, by forecast. */
export function freeTokens(load: DecodeLoad, traits: EngineTraits): number {
  if (load.runs >= traits.slots) return 0;
  const growth = load.tokensAtEnd - load.tokensNow;
  const planned = load.tokensNow + CONCURRENT_GROWTH_SHARE * growth;
  return traits.kvTokens * USABLE_KV_SHARE - planned;
}

/** The part of `freeTokens` that a request takes. */
export function plannedTokens(need: TokenNeed): number {
  return (
    need.promptTokens + CONCURRENT_GROWTH_SHARE * need.expectedOutputTokens
  );
}

/** How many such requests fit on these engines in total. */
export function countRoom(
  engines: readonly Upstream[],
  engineLoads: EngineLoads,
  traits: EngineTraits,
  need: TokenNeed,
): number {
  const each = Math.max(1, plannedTokens(need));
  let count = 0;
  for (const {id} of engines) {
    const free = freeTokens(engineLoads.decodeLoad(id), traits);
    count += Math.max(0, Math.floor(free / each));
  }
  return count;
}

/** How many prompts can join the backlogs before all of them are too long. */
export function countPrefillRoom(
  engines: readonly Upstream[],
  engineLoads: EngineLoads,
  maxBacklogTokens: number,
): number {
  // Without prefill engines the decode engines prefill the prompts.
  if (engines.length === 0) return Number.POSITIVE_INFINITY;
  let count = 0;
  for (const {id} of engines) {
    const {tokens, prompts} = engineLoads.prefillLoad(id);
    const meanTokens = prompts > 0 ? tokens / prompts : maxBacklogTokens / 4;
    const left = Math.max(0, maxBacklogTokens - tokens);
    count += Math.ceil(left / Math.max(1, meanTokens));
  }
  return count;
}

/**
 * The decode engine with the most room, if the request fits there and leaves
 * `spareTokens` free.
 */
export function pickDecode(
  engines: readonly Upstream[],
  engineLoads: EngineLoads,
  traits: EngineTraits,
  need: TokenNeed,
  spareTokens = 0,
): Upstream | undefined {
  let best: Upstream | undefined;
  let bestFree = plannedTokens(need) + spareTokens;
  for (const engine of engines) {
    const free = freeTokens(engineLoads.decodeLoad(engine.id), traits);
    if (free < bestFree) continue;
    best = engine;
    bestFree = free;
  }
  return best;
}

/** The prefill engine that will be done first, and its backlog in tokens. */
export function pickPrefill(
  engines: readonly Upstream[],
  engineLoads: EngineLoads,
  decode: Upstream,
): {readonly engine: Upstream; readonly backlogTokens: number} | undefined {
  let best: Upstream | undefined;
  let bestTokens = Number.POSITIVE_INFINITY;
  for (const engine of engines) {
    const {tokens} = engineLoads.prefillLoad(engine.id);
    const isCrossDomain = engine.failureDomain !== decode.failureDomain;
    const cost = tokens + (isCrossDomain ? CROSS_DOMAIN_PREFILL_TOKENS : 0);
    if (cost >= bestTokens) continue;
    best = engine;
    bestTokens = cost;
  }
  return best && {engine: best, backlogTokens: bestTokens};
}
