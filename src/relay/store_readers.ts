/**
 * Which hosts read the store for all, and how fresh that keeps the others.
 *
 * A call to the store costs as much as a fifth of a posting, and all hosts
 * would read the same rows. A few read them as before; the others hear from
 * their peers that what they know is still so, and read by themselves only
 * when something has changed or nobody has confirmed it for too long.
 */

import type {ListDelta} from './list_deltas.js';
import {rankHost} from './placement_groups.js';
import type {ConfirmedAges} from './store_confirmation.js';

/** What a host knows of the store, as it announces it. */
export interface StoreKnowledge {
  readonly routingVersion: number;
  readonly routingAges: ConfirmedAges;
  readonly upstreamRevision: number;
  /** The same for lists that differ in nothing but signs of life. */
  readonly upstreamDigest: number;
  readonly upstreamAges: ConfirmedAges;
  /** Changes of the list that a reader saw a moment ago. */
  readonly listDeltas: readonly ListDelta[];
  /** Whether its own last call to the store was answered. */
  readonly isStoreReachable: boolean;
}

/** A peer as far as reading the store goes. */
export interface ReadingPeer extends StoreKnowledge {
  readonly hostId: string;
}

export interface StoreReadersHost {
  readonly hostId: string;
  peers(): readonly ReadingPeer[];
  isStoreReachable(): boolean;
}

export interface StoreReaders {
  /** Whether this host is one of those that read for all. */
  isReader(): boolean;
  /** Hosts that read for all, as far as this host can tell. */
  readerIds(): ReadonlySet<string>;
}

/** Two may fail at once, and the others still hear each 0.7 s. */
const READER_COUNT = 3;

export function createStoreReaders(host: StoreReadersHost): StoreReaders {
  /**
   * Ranks never change, and this is asked with each datagram: hashing 67 names
   * each time was 8% of what a host of 68 spent on control (CPU profile).
   */
  const ranks = new Map<string, number>();

  function rankOf(hostId: string): number {
    const rank = ranks.get(hostId) ?? rankHost(hostId);
    ranks.set(hostId, rank);
    return rank;
  }

  /** The store may turn some hosts away; these go by what the others read. */
  function findReaders(): readonly string[] {
    const candidates = host.isStoreReachable() ? [host.hostId] : [];
    for (const peer of host.peers()) {
      if (peer.isStoreReachable) candidates.push(peer.hostId);
    }
    return candidates
      .sort((a, b) => rankOf(a) - rankOf(b))
      .slice(0, READER_COUNT);
  }

  return {
    isReader: () => findReaders().includes(host.hostId),
    readerIds: () => new Set(findReaders()),
  };
}
