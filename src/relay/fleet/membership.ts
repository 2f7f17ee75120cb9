/**
 * Tracks which hosts are alive.
 *
 * In a small deployment (a full mesh), each host relies on the datagrams it
 * receives from the others directly. In a larger one, three coordinators
 * receive datagrams from all hosts, and every other host follows the first
 * settled coordinator in rank order. A host's own direct evidence that a peer
 * is alive always takes precedence.
 *
 * Followers accept removals from the coordinator they follow; a settled
 * coordinator relies on direct evidence alone. If hosts passed on whatever they
 * were told, they could keep a dead host alive among them indefinitely.
 */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import {
  chooseCoordinators,
  createHostRanks,
  isMeshSize,
} from './coordinators.js';
import {createReportedMembers, type MembersView} from './reported_members.js';
import {createDirectPeers, type DirectPeer} from './direct_peers.js';
import {createMemberLog} from './member_log.js';
import {
  createMemberTable,
  digestCapacity,
  digestMember,
  type Member,
  type MemberChange,
} from './members.js';
import type {PeerSyncState} from './peer_datagrams.js';

export interface MembershipHost {
  readonly clock: Clock;
  readonly log: Logger;
  /** This host's own record, as announced to others. */
  self(): Member;
  onGone(hostId: string): void;
  /**
   * The host's datagrams stopped; a coordinator may still report it as alive.
   */
  onPeerSilent(hostId: string): void;
  /** The list of live hosts, or a member's record, has changed. */
  onChange(): void;
  /** This host, acting as a coordinator, has declared others dead. */
  onLossDetected(): void;
  /**
   * The peer's list of members, itself included; undefined if it does not
   * answer.
   */
  fetchMembers(from: Member): Promise<readonly Member[] | undefined>;
}

export interface MembershipOptions {
  readonly hostId: string;
  /** Interval at which the caller calls `tick`. */
  readonly tickMs: number;
}

export interface Membership {
  /** Whether there are few enough hosts for a full mesh. */
  isMesh(): boolean;
  /** Whether this host receives all states and sends views to the others. */
  isCoordinator(): boolean;
  /** Coordinators in rank order; may include this host. */
  coordinatorIds(): readonly string[];
  /** Whether a settled coordinator is sending views to this host. */
  isFollowing(): boolean;
  /**
   * On a coordinator: whether every live host has had time to send its state.
   */
  isSettled(): boolean;
  /** Live hosts except this one; the same array until something changes. */
  list(): readonly Member[];
  /** A live host, or one whose datagrams were received earlier. */
  find(hostId: string): Member | undefined;
  /** Number of peers ever seen that haven't left, dead ones included. */
  knownCount(): number;
  hasDirectPeer(hostId: string): boolean;
  /** The store state announced by each live peer that sends to this host. */
  peerSyncStates(): readonly PeerSyncState[];
  /** False if a later datagram of the same incarnation was already received. */
  recordPeer(peer: DirectPeer): boolean;
  /** Whether an earlier view of the same incarnation was marked as settled. */
  wasSettled(hostId: string, incarnation: string): boolean;
  applyView(view: MembersView, fromHostId: string): void;
  /** The state of this host was sent to a coordinator. */
  noteStateSent(hostId: string): void;
  /** Runs the periodic checks, such as removing silent peers. */
  tick(): void;
  /** On a coordinator: hosts whose next datagram is overdue. */
  overdueMembers(): readonly Member[];
  /** On a coordinator: overdue, recently lost and never received members. */
  missedIds(): readonly string[];
  /**
   * This host's digest of all members and its recent changes, for followers.
   */
  view(): MembersView;
}

/**
 * Three datagrams in a row were lost, or the peer is dead, frozen or cut off.
 */
const LOST_AFTER_INTERVALS = 3.6;
/**
 * After this many intervals, a coordinator asks a silent host for its state.
 */
const OVERDUE_AFTER_INTERVALS = 2;
/**
 * A coordinator removes a silent host once another coordinator misses it too,
 * or after this many times the usual limit. Without the confirmation, a
 * coordinator with a lossy link would remove live hosts for everyone.
 */
const UNCONFIRMED_FACTOR = 2;
/** Time for a new coordinator to receive a datagram from every live host. */
const SETTLE_MS = 2_500;
/**
 * A coordinator that has not answered this long after it was first sent a state
 * is skipped. A coordinator answers a request for a view immediately.
 */
const VIEW_TIMEOUT_MS = 500;
/** A skipped coordinator is tried again after this. */
const COORDINATOR_RETRY_MS = 20_000;
/** How long a lost host is reported to the other coordinators. */
const LOSS_REPORTED_FOR_MS = 5_000;
/**
 * A tick this late shows that the process did not run; what its peers sent
 * meanwhile is still unread.
 */
const LATE_TICK_MS = 100;
/** After such a gap, a coordinator has to hear from every live host again. */
const MIN_SUSPENSION_MS = 1_000;
const MAX_REPORTED_MISSED = 200;

export function createMembership(
  host: MembershipHost,
  options: MembershipOptions,
): Membership {
  const {clock, log} = host;
  const {hostId: ownId, tickMs} = options;
  const rankOf = createHostRanks();
  const directPeers = createDirectPeers(clock);
  const reportedMembers = createReportedMembers({
    clock,
    onChange: refresh,
    fetchMembers: host.fetchMembers,
  });
  const live = createMemberTable();
  const changes = createMemberLog(clock);
  const knownIds = new Set<string>();
  /** By host id: when this host, as a coordinator, declared it dead. */
  const lostAtMs = new Map<string, number>();
  /** By coordinator id: when this host first sent it a state. */
  const firstSentAtMs = new Map<string, number>();
  let lastTickAtMs: number | undefined;
  /** Undefined when it must be recomputed. */
  let coordinators: readonly string[] | undefined;
  let coordinatorSinceMs: number | undefined;
  let reportedOwnDigest: number | undefined;

  /** Recomputes a member from direct evidence and coordinator reports. */
  function refresh(hostId: string): void {
    if (hostId === ownId) return;
    const before = live.get(hostId);
    const now = directPeers.get(hostId)?.member ?? reportedMembers.get(hostId);
    const isGone = before && before.incarnation !== now?.incarnation;
    const isChanged = now ? live.set(now) : live.delete(hostId);
    if (!isChanged) return;
    if (now) {
      knownIds.add(hostId);
      changes.record({kind: 'up', member: now});
      const {state} = now;
      const capacity = now.capacity?.join(' ');
      if (!before) log.info('Peer found.', {peer: hostId, state, capacity});
    } else {
      if (before?.state === 'leaving') knownIds.delete(hostId);
      changes.record({kind: 'down', hostId});
      log.info('Peer lost.', {peer: hostId, state: before?.state});
    }
    coordinators = undefined;
    if (isGone) host.onGone(hostId);
    host.onChange();
  }

  function isResponsive(hostId: string): boolean {
    if (hostId === ownId || directPeers.get(hostId)) return true;
    const sinceMs = firstSentAtMs.get(hostId);
    return sinceMs === undefined || clock.nowMs() - sinceMs < VIEW_TIMEOUT_MS;
  }

  function coordinatorIds(): readonly string[] {
    coordinators ??= chooseCoordinators(
      [host.self(), ...live.list()],
      rankOf,
      isResponsive,
    );
    return coordinators;
  }

  const isMesh = () => isMeshSize(live.count() + 1);
  const isCoordinator = () => !isMesh() && coordinatorIds().includes(ownId);

  /** The coordinator whose removals this host accepts. */
  function findLeader(): string | undefined {
    return coordinatorIds().find(
      id => id !== ownId && directPeers.get(id)?.isSettled,
    );
  }

  function isSettled(): boolean {
    if (coordinatorSinceMs === undefined) return false;
    return clock.nowMs() - coordinatorSinceMs >= SETTLE_MS;
  }

  function updateCoordinatorRole(): void {
    const nowMs = clock.nowMs();
    for (const [hostId, sinceMs] of firstSentAtMs) {
      if (nowMs - sinceMs >= COORDINATOR_RETRY_MS) firstSentAtMs.delete(hostId);
    }
    // Responsiveness changes with time.
    coordinators = undefined;
    const isCoordinatorNow = isCoordinator();
    if (isCoordinatorNow === (coordinatorSinceMs !== undefined)) return;
    coordinatorSinceMs = isCoordinatorNow ? nowMs : undefined;
    const message = isCoordinatorNow
      ? 'Tells all who lives.'
      : 'No longer coordinates the members.';
    const coordinates = coordinatorIds().join(' ');
    log.info(message, {members: live.count(), coordinates});
  }

  const isOverdue = (peer: DirectPeer) =>
    directPeers.silentMs(peer) >= OVERDUE_AFTER_INTERVALS * peer.nextWithinMs;

  /**
   * Whether another coordinator misses the host, or no other one can be asked.
   */
  function isLossConfirmed(hostId: string): boolean {
    const others = coordinatorIds()
      .filter(id => id !== ownId && id !== hostId)
      .map(id => directPeers.get(id))
      .filter(each => each !== undefined);
    if (others.length === 0) return true;
    return others.some(({missedIds}) => missedIds.includes(hostId));
  }

  function removeSilentPeers(): void {
    const mustConfirm = isCoordinator();
    const lost = directPeers.declareSilent(peer => {
      const limitMs = LOST_AFTER_INTERVALS * peer.nextWithinMs;
      const silentMs = directPeers.silentMs(peer);
      if (silentMs < limitMs) return false;
      if (!mustConfirm || silentMs >= UNCONFIRMED_FACTOR * limitMs) return true;
      return isLossConfirmed(peer.member.hostId);
    });
    for (const {member} of lost) {
      if (mustConfirm) lostAtMs.set(member.hostId, clock.nowMs());
      host.onPeerSilent(member.hostId);
      refresh(member.hostId);
    }
    if (lost.length === 0) return;
    coordinators = undefined;
    if (mustConfirm) host.onLossDetected();
  }

  /**
   * Detects that this process was suspended, by the gap between two ticks.
   * Without this, it would declare all peers dead because it received nothing
   * meanwhile, and as a coordinator it would report that to all hosts.
   */
  function checkSuspension(): void {
    const nowMs = clock.nowMs();
    const suspendedMs = nowMs - (lastTickAtMs ?? nowMs) - tickMs;
    lastTickAtMs = nowMs;
    if (suspendedMs < LATE_TICK_MS) return;
    directPeers.noteSuspension(suspendedMs);
    if (suspendedMs < MIN_SUSPENSION_MS) return;
    log.warn('The process was suspended.', {
      durationMs: Math.round(suspendedMs),
    });
    reportedMembers.renew();
    if (coordinatorSinceMs !== undefined) coordinatorSinceMs = nowMs;
  }

  /**
   * Reported so that the last coordinator to miss a host gets its confirmation.
   */
  function recentlyLostIds(): readonly string[] {
    for (const [hostId, atMs] of lostAtMs) {
      if (clock.nowMs() - atMs >= LOSS_REPORTED_FOR_MS) lostAtMs.delete(hostId);
    }
    return [...lostAtMs.keys()];
  }

  function recentChanges(): readonly MemberChange[] {
    const own = host.self();
    const digest = digestMember(own);
    if (digest !== reportedOwnDigest) changes.record({kind: 'up', member: own});
    reportedOwnDigest = digest;
    return changes.recent();
  }

  return {
    isMesh,
    isCoordinator,
    coordinatorIds,
    isFollowing: () => findLeader() !== undefined,
    isSettled,
    list: live.list,
    find: hostId => live.get(hostId) ?? directPeers.getLast(hostId)?.member,
    knownCount: () => knownIds.size,
    hasDirectPeer: hostId => directPeers.get(hostId) !== undefined,
    peerSyncStates: () => directPeers.live().map(({syncState}) => syncState),
    recordPeer(peer) {
      const {hostId, incarnation} = peer.member;
      const last = directPeers.getLast(hostId);
      const isSameIncarnation = last?.member.incarnation === incarnation;
      if (isSameIncarnation && peer.sequence <= last.sequence) return false;
      if (last && !isSameIncarnation && last.member.state !== 'leaving') {
        const silentMs = Math.round(directPeers.silentMs(last));
        log.warn('A peer ended without leaving.', {peer: hostId, silentMs});
      }
      directPeers.set(peer);
      lostAtMs.delete(hostId);
      refresh(hostId);
      return true;
    },
    wasSettled(hostId, incarnation) {
      const last = directPeers.getLast(hostId);
      return last?.member.incarnation === incarnation && last.isSettled;
    },
    applyView(view, fromHostId) {
      const from = directPeers.get(fromHostId)?.member;
      if (!from) return;
      if (isCoordinator()) {
        // A new coordinator asks for views until it is settled. Later, a view
        // comes only from a host that knows other coordinators ranked above
        // this one.
        const isAuthoritative = !isSettled() && findLeader() === fromHostId;
        reportedMembers.applyView(view, from, isAuthoritative);
        return;
      }
      const leader = findLeader();
      if (leader === undefined || leader === fromHostId) {
        reportedMembers.applyView(view, from, leader === fromHostId);
      } else if (coordinatorIds().includes(fromHostId)) {
        reportedMembers.renew();
      }
    },
    noteStateSent(hostId) {
      if (!firstSentAtMs.has(hostId)) firstSentAtMs.set(hostId, clock.nowMs());
    },
    tick() {
      checkSuspension();
      removeSilentPeers();
      updateCoordinatorRole();
      if (isSettled()) reportedMembers.clear();
      else reportedMembers.expire();
    },
    overdueMembers() {
      if (!isCoordinator()) return [];
      return directPeers
        .live()
        .filter(isOverdue)
        .map(({member}) => member);
    },
    missedIds() {
      if (!isCoordinator()) return [];
      const missed = live
        .list()
        .map(({hostId}) => hostId)
        .filter(hostId => {
          const peer = directPeers.get(hostId);
          return !peer || isOverdue(peer);
        });
      return [...recentlyLostIds(), ...missed].slice(0, MAX_REPORTED_MISSED);
    },
    view() {
      const memberChanges = recentChanges();
      const self = host.self();
      const capacityDigest = live.capacityDigest() ^ digestCapacity(self);
      return {
        membersDigest: (live.digest() ^ digestMember(self)) >>> 0,
        // Absent as in earlier builds if no capacity is known.
        capacityDigest: capacityDigest >>> 0 || undefined,
        memberChanges,
      };
    },
  };
}
