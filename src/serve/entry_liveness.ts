/** Determines from the membership which incarnations of entries have ended. */

import type {MemberChange, Membership} from '../coordination/membership.js';

const SEPARATOR = '#';

/** Identifies one incarnation of an entry as an owner: `host#incarnation`. */
export function createEntryTag(hostId: string, incarnation: number): string {
  return `${hostId}${SEPARATOR}${incarnation}`;
}

export interface ParsedEntryTag {
  readonly hostId: string;
  readonly incarnation: number;
}

export function parseEntryTag(entry: string): ParsedEntryTag {
  const separatorIndex = entry.lastIndexOf(SEPARATOR);
  return {
    hostId: entry.slice(0, separatorIndex),
    incarnation: Number(entry.slice(separatorIndex + 1)),
  };
}

export interface EntryLiveness {
  /** Tag of this process. */
  selfTag(): string;
  /** False only if that incarnation is known to have ended. */
  isAlive(entry: string): boolean;
  /** Tags of the incarnations that have ended according to a change. */
  getGoneEntries(change: MemberChange): readonly string[];
}

export function createEntryLiveness(membership: Membership): EntryLiveness {
  return {
    selfTag() {
      const {hostId, incarnation} = membership.self();
      return createEntryTag(hostId, incarnation);
    },
    isAlive(entry) {
      const {hostId, incarnation} = parseEntryTag(entry);
      const member = membership.get(hostId);
      // An unknown member may be a new one, so it counts as alive.
      if (!member || member.incarnation < incarnation) return true;
      if (member.incarnation > incarnation) return false;
      return member.state !== 'dead' && member.state !== 'left';
    },
    getGoneEntries({before, member}) {
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
