/**
 * Member records and the order between them. Since any two records of a member
 * are ordered, they may arrive late, repeatedly and out of order.
 */

import {hashText} from '../core/hash_text.js';

export type MemberState = 'alive' | 'leaving' | 'suspect' | 'dead' | 'left';

export interface Member {
  readonly hostId: string;
  /** Address for peers, `ip:port`. */
  readonly address: string;
  /** Address for callers, `ip:port`; empty if known only from the host list. */
  readonly callerAddress: string;
  readonly failureDomain: string;
  /** Grows with each start of the process; 0 if known only from the list. */
  readonly incarnation: number;
  /** Grows when the member refutes a suspicion or changes its state. */
  readonly refutation: number;
  readonly state: MemberState;
}

/**
 * At the same refutation the higher rank wins. Only the member itself can
 * return to a lower rank, by a higher refutation.
 */
const stateRanks: Readonly<Record<MemberState, number>> = {
  alive: 0,
  leaving: 1,
  suspect: 2,
  dead: 3,
  left: 4,
};

/** Whether the record `next` supersedes `before`. */
export function isNewer(next: Member, before: Member): boolean {
  if (next.incarnation !== before.incarnation) {
    return next.incarnation > before.incarnation;
  }
  if (next.refutation !== before.refutation) {
    return next.refutation > before.refutation;
  }
  return stateRanks[next.state] > stateRanks[before.state];
}

/** Returns the newer record, completed with details of the older one. */
export function mergeMember(before: Member, next: Member): Member {
  if (!isNewer(next, before)) {
    const isFilled = before.callerAddress !== '' || next.callerAddress === '';
    return isFilled ? before : withDetailsOf(before, next);
  }
  return next.address === '' ? withDetailsOf(next, before) : next;
}

function withDetailsOf(record: Member, details: Member): Member {
  const {address, callerAddress, failureDomain} = details;
  return {...record, address, callerAddress, failureDomain};
}

/** Whether the member may receive new work. */
export function isUsable(member: Member): boolean {
  return member.state === 'alive' || member.state === 'suspect';
}

/** Whether the member is believed to be running. */
export function isRunning(member: Member): boolean {
  return member.state !== 'dead' && member.state !== 'left';
}

/** The members whose hash begins with the `bits` bits of `bucket`. */
export interface Bucket {
  readonly bits: number;
  readonly bucket: number;
}

export function isInBucket(hostHash: number, bucket: Bucket): boolean {
  if (bucket.bits === 0) return true;
  return hostHash >>> (32 - bucket.bits) === bucket.bucket;
}

/** Returns a digest that differs, barring collisions, if the records differ. */
export function digestMembers(members: Iterable<Member>): number {
  let digest = 0;
  for (const member of members) {
    if (!isRunning(member)) continue;
    const {hostId, incarnation, refutation, state} = member;
    const hasDetails = member.callerAddress !== '';
    const text = [hostId, incarnation, refutation, state, hasDetails].join();
    digest ^= hashText(text);
  }
  return digest >>> 0;
}
