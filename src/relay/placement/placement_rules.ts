/**
 * Decides whether a request fits on a decode engine and which engines suit it
 * best. Does no I/O. Written for loads in which decode memory is the bottleneck
 * and prefill is light.
 */

import type {EngineTraits} from '../../core/routing_types.js';
import type {DecodeLoad, EngineLoads} from './engine_loads.js';
import type {SpeedFactors} from './engine_speeds.js';
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

/**
 * How many prompts can join the backlogs before all of them are too long.
 * `maxBacklogTokens` is the limit of an engine of mean speed.
 */
export function countPrefillRoom(
  engines: readonly Upstream[],
  engineLoads: EngineLoads,
  speeds: SpeedFactors,
  maxBacklogTokens: number,
): number {
  // Without prefill engines the decode engines prefill the prompts.
  if (engines.length === 0) return Number.POSITIVE_INFINITY;
  let count = 0;
  for (const {id} of engines) {
    const {tokens, prompts} = engineLoads.prefillLoad(id);
    const meanTokens = prompts > 0 ? tokens / prompts : maxBacklogTokens / 4;
    const maxTokens = maxBacklogTokens * speeds.factorOf(id);
    const left = Math.max(0, maxTokens - tokens);
    count += Math.ceil(left / Math.max(1, meanTokens));
  }
  return count;
}

/** What a choice among engines is based on. */
export interface EngineState {
  readonly loads: EngineLoads;
  readonly speeds: SpeedFactors;
}

/**
 * The decode engine with the most room, if the request fits there and leaves
 * `spareTokens` free. Weighting the room by speed fills fast engines until they
 * preempt runs, and served fewer streams on played days
 * (docs/design/engine_speeds.md).
 */
export function pickDecode(
  engines: readonly Upstream[],
  {loads}: EngineState,
  traits: EngineTraits,
  need: TokenNeed,
  spareTokens = 0,
): Upstream | undefined {
  let best: Upstream | undefined;
  let bestFree = plannedTokens(need) + spareTokens;
  for (const engine of engines) {
    const free = freeTokens(loads.decodeLoad(engine.id), traits);
    if (free < bestFree) continue;
    best = engine;
    bestFree = free;
  }
  return best;
}

/** Limits of a choice among prefill engines. */
export interface PrefillNeed {
  readonly promptTokens: number;
  readonly decode: Upstream;
  /**
   * The longest backlog, as tokens of an engine of mean speed; absent if any is
   * accepted.
   */
  readonly maxBacklogTokens?: number;
}

/**
 * The prefill engine that will finish the prompt first, among those with a
 * backlog that is short enough. Times are expressed as the tokens that an engine
 * of mean speed prefills in them.
 */
export function pickPrefill(
  engines: readonly Upstream[],
  {loads, speeds}: EngineState,
  need: PrefillNeed,
): Upstream | undefined {
  const {promptTokens, decode} = need;
  const maxTokens = need.maxBacklogTokens ?? Number.POSITIVE_INFINITY;
  let best: Upstream | undefined;
  let bestTokens = Number.POSITIVE_INFINITY;
  for (const engine of engines) {
    const factor = speeds.factorOf(engine.id);
    const isCrossDomain = engine.failureDomain !== decode.failureDomain;
    const waitTokens =
      loads.prefillLoad(engine.id).tokens / factor +
      (isCrossDomain ? CROSS_DOMAIN_PREFILL_TOKENS : 0);
    // Relative to an engine of mean speed, so that with equal speeds the prompt
    // itself does not count.
    const ownTokens = promptTokens * (1 / factor - 1);
    const endTokens = waitTokens + ownTokens;
    if (waitTokens > maxTokens || endTokens >= bestTokens) continue;
    best = engine;
    bestTokens = endTokens;
  }
  return best;
}

/** Leaves out engines that have slowed down, unless there are no others. */
export function withoutSlowed(
  engines: readonly Upstream[],
  speeds: SpeedFactors,
): readonly Upstream[] {
  if (!speeds.hasSlowed()) return engines;
  const others = engines.filter(({id}) => !speeds.isSlowed(id));
  return others.length > 0 ? others : engines;
}
