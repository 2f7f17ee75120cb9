/**
 * Cedes this host's part of each account's limit to the owner of the account's
 * bucket.
 *
 * A host holds an equal part of each limit. At any moment it cedes the part of
 * an account to one owner only, so the parts that all owners grant never add up
 * to more than the limit, whatever hosts they can reach. While an owner does
 * not answer, its accounts are ceded to the next in the order, at last to this
 * host itself. What was ceded to an owner that is out of reach is lost.
 */

import type {Clock} from '../../ports/clock.js';
import {createOwnerRanking} from '../fleet/owners.js';

/**
 * By owner: the time for which a host has ceded to it the parts of the accounts
 * that it owns, in ms since the start of the host's process. It has the hosts
 * that currently own accounts.
 */
export type CededTimes = Readonly<Record<string, number>>;

export interface LimitPartsHost {
  readonly clock: Clock;
  readonly hostId: string;
  /** Returns the hosts that may own buckets, by this host's information. */
  ownerCandidates(): readonly string[];
  /** Asks an owner for an answer; it is noted whether it comes. */
  probe(ownerId: string): void;
}

export interface LimitParts {
  /** Returns the host that grants requests of the account. */
  ownerOf(account: string): string;
  /** Returns the totals to report to the owners. */
  cededTimes(): CededTimes;
  noteAnswered(ownerId: string): void;
  noteUnanswered(ownerId: string): void;
}

/** An owner that does not answer is probed after this time, then later. */
const MIN_PROBE_INTERVAL_MS = 500;
/** The same for an owner that was not asked for this time. */
const MAX_PROBE_INTERVAL_MS = 4_000;

interface Contact {
  /** Whether it did not answer, and the next owner is used instead. */
  readonly isSkipped: boolean;
  readonly probeAtMs: number;
  readonly intervalMs: number;
}

export function createLimitParts(host: LimitPartsHost): LimitParts {
  const {clock, hostId} = host;
  const cededMs = new Map<string, number>();
  const contacts = new Map<string, Contact>();
  let owners: readonly string[] = [];
  let updatedAtMs = clock.nowMs();
  const rank = createOwnerRanking('quota', {candidates: () => owners});

  function findOwners(): readonly string[] {
    const candidates = host.ownerCandidates();
    for (const id of contacts.keys()) {
      if (!candidates.includes(id)) contacts.delete(id);
    }
    const used = candidates.filter(id => !contacts.get(id)?.isSkipped);
    return used.length > 0 ? used : [hostId];
  }

  /** Counts the time since the last update for the owners until now. */
  function update(): void {
    const nowMs = clock.nowMs();
    const elapsedMs = nowMs - updatedAtMs;
    updatedAtMs = nowMs;
    for (const id of owners) cededMs.set(id, toCededMs(id) + elapsedMs);
    const next = findOwners();
    const isSame =
      next.length === owners.length && next.every(id => owners.includes(id));
    if (!isSame) owners = next;
  }

  function toCededMs(ownerId: string): number {
    return cededMs.get(ownerId) ?? 0;
  }

  function setContact(
    ownerId: string,
    isSkipped: boolean,
    intervalMs: number,
  ): void {
    const probeAtMs = clock.nowMs() + intervalMs;
    contacts.set(ownerId, {isSkipped, probeAtMs, intervalMs});
  }

  /** Finds out whether an owner answers before requests depend on it. */
  function probe(): void {
    const nowMs = clock.nowMs();
    for (const id of host.ownerCandidates()) {
      if (id === hostId) continue;
      const contact = contacts.get(id);
      if (contact && nowMs < contact.probeAtMs) continue;
      const intervalMs = contact?.intervalMs ?? MIN_PROBE_INTERVAL_MS;
      const nextMs = Math.min(MAX_PROBE_INTERVAL_MS, intervalMs * 2);
      setContact(id, contact?.isSkipped ?? false, nextMs);
      host.probe(id);
    }
  }

  return {
    ownerOf(account) {
      update();
      return rank(account).at(0) ?? hostId;
    },
    cededTimes() {
      update();
      probe();
      return Object.fromEntries(
        owners.map(id => [id, Math.round(toCededMs(id))]),
      );
    },
    noteAnswered(ownerId) {
      const wasSkipped = contacts.get(ownerId)?.isSkipped;
      setContact(ownerId, false, MAX_PROBE_INTERVAL_MS);
      if (wasSkipped) update();
    },
    noteUnanswered(ownerId) {
      if (ownerId === hostId || contacts.get(ownerId)?.isSkipped) return;
      setContact(ownerId, true, MIN_PROBE_INTERVAL_MS);
      update();
    },
  };
}
