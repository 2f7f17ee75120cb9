/**
 * Which hosts hear from all others and tell them who lives.
 *
 * Each host finds them by itself, from the members that it knows. The order is
 * the same everywhere and depends on nothing but names, so that hosts agree as
 * soon as they know the same members, whatever fails meanwhile.
 */

import {hashText} from '../../core/hash_text.js';
import type {HostState} from './members.js';

/** Two may fail at once, and the third still tells all others. */
const COORDINATOR_COUNT = 3;
/**
 * Up to this many hosts each tells all others by itself: no host depends on
 * another for what it knows, and so few cost next to nothing.
 */
const FEW_HOSTS = 16;

/** A host that may coordinate. */
export interface RankedHost {
  readonly hostId: string;
  readonly state: HostState;
}

/** Whether so many hosts, this one included, all tell each other everything. */
export function isMeshOf(hostCount: number): boolean {
  return hostCount <= FEW_HOSTS;
}

/**
 * Order in which hosts take over work for all: the first ones coordinate and
 * read the store, and the first ones of a group place for it, so that few hosts
 * are told everything at once.
 */
export function rankHost(hostId: string): number {
  return hashText(`placer|${hostId}`);
}

/** Ranks of hosts, each worked out once: they are asked for all the time. */
export function createHostRanks(): (hostId: string) => number {
  const ranks = new Map<string, number>();
  return hostId => {
    const rank = ranks.get(hostId) ?? rankHost(hostId);
    ranks.set(hostId, rank);
    return rank;
  };
}

/**
 * The first by rank that are not about to leave. Those that do not answer this
 * host are passed over, though others may still take them for alive.
 */
export function chooseCoordinators(
  hosts: readonly RankedHost[],
  rankOf: (hostId: string) => number,
  isAnswering: (hostId: string) => boolean,
): readonly string[] {
  return hosts
    .filter(({hostId, state}) => state !== 'leaving' && isAnswering(hostId))
    .map(({hostId}) => ({hostId, rank: rankOf(hostId)}))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, COORDINATOR_COUNT)
    .map(({hostId}) => hostId);
}
