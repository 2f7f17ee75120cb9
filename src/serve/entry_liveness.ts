/** Which incarnations of entries are gone, by the members in sight. */

import type {MemberChange, Membership} from '../coordination/membership.js';

const SEPARATOR = '#';

/** An entry as an owner of things, `host#incarnation`. */
export function createEntryTag(hostId: string, incarnation: number): string {
  return `${hostId}${SEPARATOR}${incarnation}`;
}

export interface SplitEntryTag {
  readonly hostId: string;
  readonly incarnation: number;
}

export function splitEntryTag(entry: string): SplitEntryTag {
  const split = entry.lastIndexOf(SEPARATOR);
  return {
    hostId: entry.slice(0, split),
    incarnation: Number(entry.slice(split + 1)),
  };
}

export interface EntryLiveness {
  /** Tag of this process. */
  selfTag(): string;
  /** False only when that incarnation is known to be gone. */
  isAlive(entry: string): boolean;
  /** Tags of the incarnations that a change shows to be gone. */
  applyChange(change: MemberChange): readonly string[];
}

export function createEntryLiveness(membership: Membership): EntryLiveness {
  return {
    selfTag() {
      const {hostId, incarnation} = membership.self();
      return createEntryTag(hostId, incarnation);
    },
    isAlive(entry) {
      const {hostId, incarnation} = splitEntryTag(entry);
      const member = membership.get(hostId);
      // A member that was never heard of may be new: not known to be gone.
      if (!member || member.incarnation < incarnation) return true;
      if (member.incarnation > incarnation) return false;
      return member.state !== 'dead' && member.state !== 'left';
    },
    applyChange({before, member}) {
      const gone: string[] = [];
      const {hostId} = member;
      if (before && before.incarnation < member.incarnation) {
        gone.push(createEntryTag(hostId, before.incarnation));
      }
      if (member.state === 'dead' || member.state === 'left') {
        gone.push(createEntryTag(hostId, member.incarnation));
      }
      return gone;
    },
  };
}
