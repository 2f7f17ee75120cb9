/** Which member should own a shard or a partition, by the members in sight. */

import {
  hashText,
  isUsable,
  type Member,
} from '../coordination/member_records.js';
import type {Membership} from '../coordination/membership.js';

export interface Owners {
  /** The member that should own `key`; undefined without members. */
  ownerOf(key: string, failureDomain?: string): string | undefined;
}

function pickOwner(
  members: readonly Member[],
  key: string,
): Member | undefined {
  let best: Member | undefined;
  let bestScore = -1;
  for (const member of members) {
    const score = hashText(`${key} ${member.hostId}`);
    if (score > bestScore) [best, bestScore] = [member, score];
  }
  return best;
}

export function createOwners(membership: Membership): Owners {
  return {
    ownerOf(key, failureDomain) {
      const usable = membership.members().filter(isUsable);
      const near = usable.filter(
        member => member.failureDomain === failureDomain,
      );
      return pickOwner(near.length > 0 ? near : usable, key)?.hostId;
    },
  };
}
