/** Which member should own a shard or a partition, by the members in sight. */

import {isUsable} from '../coordination/member_records.js';
import type {Membership} from '../coordination/membership.js';
import {
  createOwnership,
  type OwnershipChange,
} from '../coordination/ownership.js';
import type {Clock} from '../ports/clock.js';

export interface Owners {
  /** The member that should own `key`; undefined without members. */
  ownerOf(key: string, failureDomain?: string): string | undefined;
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
  const ownership = createOwnership({
    clock,
    candidates: () => membership.members().filter(isUsable),
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
    refresh() {
      known.clear();
      ownership.refresh();
    },
    history: () => ownership.history(),
  };
}
