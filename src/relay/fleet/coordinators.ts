/**
 * Selects the coordinators: the hosts that receive the state of all others and
 * distribute the list of members.
 *
 * Each host computes them from the members it knows. The order depends only on
 * host ids, so hosts that know the same members agree.
 */

import {hashText} from '../../core/hash_text.js';
import type {HostState} from './members.js';

/** Two may fail at once, and the third still informs all others. */
const COORDINATOR_COUNT = 3;
/**
 * Up to this many hosts form a full mesh, in which no host depends on another
 * for its information. At this size the traffic is negligible.
 */
const MAX_MESH_HOSTS = 16;

/** A host that may become a coordinator. */
export interface CoordinatorCandidate {
  readonly hostId: string;
  readonly state: HostState;
}

/** Whether this number of hosts, this one included, forms a full mesh. */
export function isMeshSize(hostCount: number): boolean {
  return hostCount <= MAX_MESH_HOSTS;
}

/**
 * The order in which hosts take on work for others. The first ones coordinate
 * and read the store, and the first ones of a group place requests for it, so
 * that few hosts need the latest state at once.
 */
export function rankHost(hostId: string): number {
  return hashText(`placer|${hostId}`);
}

/** Caches the rank of each host, as ranks are looked up very often. */
export function createHostRanks(): (hostId: string) => number {
  const ranks = new Map<string, number>();
  return hostId => {
    const rank = ranks.get(hostId) ?? rankHost(hostId);
    ranks.set(hostId, rank);
    return rank;
  };
}

/**
 * The first hosts by rank that are not leaving. Hosts that do not respond to
 * this host are skipped, even if others still consider them alive.
 */
export function chooseCoordinators(
  hosts: readonly CoordinatorCandidate[],
  rankOf: (hostId: string) => number,
  isResponsive: (hostId: string) => boolean,
): readonly string[] {
  return hosts
    .filter(({hostId, state}) => state !== 'leaving' && isResponsive(hostId))
    .map(({hostId}) => ({hostId, rank: rankOf(hostId)}))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, COORDINATOR_COUNT)
    .map(({hostId}) => hostId);
}
