/**
 * Selects the few hosts that read the store on behalf of all.
 *
 * A call to the store costs as much as a fifth of a posting, and all hosts
 * would read the same rows. The other hosts receive confirmations from their
 * peers that their data is current, and read the store themselves only when
 * something has changed or a confirmation is overdue.
 */

import type {StoreMoment, StoreRevision} from '../../core/store_revision.js';
import type {ListDelta} from '../store/list_deltas.js';
import type {ConfirmedAges} from '../store/store_confirmation.js';
import {createHostRanks} from './coordinators.js';

/** The state of a host's sync with the store, as announced to peers. */
export interface StoreSyncState {
  readonly routingVersion: number;
  readonly routingAges: ConfirmedAges;
  /**
   * All versions written before this time are in force at the host; absent if
   * unknown.
   */
  readonly routingCompleteUntil?: StoreMoment;
  readonly upstreamRevision: StoreRevision;
  /** Equal for lists that differ only in heartbeats. */
  readonly upstreamDigest: number;
  readonly upstreamAges: ConfirmedAges;
  /** Recent changes of the list, as seen by a reader. */
  readonly listDeltas: readonly ListDelta[];
  /** Whether this host's last call to the store was answered. */
  readonly isStoreReachable: boolean;
}

/** The part of a host's state that decides whether it reads the store. */
export interface ReaderCandidate {
  readonly hostId: string;
  /** Whether this host's last call to the store was answered. */
  readonly isStoreReachable: boolean;
}

export interface StoreReadersHost {
  readonly hostId: string;
  /** The same array until something changes. */
  peers(): readonly ReaderCandidate[];
  isStoreReachable(): boolean;
}

export interface StoreReaders {
  /** Whether this host reads the store on behalf of all. */
  isReader(): boolean;
  /** Hosts that read on behalf of all, as known to this host, in rank order. */
  readerIds(): readonly string[];
  /** Whether others need to know if this host can reach the store. */
  isCandidate(): boolean;
}

/** Two may fail at once, and the rest still confirm every 0.7 s. */
const READER_COUNT = 3;
/**
 * Only the first hosts by rank may read on behalf of all. All hosts are
 * informed when one of these loses or regains the store; an outage that did
 * this for hundreds of hosts at once would fill the links.
 */
const CANDIDATE_COUNT = 16;

export function createStoreReaders(host: StoreReadersHost): StoreReaders {
  const rankOf = createHostRanks();
  let rankedPeers: readonly ReaderCandidate[] | undefined;
  let candidates: readonly string[] = [];
  let peersById = new Map<string, ReaderCandidate>();

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

  function canReachStore(hostId: string): boolean {
    if (hostId === host.hostId) return host.isStoreReachable();
    return peersById.get(hostId)?.isStoreReachable ?? false;
  }

  /** Hosts that cannot reach the store rely on the reads of the others. */
  const findReaders = () =>
    findCandidates().filter(canReachStore).slice(0, READER_COUNT);

  return {
    isReader: () => findReaders().includes(host.hostId),
    readerIds: findReaders,
    isCandidate: () => findCandidates().includes(host.hostId),
  };
}
