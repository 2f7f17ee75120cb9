/**
 * Tracks when the store last confirmed that this host's data is current, and
 * whether the confirmation came directly, from the host that read it, or
 * through another host.
 *
 * An age loses the time its datagram is in transit. If hosts passed on every
 * age they receive, they could keep each other's ages low although nobody reads
 * the store. An age is therefore passed on once at most, and is too low by two
 * transits at most.
 */

import type {Clock} from '../../ports/clock.js';

/** The ages that a host announces for one kind of store data. */
export interface ConfirmedAges {
  /** Time since the store confirmed the data to the host itself. */
  readonly readAgeMs: number;
  /** The same, or the `readAgeMs` received from a peer if that is lower. */
  readonly ageMs: number;
}

/** Who confirmed the data last: this host's own calls, or a peer. */
export type ConfirmedBy = 'read' | 'feed' | 'peer' | 'relayed' | 'none';

export interface StoreConfirmation {
  /** The store confirmed the data to this host. */
  noteRead(atMs: number, by?: 'read' | 'feed'): void;
  /** A peer with the same data announced these ages. */
  notePeer(ages: ConfirmedAges): void;
  /** Data of this age was fetched from a peer; the age is not passed on. */
  noteFetched(ageMs: number): void;
  /** The lowest known age, which this host's decisions are based on. */
  ageMs(): number;
  /** Where the confirmation with that age came from. */
  confirmedBy(): ConfirmedBy;
  /** The ages to announce to peers. */
  announcedAges(): ConfirmedAges;
}

/** Means "never" in announcements, which can only carry finite numbers. */
const MAX_AGE_MS = 3_600_000;

export function createStoreConfirmation(clock: Clock): StoreConfirmation {
  let readAtMs = Number.NEGATIVE_INFINITY;
  let readBy: 'read' | 'feed' = 'read';
  /** Confirmed by a read of the peer that announced it. */
  let readByPeerAtMs = Number.NEGATIVE_INFINITY;
  /** Confirmed through a peer that did not read the data itself. */
  let relayedAtMs = Number.NEGATIVE_INFINITY;

  const ageOf = (atMs: number) =>
    Math.round(Math.min(clock.nowMs() - atMs, MAX_AGE_MS));

  return {
    noteRead(atMs, by = 'read') {
      if (atMs < readAtMs) return;
      readAtMs = atMs;
      readBy = by;
    },
    notePeer({readAgeMs, ageMs}) {
      const nowMs = clock.nowMs();
      readByPeerAtMs = Math.max(readByPeerAtMs, nowMs - readAgeMs);
      relayedAtMs = Math.max(relayedAtMs, nowMs - ageMs);
    },
    noteFetched(ageMs) {
      relayedAtMs = Math.max(relayedAtMs, clock.nowMs() - ageMs);
    },
    ageMs: () => ageOf(Math.max(readAtMs, readByPeerAtMs, relayedAtMs)),
    confirmedBy() {
      const atMs = Math.max(readAtMs, readByPeerAtMs, relayedAtMs);
      if (atMs === Number.NEGATIVE_INFINITY) return 'none';
      if (atMs === readAtMs) return readBy;
      return atMs === readByPeerAtMs ? 'peer' : 'relayed';
    },
    announcedAges: () => ({
      readAgeMs: ageOf(readAtMs),
      ageMs: ageOf(Math.max(readAtMs, readByPeerAtMs)),
    }),
  };
}
