/**
 * The members as the coordinators tell them, on a host that goes by their word.
 *
 * Views carry what changed a moment ago and a digest of all. A host whose list
 * has another digest for a while has missed something, and asks the one that
 * told it for the whole list.
 */

import type {Clock} from '../../ports/clock.js';
import {createMemberTable, type Member, type MemberChange} from './members.js';

/** The part of a view that tells who lives. */
export interface MembersView {
  readonly membersDigest: number;
  readonly memberChanges: readonly MemberChange[];
}

export interface FollowedMembersHost {
  readonly clock: Clock;
  /** The member was told of, told anew, or is no longer told of. */
  onChange(hostId: string): void;
  /** The whole list of the host that told the view. */
  fetchMembers(from: Member): Promise<readonly Member[] | undefined>;
}

export interface FollowedMembers {
  get(hostId: string): Member | undefined;
  count(): number;
  /**
   * Takes a view over. One that has the last word may also say that hosts are
   * gone; others add hosts only.
   */
  hear(view: MembersView, from: Member, hasLastWord: boolean): void;
  /** Somebody who hears the members confirms that there is no news. */
  renew(): void;
  /** Forgets all that nobody has confirmed for too long. */
  expire(): void;
  clear(): void;
}

/**
 * Without a word of any coordinator the list holds for this long: time to find
 * that they are gone, to settle on others, and to hear of these.
 */
const VALID_MS = 8_000;
/** A change that one view lacks comes with the next one as a rule. */
const MISSED_AFTER_MS = 500;
/** The list is large, and all may need it at once after a change of leader. */
const FETCH_SPACING_MS = 1_000;

export function createFollowedMembers(
  host: FollowedMembersHost,
): FollowedMembers {
  const {clock} = host;
  const table = createMemberTable();
  let renewedAtMs = Number.NEGATIVE_INFINITY;
  let differsSinceMs: number | undefined;
  let fetchedAtMs = Number.NEGATIVE_INFINITY;

  function set(member: Member): void {
    if (table.set(member)) host.onChange(member.hostId);
  }

  function remove(hostId: string): void {
    if (table.delete(hostId)) host.onChange(hostId);
  }

  function apply(change: MemberChange, hasLastWord: boolean): void {
    if (change.kind === 'up') set(change.member);
    else if (hasLastWord) remove(change.hostId);
  }

  function take(members: readonly Member[], hasLastWord: boolean): void {
    if (hasLastWord) {
      const named = new Set(members.map(({hostId}) => hostId));
      for (const {hostId} of table.list()) {
        if (!named.has(hostId)) remove(hostId);
      }
    }
    for (const member of members) set(member);
  }

  async function fetchFrom(from: Member, hasLastWord: boolean): Promise<void> {
    fetchedAtMs = clock.nowMs();
    const members = await host.fetchMembers(from);
    if (members) take(members, hasLastWord);
  }

  return {
    get: table.get,
    count: table.count,
    hear(view, from, hasLastWord) {
      renewedAtMs = clock.nowMs();
      for (const change of view.memberChanges) apply(change, hasLastWord);
      if (table.digest() === view.membersDigest) {
        differsSinceMs = undefined;
        return;
      }
      const nowMs = clock.nowMs();
      differsSinceMs ??= nowMs;
      // A host that knows nobody yet can do nothing until it does.
      const isMissing =
        table.count() === 0 || nowMs - differsSinceMs >= MISSED_AFTER_MS;
      if (!isMissing || nowMs - fetchedAtMs < FETCH_SPACING_MS) return;
      void fetchFrom(from, hasLastWord);
    },
    renew() {
      renewedAtMs = clock.nowMs();
    },
    expire() {
      if (clock.nowMs() - renewedAtMs >= VALID_MS) take([], true);
    },
    clear: () => take([], true),
  };
}
