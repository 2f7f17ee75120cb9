/** What the exchange between relays asks of its host, and offers it. */

import type {Clock} from '../../ports/clock.js';
import type {DatagramPort} from '../../ports/datagram.js';
import type {Logger} from '../../ports/log.js';
import type {HostState, Member} from './members.js';
import type {
  Announcement,
  KnowingPeer,
  Peer,
  PeerMessage,
  Summary,
} from './peer_datagrams.js';

/**
 * Whom a change reaches before the next repeat: those that place for this
 * host; with them the coordinators; or, from a coordinator, all.
 */
export type ChangeReach = 'near' | 'coordinators' | 'all';

/** What a host tells of itself beside its name and address. */
export interface OwnState {
  readonly state: HostState;
  readonly callerAddress: string;
  readonly failureDomain: string;
  readonly isStoreReachable: boolean;
}

export interface PeerExchangeHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly datagrams: DatagramPort;
  ownState(): OwnState;
  announcement(): Announcement;
  /** What a coordinator tells all; the load is large. */
  summary(hasLoad: boolean): Summary;
  /** A peer told its state. */
  onPeer(peer: Peer): void;
  /** A coordinator told what it knows of all. */
  onSummary(fromHostId: string, summary: Summary): void;
  onPeerGone(hostId: string): void;
  /**
   * The peer tells this host nothing any more: what it told is no longer so.
   * It may live, and tell others.
   */
  onPeerUnheard(hostId: string): void;
  /** Live hosts, or what is known of them, have changed. */
  onMembers(): void;
  /** Whether the peer is to hear of each change at once. */
  isNear(hostId: string): boolean;
  /** Whether others go by what this host reads from the store. */
  isReader(): boolean;
  /** A peer told this host something that is meant for it alone. */
  onMessage(fromHostId: string, message: PeerMessage): void;
  /** All members that the peer knows; undefined if it does not answer. */
  fetchMembers(from: Member): Promise<readonly Member[] | undefined>;
}

export interface PeerExchangeOptions {
  readonly hostId: string;
  readonly incarnation: string;
  readonly peerAddress: string;
  readonly seedAddresses: readonly string[];
}

export interface PeerExchange {
  start(): void;
  stop(): void;
  /** Something has changed that others should hear of before the next repeat. */
  changed(reach?: ChangeReach): void;
  /** Tells one peer something; it may be lost, as all datagrams. */
  tell(hostId: string, message: PeerMessage): void;
  /** Other hosts to talk to, for example from the registry. */
  addAddresses(addresses: readonly string[]): void;
  /** Live hosts but this one; the same array until something changes. */
  alive(): readonly Member[];
  /** The same with this host, for those that ask. */
  members(): readonly Member[];
  /** Live peers that this host hears itself. */
  heard(): readonly KnowingPeer[];
  /** Hosts that hear all others, first choice first; none where few. */
  coordinatorIds(): readonly string[];
  /** Whether this host is one of them. */
  isCoordinator(): boolean;
  /** Whether a coordinator that hears all tells this host who lives. */
  isFollowing(): boolean;
  /** Whether hosts are so few that all tell each other everything. */
  isMesh(): boolean;
  /** Peers ever known, dead ones too. */
  knownCount(): number;
}
