/** The records of all members known to this host, including itself. */

import {hashText} from '../core/hash_text.js';
import type {Clock} from '../ports/clock.js';
import {createChangeChannel, type ChangeChannel} from './change_channel.js';
import {
  digestMembers,
  isInBucket,
  isNewer,
  isRunning,
  mergeMember,
  type Bucket,
  type Member,
  type MemberState,
} from './member_records.js';

export interface MemberChange {
  /** Undefined if the member was unknown. */
  readonly before: Member | undefined;
  readonly member: Member;
}

export interface MemberTable {
  self(): Member;
  get(hostId: string): Member | undefined;
  /** Returns a snapshot of the members believed to run, including this host. */
  running(): readonly Member[];
  /** Returns the members believed dead or gone that are still remembered. */
  gone(): readonly Member[];
  /** Merges a received record; refutes one that declares this host failed. */
  apply(record: Member): void;
  setSelfState(state: MemberState): void;
  inBucket(bucket: Bucket): readonly Member[];
  digest(bucket: Bucket): number;
  /** Removes members that have been gone for longer than `olderThanMs`. */
  removeGone(olderThanMs: number): void;
  readonly changes: ChangeChannel<MemberChange>;
}

interface Entry {
  readonly member: Member;
  readonly hash: number;
  readonly changedAtMs: number;
}

export function createMemberTable(
  clock: Clock,
  selfRecord: Member,
): MemberTable {
  const entries = new Map<string, Entry>();
  const changes = createChangeChannel<MemberChange>();
  let runningCache: readonly Member[] | undefined;
  const selfId = selfRecord.hostId;
  set(selfRecord);

  function set(member: Member): void {
    const before = entries.get(member.hostId);
    const hash = before?.hash ?? hashText(member.hostId);
    entries.set(member.hostId, {member, hash, changedAtMs: clock.nowMs()});
    runningCache = undefined;
    changes.emit({before: before?.member, member});
  }

  const getSelf = () => entries.get(selfId)!.member;

  /** Supersedes a record of this host that claims a different state. */
  function refute(record: Member): void {
    const self = getSelf();
    if (!isNewer(record, self)) return;
    if (record.incarnation > self.incarnation) {
      // The record is of an earlier process of this host whose clock was ahead.
      set({...self, incarnation: record.incarnation + 1, refutation: 0});
    } else if (record.state === 'leaving' && self.state === 'alive') {
      // A peer read from the host list that this host is to leave.
      set({...self, state: 'leaving', refutation: record.refutation + 1});
    } else {
      set({...self, refutation: record.refutation + 1});
    }
  }

  const find = (bucket: Bucket) =>
    [...entries.values()]
      .filter(entry => isInBucket(entry.hash, bucket))
      .map(entry => entry.member);

  return {
    self: getSelf,
    get: hostId => entries.get(hostId)?.member,
    running() {
      runningCache ??= [...entries.values()]
        .map(entry => entry.member)
        .filter(isRunning);
      return runningCache;
    },
    gone: () =>
      [...entries.values()]
        .map(entry => entry.member)
        .filter(member => !isRunning(member)),
    apply(record) {
      if (record.hostId === selfId) {
        refute(record);
        return;
      }
      const before = entries.get(record.hostId)?.member;
      // It has no address to probe; its full record follows by gossip or repair.
      if (!before && record.address === '' && isRunning(record)) return;
      const merged = before ? mergeMember(before, record) : record;
      if (merged !== before) set(merged);
    },
    setSelfState(state) {
      const self = getSelf();
      if (self.state === state) return;
      set({...self, state, refutation: self.refutation + 1});
    },
    inBucket: find,
    digest: bucket => digestMembers(find(bucket)),
    removeGone(olderThanMs) {
      const beforeMs = clock.nowMs() - olderThanMs;
      for (const [hostId, entry] of entries) {
        if (isRunning(entry.member) || entry.changedAtMs > beforeMs) continue;
        entries.delete(hostId);
      }
    },
    changes,
  };
}
