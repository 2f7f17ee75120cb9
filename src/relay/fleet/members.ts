/** The hosts of a deployment, and the table of members that each host keeps. */

import {hashText} from '../../core/hash_text.js';

export type HostState = 'starting' | 'ready' | 'leaving';

/** The record of a live host, known to every host. */
export interface Member {
  readonly hostId: string;
  /** Differs for each start of the process. */
  readonly incarnation: string;
  /** For UDP and TCP between the hosts. */
  readonly peerAddress: string;
  readonly callerAddress: string;
  readonly failureDomain: string;
  readonly state: HostState;
  /** Whether this host's last call to the store was answered. */
  readonly isStoreReachable: boolean;
}

export type MemberChange =
  | {readonly kind: 'up'; readonly member: Member}
  | {readonly kind: 'down'; readonly hostId: string};

/** The live hosts known to one host. */
export interface MemberTable {
  /** False if the member is unchanged. */
  set(member: Member): boolean;
  delete(hostId: string): boolean;
  clear(): void;
  get(hostId: string): Member | undefined;
  /** The same array until something changes. */
  list(): readonly Member[];
  count(): number;
  /** Equal for tables with equal members, regardless of insertion order. */
  digest(): number;
}

export function digestMember(member: Member): number {
  const {hostId, incarnation, state, isStoreReachable} = member;
  return hashText(`${hostId}|${incarnation}|${state}|${isStoreReachable}`);
}

export function createMemberTable(): MemberTable {
  const entries = new Map<string, {member: Member; digest: number}>();
  let digest = 0;
  let list: readonly Member[] | undefined;

  return {
    set(member) {
      const before = entries.get(member.hostId);
      const newDigest = digestMember(member);
      if (before?.digest === newDigest) return false;
      digest ^= (before?.digest ?? 0) ^ newDigest;
      entries.set(member.hostId, {member, digest: newDigest});
      list = undefined;
      return true;
    },
    delete(hostId) {
      const before = entries.get(hostId);
      if (!before) return false;
      digest ^= before.digest;
      entries.delete(hostId);
      list = undefined;
      return true;
    },
    clear() {
      entries.clear();
      digest = 0;
      list = undefined;
    },
    get: hostId => entries.get(hostId)?.member,
    list() {
      list ??= [...entries.values()].map(({member}) => member);
      return list;
    },
    count: () => entries.size,
    digest: () => digest >>> 0,
  };
}
