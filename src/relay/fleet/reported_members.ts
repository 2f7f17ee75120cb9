/**
 * The list of members as reported by coordinators.
 *
 * A view carries the most recent changes and a digest of the whole list. If the
 * digests differ for some time, this host has missed a change and fetches the
 * whole list from the sender of the view.
 */

import type {Clock} from '../../ports/clock.js';
import {createMemberTable, type Member, type MemberChange} from './members.js';

/** The part of a view that describes the members. */
export interface MembersView {
  readonly membersDigest: number;
  /**
   * Digest of the known capacities; absent if none is known, or from a host of
   * an earlier build.
   */
  readonly capacityDigest?: number;
  readonly memberChanges: readonly MemberChange[];
}

export interface ReportedMembersHost {
  readonly clock: Clock;
  /** The member was added, updated or removed. */
  onChange(hostId: string): void;
  /** Fetches the whole list from the sender of a view. */
  fetchMembers(from: Member): Promise<readonly Member[] | undefined>;
}

export interface ReportedMembers {
  get(hostId: string): Member | undefined;
  count(): number;
  /**
   * Applies a view. Removals are applied only if the sender is authoritative;
   * any sender may add hosts.
   */
  applyView(view: MembersView, from: Member, isAuthoritative: boolean): void;
  /** A coordinator confirms the list without sending changes. */
  renew(): void;
  /** Clears the list if no coordinator has confirmed it for too long. */
  expire(): void;
  clear(): void;
}

/**
 * How long the list stays valid without any coordinator: enough to detect that
 * the coordinators are gone, agree on new ones and receive their views.
 */
const LIST_VALID_MS = 8_000;
/** A change missing from one view usually arrives with the next one. */
const MAX_DIGEST_MISMATCH_MS = 500;
/**
 * The list is large, and all hosts may need it at once when the leader changes.
 */
const MIN_FETCH_INTERVAL_MS = 1_000;

export function createReportedMembers(
  host: ReportedMembersHost,
): ReportedMembers {
  const {clock} = host;
  const table = createMemberTable();
  let confirmedAtMs = Number.NEGATIVE_INFINITY;
  let differsSinceMs: number | undefined;
  let fetchedAtMs = Number.NEGATIVE_INFINITY;

  function set(member: Member): void {
    if (table.set(member)) host.onChange(member.hostId);
  }

  function isEqualTo(view: MembersView): boolean {
    const {membersDigest, capacityDigest = table.capacityDigest()} = view;
    return (
      table.digest() === membersDigest &&
      table.capacityDigest() === capacityDigest
    );
  }

  function remove(hostId: string): void {
    if (table.delete(hostId)) host.onChange(hostId);
  }

  function applyChange(change: MemberChange, isAuthoritative: boolean): void {
    if (change.kind === 'up') set(change.member);
    else if (isAuthoritative) remove(change.hostId);
  }

  function replaceList(
    members: readonly Member[],
    isAuthoritative: boolean,
  ): void {
    if (isAuthoritative) {
      const listedIds = new Set(members.map(({hostId}) => hostId));
      for (const {hostId} of table.list()) {
        if (!listedIds.has(hostId)) remove(hostId);
      }
    }
    for (const member of members) set(member);
  }

  async function fetchFrom(
    from: Member,
    isAuthoritative: boolean,
  ): Promise<void> {
    fetchedAtMs = clock.nowMs();
    const members = await host.fetchMembers(from);
    if (members) replaceList(members, isAuthoritative);
  }

  return {
    get: table.get,
    count: table.count,
    applyView(view, from, isAuthoritative) {
      confirmedAtMs = clock.nowMs();
      for (const change of view.memberChanges)
        applyChange(change, isAuthoritative);
      if (isEqualTo(view)) {
        differsSinceMs = undefined;
        return;
      }
      const nowMs = clock.nowMs();
      differsSinceMs ??= nowMs;
      // With an empty list there is no reason to wait.
      const isStale =
        table.count() === 0 || nowMs - differsSinceMs >= MAX_DIGEST_MISMATCH_MS;
      if (!isStale || nowMs - fetchedAtMs < MIN_FETCH_INTERVAL_MS) return;
      void fetchFrom(from, isAuthoritative);
    },
    renew() {
      confirmedAtMs = clock.nowMs();
    },
    expire() {
      if (clock.nowMs() - confirmedAtMs >= LIST_VALID_MS) replaceList([], true);
    },
    clear: () => replaceList([], true),
  };
}
