/** The hosts of a deployment, and the table of members that each host keeps. */

import {hashText} from '../../core/hash_text.js';
import type {HostCapacity} from './host_capacity.js';

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
  /**
   * Absent if not known: the host's settings or its build lack it, or the
   * record came by way of a host whose build lacks it.
   */
  readonly capacity?: HostCapacity;
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
  /** The same for the known capacities; 0 if none is known. */
  capacityDigest(): number;
}

export function digestMember(member: Member): number {
  const {hostId, incarnation, state, isStoreReachable} = member;
  return hashText(`${hostId}|${incarnation}|${state}|${isStoreReachable}`);
}

/**
 * Capacities have a digest of their own, since hosts of earlier builds compute
 * the one of the members without them.
 */
export function digestCapacity(member: Member): number {
  const {hostId, incarnation, capacity} = member;
  if (!capacity) return 0;
  return hashText(`capacity|${hostId}|${incarnation}|${capacity.join('|')}`);
}

interface TableEntry {
  readonly member: Member;
  readonly digest: number;
  readonly capacityDigest: number;
}

const NO_DIGESTS = {digest: 0, capacityDigest: 0};

export function createMemberTable(): MemberTable {
  const entries = new Map<string, TableEntry>();
  let digest = 0;
  let capacityDigest = 0;
  let list: readonly Member[] | undefined;

  function toggleDigests(entry: typeof NO_DIGESTS): void {
    digest ^= entry.digest;
    capacityDigest ^= entry.capacityDigest;
  }

  /**
   * A record that came by way of a host whose build knows no capacities doesn't
   * remove the one that is known of the same start.
   */
  function withKnownCapacity(member: Member): Member {
    const before = entries.get(member.hostId)?.member;
    const isKnown =
      !member.capacity &&
      before?.capacity &&
      before.incarnation === member.incarnation;
    return isKnown ? {...member, capacity: before.capacity} : member;
  }

  return {
    set(record) {
      const before = entries.get(record.hostId);
      const member = withKnownCapacity(record);
      const entry: TableEntry = {
        member,
        digest: digestMember(member),
        capacityDigest: digestCapacity(member),
      };
      const isKnown =
        before?.digest === entry.digest &&
        before.capacityDigest === entry.capacityDigest;
      if (isKnown) return false;
      toggleDigests(before ?? NO_DIGESTS);
      toggleDigests(entry);
      entries.set(member.hostId, entry);
      list = undefined;
      return true;
    },
    delete(hostId) {
      const before = entries.get(hostId);
      if (!before) return false;
      toggleDigests(before);
      entries.delete(hostId);
      list = undefined;
      return true;
    },
    clear() {
      entries.clear();
      digest = 0;
      capacityDigest = 0;
      list = undefined;
    },
    get: hostId => entries.get(hostId)?.member,
    list() {
      list ??= [...entries.values()].map(({member}) => member);
      return list;
    },
    count: () => entries.size,
    digest: () => digest >>> 0,
    capacityDigest: () => capacityDigest >>> 0,
  };
}
