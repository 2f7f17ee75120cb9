/**
 * Which hosts read the store for all, and how fresh that keeps the others.
 *
 * A call to the store costs as much as a fifth of a posting, and all hosts
 * would read the same rows. A few read them as before; the others hear from
 * their peers that what they know is still so, and read by themselves only
 * when something has changed or nobody has confirmed it for too long.
 */

import type {StoreMoment, StoreRevision} from '../../core/store_revision.js';
import type {ListDelta} from '../store/list_deltas.js';
import type {ConfirmedAges} from '../store/store_confirmation.js';
import {createHostRanks} from './coordinators.js';

/** What a host knows of the store, as it announces it. */
export interface StoreKnowledge {
  readonly routingVersion: number;
  readonly routingAges: ConfirmedAges;
  /**
   * Every version before this is in force there; absent where that is not
   * known.
   */
  readonly routingCompleteUntil?: StoreMoment;
  readonly upstreamRevision: StoreRevision;
  /** The same for lists that differ in nothing but signs of life. */
  readonly upstreamDigest: number;
  readonly upstreamAges: ConfirmedAges;
  /** Changes of the list that a reader saw a moment ago. */
  readonly listDeltas: readonly ListDelta[];
  /** Whether its own last call to the store was answered. */
  readonly isStoreReachable: boolean;
}

/** A host as far as reading the store goes. */
export interface ReadingHost {
  readonly hostId: string;
  /** Whether its own last call to the store was answered. */
  readonly isStoreReachable: boolean;
}

export interface StoreReadersHost {
  readonly hostId: string;
  /** The same array until something changes. */
  peers(): readonly ReadingHost[];
  isStoreReachable(): boolean;
}

export interface StoreReaders {
  /** Whether this host is one of those that read for all. */
  isReader(): boolean;
  /** Hosts that read for all, as far as this host can tell; first by rank. */
  readerIds(): readonly string[];
  /** Whether others have to know if the store answers this host. */
  isCandidate(): boolean;
}

/** Two may fail at once, and the others still hear each 0.7 s. */
const READER_COUNT = 3;
/**
 * Only the first ones by rank may read for all. All hosts hear of each change
 * of whether the store answers one of these; an outage that changes it for
 * hundreds of hosts at once would fill the links.
 */
const CANDIDATE_COUNT = 16;

export function createStoreReaders(host: StoreReadersHost): StoreReaders {
  const rankOf = createHostRanks();
  let rankedPeers: readonly ReadingHost[] | undefined;
  let candidates: readonly string[] = [];
  let peersById = new Map<string, ReadingHost>();

  function findCandidates(): readonly string[] {
    const peers = host.peers();
    if (peers === rankedPeers) return candidates;
    rankedPeers = peers;
    peersById = new Map(peers.map(peer => [peer.hostId, peer]));
    candidates = [host.hostId, ...peersById.keys()]
      .sort((a, b) => rankOf(a) - rankOf(b))
      .slice(0, CANDIDATE_COUNT);
    return candidates;
  }

  function isServed(hostId: string): boolean {
    if (hostId === host.hostId) return host.isStoreReachable();
    return peersById.get(hostId)?.isStoreReachable ?? false;
  }

  /** The store may turn some hosts away; these go by what the others read. */
  const findReaders = () =>
    findCandidates().filter(isServed).slice(0, READER_COUNT);

  return {
    isReader: () => findReaders().includes(host.hostId),
    readerIds: findReaders,
    isCandidate: () => findCandidates().includes(host.hostId),
  };
}
