/**
 * What is known of a member, and which of two records is newer. Records form
 * an order, so that they may arrive late, twice and in any order.
 */

import {hashText} from '../core/hash_text.js';

export type MemberState = 'alive' | 'leaving' | 'suspect' | 'dead' | 'left';

export interface Member {
  readonly hostId: string;
  /** For our own processes, `ip:port`. */
  readonly address: string;
  /** For callers, `ip:port`; empty while only the host list names the host. */
  readonly callerAddress: string;
  readonly failureDomain: string;
  /** Grows with each start of the process; 0 while only listed. */
  readonly incarnation: number;
  /** Grows when the member contradicts a suspicion or changes its state. */
  readonly refutation: number;
  readonly state: MemberState;
}

/**
 * At the same refutation a later state wins. Only the member itself can go
 * back, by a higher refutation.
 */
const stateRanks: Readonly<Record<MemberState, number>> = {
  alive: 0,
  leaving: 1,
  suspect: 2,
  dead: 3,
  left: 4,
};

/** Whether `next` says something later than `before`. */
export function isNewer(next: Member, before: Member): boolean {
  if (next.incarnation !== before.incarnation) {
    return next.incarnation > before.incarnation;
  }
  if (next.refutation !== before.refutation) {
    return next.refutation > before.refutation;
  }
  return stateRanks[next.state] > stateRanks[before.state];
}

/** The newer record, with the details of the older where it has none. */
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

/** Whether the member may be given anything new to do. */
export function isUsable(member: Member): boolean {
  return member.state === 'alive' || member.state === 'suspect';
}

/** Whether the member is thought to run. */
export function isRunning(member: Member): boolean {
  return member.state !== 'dead' && member.state !== 'left';
}

/** A part of the members: those whose hash begins with `bucket`. */
export interface Bucket {
  readonly bits: number;
  readonly bucket: number;
}

export function isInBucket(hostHash: number, bucket: Bucket): boolean {
  if (bucket.bits === 0) return true;
  return hostHash >>> (32 - bucket.bits) === bucket.bucket;
}

/** Differs, but for chance, when two hosts know different things. */
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
