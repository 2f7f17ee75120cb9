/** Determines from the membership who should own a shard or partition. */

import {isUsable} from '../coordination/member_records.js';
import type {Membership} from '../coordination/membership.js';
import {
  createOwnership,
  rankOwners,
  type OwnershipChange,
} from '../coordination/ownership.js';
import type {Clock} from '../ports/clock.js';

export interface Owners {
  /** The member that should own `key`; undefined without members. */
  ownerOf(key: string, failureDomain?: string): string | undefined;
  /** The member that would own `key` if its owner left. */
  successorOf(key: string): string | undefined;
  /** Must be called when the members change. */
  refresh(): void;
  /** Changes of owners according to this host's membership; newest last. */
  history(): readonly OwnershipChange[];
}

/**
 * Creates a lookup of owners. Owners are looked up for each request, and each
 * computation hashes every member, so results are cached until members change.
 */
export function createOwners(clock: Clock, membership: Membership): Owners {
  const cachedOwners = new Map<string, string | undefined>();
  const getCandidates = () => membership.members().filter(isUsable);
  const ownership = createOwnership({
    clock,
    candidates: getCandidates,
  });
  return {
    ownerOf(key, failureDomain) {
      const cacheKey = `${key} ${failureDomain ?? ''}`;
      if (cachedOwners.has(cacheKey)) return cachedOwners.get(cacheKey);
      ownership.watch(key, failureDomain);
      ownership.refresh();
      const owner = ownership.ownerOf(key, failureDomain);
      cachedOwners.set(cacheKey, owner);
      return owner;
    },
    successorOf(key) {
      // The second result of `ownersOf` would be in another failure domain.
      const owner = ownership.ownerOf(key);
      const others = getCandidates().filter(({hostId}) => hostId !== owner);
      return rankOwners(others, {key, count: 1}).at(0)?.hostId;
    },
    refresh() {
      cachedOwners.clear();
      ownership.refresh();
    },
    history: () => ownership.history(),
  };
}
