/**
 * Chooses the host that owns a key, so that one host makes the decisions on it.
 */

import {createBoundedMap, type BoundedMap} from '../../core/bounded_map.js';
import {hashText} from '../../core/hash_text.js';

/**
 * The hosts in order of ownership of the key. All hosts with the same list get
 * the same order, and the order differs by key to spread the ownership.
 */
export function rankOwners(
  topic: string,
  key: string,
  hostIds: readonly string[],
): readonly string[] {
  return hostIds
    .map(hostId => ({hostId, rank: hashText(`${topic}|${key}|${hostId}`)}))
    .sort((a, b) => a.rank - b.rank)
    .map(({hostId}) => hostId);
}

export interface OwnerRankingHost {
  /** Hosts that may own a key; the same array until one changes. */
  candidates(): readonly string[];
}

/** Maximum number of keys whose order is cached. */
const MAX_CACHED_KEYS = 1_024;

/**
 * Like `rankOwners`, but cached by key while the candidates stay the same: with
 * a thousand hosts, computing the order costs more than the rest of a peer
 * request.
 */
export function createOwnerRanking(
  topic: string,
  host: OwnerRankingHost,
): (key: string) => readonly string[] {
  let rankedFor: readonly string[] | undefined;
  let orders: BoundedMap<readonly string[]> = createBoundedMap(MAX_CACHED_KEYS);
  return key => {
    const candidates = host.candidates();
    if (candidates !== rankedFor) orders = createBoundedMap(MAX_CACHED_KEYS);
    rankedFor = candidates;
    const order = orders.get(key) ?? rankOwners(topic, key, candidates);
    if (!orders.has(key)) orders.set(key, order);
    return order;
  };
}
