/**
 * Exchanges state between the relays of a deployment: liveness, engine
 * reservations, waiting requests and configuration versions.
 *
 * Few hosts form a full mesh and send their state to all others. In a larger
 * deployment, each host sends its state to its placers and to three
 * coordinators, which send the list of members and a summary to all others. The
 * traffic of a host other than a coordinator is therefore independent of the
 * number of hosts.
 *
 * Each state and each view is complete, so the next one makes up for a lost
 * one.
 */

import type {TimerHandle} from '../../ports/clock.js';
import type {Member} from './members.js';
import {createMembership} from './membership.js';
import {encodeDatagram} from './peer_codec.js';
import {
  parseDatagram,
  type MessageDatagram,
  type StateDatagram,
  type ViewDatagram,
  type WantedReply,
} from './peer_datagrams.js';
import type {
  ChangeReach,
  PeerExchange,
  PeerExchangeHost,
  PeerExchangeOptions,
} from './peer_exchange_types.js';
import {createProbeAddresses} from './probe_addresses.js';
import {createSendSchedule} from './send_schedule.js';

/** How often a host checks which datagrams are due. */
const TICK_MS = 250;
/** Interval between states in a full mesh. */
const MESH_STATE_INTERVAL_MS = 250;
/** With this interval, coordinators detect a dead host within 2.2 s. */
const STATE_INTERVAL_MS = 600;
/** Interval between the views that a coordinator sends to a host. */
const VIEW_INTERVAL_MS = 500;
/** How often a coordinator checks which views are due. */
const VIEW_TICK_MS = 50;
/**
 * At most this many views are sent per tick, or the share of all hosts below if
 * that is more: hundreds of datagrams at once overflow a small host's link.
 */
const MAX_VIEWS_PER_TICK = 48;
/** The share of all hosts that get a view per tick is one in this many. */
const VIEW_ROUND_TICKS = 6;
/** Changes within this time are sent together. */
const COALESCE_MS = 4;
/** Every nth view tick includes the load of the engines, which is large. */
const LOAD_INTERVAL_TICKS = 5;
/** Maximum number of addresses advertised in one datagram, in rotation. */
const MAX_ADVERTISED = 8;
/** From the narrowest to the widest. */
const REACHES: readonly ChangeReach[] = ['near', 'coordinators', 'all'];

/** A host that receives this host's state. */
interface StateTarget {
  readonly hostId: string;
  readonly address: string;
  readonly isCoordinator: boolean;
  readonly isNear: boolean;
}

export function createPeerExchange(
  host: PeerExchangeHost,
  options: PeerExchangeOptions,
): PeerExchange {
  const {clock, log, datagrams} = host;
  const {hostId: ownId, incarnation, peerAddress} = options;
  const self = (): Member => ({
    hostId: ownId,
    incarnation,
    peerAddress,
    ...host.ownState(),
  });
  const membership = createMembership(
    {
      clock,
      log,
      self,
      onGone: host.onPeerGone,
      onPeerSilent: host.onPeerSilent,
      onChange: host.onMembersChange,
      onLossDetected: () => changed('all'),
      fetchMembers: host.fetchMembers,
    },
    {hostId: ownId, tickMs: TICK_MS},
  );
  const {isMesh, isCoordinator} = membership;
  const probes = createProbeAddresses(clock, {
    ownAddress: peerAddress,
    seedAddresses: options.seedAddresses,
  });
  const stateSchedule = createSendSchedule(clock, TICK_MS);
  const viewSchedule = createSendSchedule(clock, VIEW_TICK_MS);
  let sequence = 0;
  let viewTicks = 0;
  let advertisedOffset = 0;
  let coalesceTimer: TimerHandle | undefined;
  let tickTimer: TimerHandle | undefined;
  let viewTimer: TimerHandle | undefined;
  /** The widest reach of the changes waiting to be sent. */
  let pendingReach: ChangeReach | undefined;
  let isStopped = false;
  let targets: readonly StateTarget[] | undefined;
  /** The list of members from which the targets were computed. */
  let targetsSource: readonly Member[] | undefined;

  /** The next few live peers in rotation, so that all get advertised. */
  function nextAdvertised(): readonly string[] {
    const list = membership.list();
    if (!isMesh() || list.length === 0) return [];
    const count = Math.min(MAX_ADVERTISED, list.length);
    const advertised = Array.from(
      {length: count},
      (_, i) => list[(advertisedOffset + i) % list.length].peerAddress,
    );
    advertisedOffset = (advertisedOffset + count) % list.length;
    return advertised;
  }

  function stateIntervalMs(): number {
    if (isMesh()) return MESH_STATE_INTERVAL_MS;
    // A reader's store state reaches the others through the coordinators.
    return host.isReader() && !isCoordinator()
      ? MESH_STATE_INTERVAL_MS
      : STATE_INTERVAL_MS;
  }

  function wantedReply(): WantedReply | undefined {
    const hasFullView = isCoordinator()
      ? membership.isSettled()
      : membership.isFollowing();
    return hasFullView ? undefined : 'view';
  }

  /** Encodes the state once for all receivers. */
  function createStateSender(): (address: string, wants?: WantedReply) => void {
    const nextWithinMs = stateIntervalMs();
    const payloads = new Map<WantedReply | undefined, Buffer>();
    let state: StateDatagram | undefined;
    return (address, wants = wantedReply()) => {
      state ??= {
        ...host.announcement(),
        kind: 'state',
        from: ownId,
        incarnation,
        sequence: ++sequence,
        nextWithinMs,
        known: nextAdvertised(),
        missedIds: membership.missedIds(),
      };
      const payload = payloads.get(wants) ?? encodeDatagram({...state, wants});
      payloads.set(wants, payload);
      stateSchedule.noteSent(address, nextWithinMs);
      datagrams.send(address, payload);
    };
  }

  /** Encodes the view once for all receivers. */
  function createViewSender(): (address: string) => void {
    let payload: Buffer | undefined;
    return address => {
      payload ??= encodeDatagram(createView());
      viewSchedule.noteSent(address, VIEW_INTERVAL_MS);
      datagrams.send(address, payload);
    };
  }

  function createView(): ViewDatagram {
    return {
      ...host.ownState(),
      ...host.summary(viewTicks % LOAD_INTERVAL_TICKS === 0),
      ...membership.view(),
      kind: 'view',
      from: ownId,
      incarnation,
      sequence: ++sequence,
      nextWithinMs: VIEW_INTERVAL_MS,
      isSettled: membership.isSettled(),
    };
  }

  /** Sends what is due, and a change to the hosts within its reach. */
  function sendDue(reach?: ChangeReach): void {
    if (isStopped) return;
    sendStates(reach);
    if (reach === 'all') viewSchedule.makeAllDue();
    sendProbes();
  }

  /** Recomputed on each tick and when the list of members changes. */
  function findTargets(): readonly StateTarget[] {
    const list = membership.list();
    if (targets && targetsSource === list) return targets;
    const isAll = isMesh();
    const coordinatorIds = new Set(membership.coordinatorIds());
    targetsSource = list;
    targets = list
      .map(({hostId, peerAddress: address}) => ({
        hostId,
        address,
        isCoordinator: coordinatorIds.has(hostId),
        isNear: host.isNear(hostId),
      }))
      .filter(each => isAll || each.isNear || each.isCoordinator);
    return targets;
  }

  function sendStates(reach?: ChangeReach): void {
    const sendState = createStateSender();
    for (const target of findTargets()) {
      const {hostId, address, isNear} = target;
      if (target.isCoordinator) membership.noteStateSent(hostId);
      const isReached = reach !== undefined && (isNear || reach !== 'near');
      if (isReached || stateSchedule.isDue(address)) sendState(address);
    }
  }

  function sendViews(): void {
    const coordinatorIds = new Set(membership.coordinatorIds());
    const due = membership
      .list()
      .filter(({hostId}) => !coordinatorIds.has(hostId))
      .filter(each => viewSchedule.isDue(each.peerAddress));
    const share = Math.ceil(membership.list().length / VIEW_ROUND_TICKS);
    const sendView = createViewSender();
    for (const each of due.slice(0, Math.max(MAX_VIEWS_PER_TICK, share))) {
      sendView(each.peerAddress);
    }
  }

  /** Runs for as long as this host is a coordinator. */
  function viewTick(): void {
    viewTimer = undefined;
    if (isStopped || !isCoordinator()) return;
    viewTicks++;
    sendViews();
    viewTimer = clock.setTimer(VIEW_TICK_MS, viewTick);
  }

  /** In a large deployment, followers do not probe for other hosts. */
  function sendProbes(): void {
    if (!isMesh() && !isCoordinator() && membership.isFollowing()) return;
    const list = membership.list();
    const liveAddresses = new Set(list.map(each => each.peerAddress));
    const sendState = createStateSender();
    for (const address of probes.next(each => liveAddresses.has(each))) {
      sendState(address);
    }
  }

  /**
   * As a coordinator, asks overdue hosts for their state before they count as
   * lost.
   */
  function probeOverdue(): void {
    const sendState = createStateSender();
    for (const member of membership.overdueMembers()) {
      sendState(member.peerAddress, 'state');
    }
  }

  function tick(): void {
    membership.tick();
    targets = undefined;
    sendDue();
    probeOverdue();
    if (!viewTimer) viewTick();
    if (!isStopped) tickTimer = clock.setTimer(TICK_MS, tick);
  }

  function receive(fromAddress: string, payload: Uint8Array): void {
    const datagram = parseDatagram(payload);
    if (!datagram || datagram.from === ownId || isStopped) return;
    switch (datagram.kind) {
      case 'letter':
        host.onMessage(datagram.from, datagram.message);
        return;
      case 'state':
        receiveState(fromAddress, datagram);
        return;
      case 'view':
        receiveView(fromAddress, datagram);
        return;
    }
  }

  /** False for a datagram that arrives after a later one. */
  function recordPeer(
    address: string,
    datagram: StateDatagram | ViewDatagram,
  ): boolean {
    const {from, state, callerAddress, failureDomain} = datagram;
    const isNew = membership.recordPeer({
      member: {
        hostId: from,
        incarnation: datagram.incarnation,
        peerAddress: address,
        callerAddress,
        failureDomain,
        state,
        isStoreReachable: datagram.isStoreReachable,
        capacity: datagram.capacity,
      },
      syncState: {...datagram, hostId: from, peerAddress: address},
      sequence: datagram.sequence,
      heardAtMs: clock.nowMs(),
      nextWithinMs: datagram.nextWithinMs,
      isSettled:
        datagram.kind === 'view'
          ? datagram.isSettled
          : membership.wasSettled(from, datagram.incarnation),
      missedIds: datagram.kind === 'state' ? datagram.missedIds : [],
    });
    if (isNew) probes.noteReceived(address);
    return isNew;
  }

  function receiveState(address: string, datagram: StateDatagram): void {
    const {from, wants} = datagram;
    const wasKnown = membership.hasDirectPeer(from);
    if (!recordPeer(address, datagram)) return;
    if (isMesh()) probes.add(datagram.known);
    const heardAtMs = clock.nowMs();
    host.onPeerState({
      ...datagram,
      hostId: from,
      peerAddress: address,
      heardAtMs,
    });
    // The peer may not know this host yet.
    if (!wasKnown && isMesh()) changed();
    if (wants === 'state') createStateSender()(address);
    if (wants !== 'view' || isMesh()) return;
    if (viewSchedule.isDue(address)) createViewSender()(address);
  }

  function receiveView(address: string, view: ViewDatagram): void {
    if (!recordPeer(address, view)) return;
    membership.applyView(view, view.from);
    host.onSummary(view.from, view);
  }

  function sendChange(): void {
    const reach = pendingReach;
    coalesceTimer = undefined;
    pendingReach = undefined;
    sendDue(reach);
  }

  function changed(reach: ChangeReach = 'near'): void {
    const isWider =
      !pendingReach || REACHES.indexOf(reach) > REACHES.indexOf(pendingReach);
    if (isWider) pendingReach = reach;
    if (coalesceTimer || isStopped) return;
    coalesceTimer = clock.setTimer(COALESCE_MS, sendChange);
  }

  return {
    start() {
      datagrams.onReceive(receive);
      tick();
    },
    stop() {
      isStopped = true;
      if (coalesceTimer) clock.clearTimer(coalesceTimer);
      if (tickTimer) clock.clearTimer(tickTimer);
      if (viewTimer) clock.clearTimer(viewTimer);
    },
    changed,
    sendMessage(hostId, message) {
      const member = membership.find(hostId);
      if (!member || isStopped) return;
      const datagram: MessageDatagram = {kind: 'letter', from: ownId, message};
      datagrams.send(member.peerAddress, encodeDatagram(datagram));
    },
    addAddresses: probes.add,
    alive: membership.list,
    self,
    members: () => [self(), ...membership.list()],
    peerSyncStates: membership.peerSyncStates,
    coordinatorIds: () => (isMesh() ? [] : membership.coordinatorIds()),
    isCoordinator,
    isFollowing: membership.isFollowing,
    isMesh,
    knownCount: membership.knownCount,
  };
}
