/**
 * Whether a request fits on a decode engine, and which engines it should get.
 * Pure; answers the load in which decode memory binds and prefill is light.
 */

import type {EngineTraits} from '../../core/routing_types.js';
import type {DecodeLoad, EngineBooks} from './engine_books.js';
import type {Upstream} from '../../core/upstream.js';

/** Tokens that a request needs at a decode engine. */
export interface TokenNeed {
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
}

/**
 * Runs end at different times, so that the growth still to come is never all
 * there at once. With ages spread evenly half of it would be; the rest is
 * margin for forecasts that are too short.
 */
const GROWTH_AT_ONCE = 0.6;
/** Engines count memory in blocks; some of each run's last block is lost. */
export const USABLE_SHARE = 0.97;
/** A transfer between failure domains takes twice as long: some 4 ms more. */
const AWAY_PREFILL_TOKENS = 150;

/** Tokens that are free for one more request, by forecast. */
export function freeTokens(load: DecodeLoad, traits: EngineTraits): number {
  if (load.runs >= traits.slots) return 0;
  const growth = load.tokensAtEnd - load.tokensNow;
  const planned = load.tokensNow + GROWTH_AT_ONCE * growth;
  return traits.kvTokens * USABLE_SHARE - planned;
}

/** Tokens that a request takes of `freeTokens`. */
export function plannedTokens(need: TokenNeed): number {
  return need.promptTokens + GROWTH_AT_ONCE * need.expectedOutputTokens;
}

/** How many such requests fit on these engines together. */
export function countRoom(
  engines: readonly Upstream[],
  books: EngineBooks,
  traits: EngineTraits,
  need: TokenNeed,
): number {
  const each = Math.max(1, plannedTokens(need));
  let count = 0;
  for (const {id} of engines) {
    const free = freeTokens(books.decodeLoad(id), traits);
    count += Math.max(0, Math.floor(free / each));
  }
  return count;
}

/** Prompts that may join the backlogs before all are too long. */
export function countPrefillRoom(
  engines: readonly Upstream[],
  books: EngineBooks,
  maxBacklogTokens: number,
): number {
  // Without a prefill engine the decode engines read the prompts.
  if (engines.length === 0) return Number.POSITIVE_INFINITY;
  let count = 0;
  for (const {id} of engines) {
    const {tokens, prompts} = books.prefillLoad(id);
    const meanTokens = prompts > 0 ? tokens / prompts : maxBacklogTokens / 4;
    const left = Math.max(0, maxBacklogTokens - tokens);
    count += Math.ceil(left / Math.max(1, meanTokens));
  }
  return count;
}

/**
 * The decode engine with most room, if the request fits there and leaves
 * `spareTokens` free.
 */
export function pickDecode(
  engines: readonly Upstream[],
  books: EngineBooks,
  traits: EngineTraits,
  need: TokenNeed,
  spareTokens = 0,
): Upstream | undefined {
  let best: Upstream | undefined;
  let bestFree = plannedTokens(need) + spareTokens;
  for (const engine of engines) {
    const free = freeTokens(books.decodeLoad(engine.id), traits);
    if (free < bestFree) continue;
    best = engine;
    bestFree = free;
  }
  return best;
}

/** The prefill engine that will be done first, and its backlog in tokens. */
export function pickPrefill(
  engines: readonly Upstream[],
  books: EngineBooks,
  decode: Upstream,
): {readonly engine: Upstream; readonly backlogTokens: number} | undefined {
  let best: Upstream | undefined;
  let bestTokens = Number.POSITIVE_INFINITY;
  for (const engine of engines) {
    const {tokens} = books.prefillLoad(engine.id);
    const isAway = engine.failureDomain !== decode.failureDomain;
    const cost = tokens + (isAway ? AWAY_PREFILL_TOKENS : 0);
    if (cost >= bestTokens) continue;
    best = engine;
    bestTokens = cost;
  }
  return best && {engine: best, backlogTokens: bestTokens};
}
