/** Which hosts decide about a thing that one of them has to decide. */

import {createBoundedMap, type BoundedMap} from '../../core/bounded_map.js';
import {hashText} from '../../core/hash_text.js';

/**
 * The hosts in the order in which they own it: the same at all hosts that know
 * the same ones, and another for each key, so that none owns everything.
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
  /** Hosts that may own something; the same array until one changes. */
  candidates(): readonly string[];
}

/** Orders of this many keys are kept. */
const MOST_KEPT = 1_024;

/**
 * As `rankOwners`, worked out once for each key while the hosts are the same:
 * with a thousand hosts an order costs more than all the rest of an ask.
 */
export function createOwnerRanking(
  topic: string,
  host: OwnerRankingHost,
): (key: string) => readonly string[] {
  let rankedOf: readonly string[] | undefined;
  let orders: BoundedMap<readonly string[]> = createBoundedMap(MOST_KEPT);
  return key => {
    const candidates = host.candidates();
    if (candidates !== rankedOf) orders = createBoundedMap(MOST_KEPT);
    rankedOf = candidates;
    const order = orders.get(key) ?? rankOwners(topic, key, candidates);
    if (!orders.has(key)) orders.set(key, order);
    return order;
  };
}
