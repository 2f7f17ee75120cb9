/** Which member should own a shard or a partition, by the members in sight. */

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
  /** The member that would own `key` without its owner. */
  successorOf(key: string): string | undefined;
  /** To be called when members change. */
  refresh(): void;
  /** Who owned what and when, by this host's view; newest last. */
  history(): readonly OwnershipChange[];
}

/**
 * Owners are looked up for each request, and working one out costs a hash for
 * each member, so they are kept until the members change.
 */
export function createOwners(clock: Clock, membership: Membership): Owners {
  const known = new Map<string, string | undefined>();
  const getCandidates = () => membership.members().filter(isUsable);
  const ownership = createOwnership({
    clock,
    candidates: getCandidates,
  });
  return {
    ownerOf(key, failureDomain) {
      const text = `${key} ${failureDomain ?? ''}`;
      if (known.has(text)) return known.get(text);
      ownership.watch(key, failureDomain);
      ownership.refresh();
      const owner = ownership.ownerOf(key, failureDomain);
      known.set(text, owner);
      return owner;
    },
    successorOf(key) {
      // Not the second of `ownersOf`: that one stands in another failure domain.
      const owner = ownership.ownerOf(key);
      const others = getCandidates().filter(({hostId}) => hostId !== owner);
      return rankOwners(others, {key, count: 1}).at(0)?.hostId;
    },
    refresh() {
      known.clear();
      ownership.refresh();
    },
    history: () => ownership.history(),
  };
}
