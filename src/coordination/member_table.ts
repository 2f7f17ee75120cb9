/** The records of all members that this host knows, itself included. */

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
  /** Undefined when the member was not known. */
  readonly before: Member | undefined;
  readonly member: Member;
}

export interface MemberTable {
  self(): Member;
  get(hostId: string): Member | undefined;
  /** Members thought to run, this host included; a stable snapshot. */
  running(): readonly Member[];
  /** Members thought dead or gone, while they are remembered. */
  gone(): readonly Member[];
  /** Merges a record heard from anyone. Contradicts one against this host. */
  apply(record: Member): void;
  setSelfState(state: MemberState): void;
  inBucket(bucket: Bucket): readonly Member[];
  digest(bucket: Bucket): number;
  /** Forgets members that have long been gone. */
  forgetGone(olderThanMs: number): void;
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

  /** A slow host answers a suspicion by a record that is newer than it. */
  function contradict(record: Member): void {
    const self = getSelf();
    if (!isNewer(record, self)) return;
    if (record.incarnation > self.incarnation) {
      // An earlier process of this host whose clock ran ahead.
      set({...self, incarnation: record.incarnation + 1, refutation: 0});
    } else if (record.state === 'leaving' && self.state === 'alive') {
      // The platform wants this host gone and a peer read that first.
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
        contradict(record);
        return;
      }
      const before = entries.get(record.hostId)?.member;
      // It could not be probed; its whole record follows by gossip or repair.
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
    forgetGone(olderThanMs) {
      const beforeMs = clock.nowMs() - olderThanMs;
      for (const [hostId, entry] of entries) {
        if (isRunning(entry.member) || entry.changedAtMs > beforeMs) continue;
        entries.delete(hostId);
      }
    },
    changes,
  };
}
