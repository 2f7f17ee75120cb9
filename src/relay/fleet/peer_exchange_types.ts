/** The interface between the exchange of state with peers and the relay. */

import type {Clock} from '../../ports/clock.js';
import type {DatagramPort} from '../../ports/datagram.js';
import type {Logger} from '../../ports/log.js';
import type {HostCapacity} from './host_capacity.js';
import type {HostState, Member} from './members.js';
import type {
  Announcement,
  PeerSyncState,
  Peer,
  PeerMessage,
  Summary,
} from './peer_datagrams.js';

/**
 * Who receives a change immediately instead of with the next periodic datagram:
 * the placers of this host; these and the coordinators; or, from a coordinator,
 * all hosts.
 */
export type ChangeReach = 'near' | 'coordinators' | 'all';

/** The fields of this host's member record that the relay supplies. */
export interface OwnState {
  readonly state: HostState;
  readonly callerAddress: string;
  readonly failureDomain: string;
  readonly isStoreReachable: boolean;
  readonly capacity?: HostCapacity;
}

export interface PeerExchangeHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly datagrams: DatagramPort;
  ownState(): OwnState;
  announcement(): Announcement;
  /** The summary a coordinator sends to all hosts; the load makes it large. */
  summary(hasLoad: boolean): Summary;
  /** A peer's state was received. */
  onPeerState(peer: Peer): void;
  /** A coordinator's summary was received. */
  onSummary(fromHostId: string, summary: Summary): void;
  onPeerGone(hostId: string): void;
  /**
   * The peer no longer sends to this host, so its last state is outdated. It
   * may be alive and still send to others.
   */
  onPeerSilent(hostId: string): void;
  /** The list of live hosts, or a member's record, has changed. */
  onMembersChange(): void;
  /** Whether the peer is to receive each change of this host immediately. */
  isNear(hostId: string): boolean;
  /** Whether other hosts rely on this host's reads of the store. */
  isReader(): boolean;
  /** A peer sent a message to this host alone. */
  onMessage(fromHostId: string, message: PeerMessage): void;
  /**
   * The peer's list of members, itself included; undefined if it does not
   * answer.
   */
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
  /** Sends a change soon, without waiting for the next periodic datagram. */
  changed(reach?: ChangeReach): void;
  /** Sends a datagram to one peer, without a guarantee of delivery. */
  sendMessage(hostId: string, message: PeerMessage): void;
  /** Adds addresses to probe for hosts, for example from the registry. */
  addAddresses(addresses: readonly string[]): void;
  /** Live hosts except this one; the same array until something changes. */
  alive(): readonly Member[];
  /** This host's own record. */
  self(): Member;
  /** Live hosts including this one. */
  members(): readonly Member[];
  /** Live peers that send datagrams to this host. */
  peerSyncStates(): readonly PeerSyncState[];
  /** Coordinators in rank order; empty in a full mesh. */
  coordinatorIds(): readonly string[];
  /** Whether this host is a coordinator. */
  isCoordinator(): boolean;
  /** Whether a settled coordinator is sending views to this host. */
  isFollowing(): boolean;
  /** Whether there are few enough hosts for a full mesh. */
  isMesh(): boolean;
  /** Number of peers ever seen, dead ones included. */
  knownCount(): number;
}
