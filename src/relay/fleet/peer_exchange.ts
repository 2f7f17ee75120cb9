/**
 * What the relays of a deployment tell each other: that they live and serve,
 * what they have promised of the engines, who waits, and which configuration
 * they have.
 *
 * Few hosts tell each other everything. Of many, each tells its state to the
 * hosts that place for it and to three coordinators; these tell all others who
 * lives and what all need to know. What a host sends and hears is then the same
 * however many they are, but for the coordinators.
 *
 * Each state and each view is whole, so that a lost one is made good by the
 * next.
 */

import type {TimerHandle} from '../../ports/clock.js';
import type {Member} from './members.js';
import {createMembership} from './membership.js';
import {encodeDatagram} from './peer_codec.js';
import {
  parseDatagram,
  type Letter,
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

/** How often a host looks what is due. */
const TICK_MS = 250;
/** Where hosts are few, all hear each other this often. */
const MESH_STATE_MS = 250;
/** Coordinators find a dead host within 2.2 s. */
const STATE_MS = 600;
/** A coordinator repeats what all go by this often. */
const VIEW_MS = 500;
/** It looks this often to whom its view is due. */
const VIEW_TICK_MS = 50;
/**
 * It tells so many at once, or so large a part of all: datagrams to hundreds
 * in one moment overflow a small host's link.
 */
const FEWEST_VIEWS_AT_ONCE = 48;
const VIEW_TICKS_FOR_ALL = 6;
/** Changes closer together than this go out as one. */
const GATHER_MS = 4;
/** Each so many looks a view carries the load of the engines. */
const LOAD_TICKS = 5;
/** Addresses named in one datagram; they take turns. */
const MAX_NAMED = 8;
/** From the narrowest to the widest. */
const REACHES: readonly ChangeReach[] = ['near', 'coordinators', 'all'];

/** A host that is told the state of this one. */
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
      onUnheard: host.onPeerUnheard,
      onChange: host.onMembers,
      onSilent: () => changed('all'),
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
  let firstNamed = 0;
  let gatherTimer: TimerHandle | undefined;
  let tickTimer: TimerHandle | undefined;
  let viewTimer: TimerHandle | undefined;
  /** Whom the change reaches that waits to be sent. */
  let pendingReach: ChangeReach | undefined;
  let isStopped = false;
  let targets: readonly StateTarget[] | undefined;
  /** The members that they were chosen of. */
  let targetsOf: readonly Member[] | undefined;

  /** The next few live peers, so that all are named in turn. */
  function nextNamed(): readonly string[] {
    const list = membership.list();
    if (!isMesh() || list.length === 0) return [];
    const count = Math.min(MAX_NAMED, list.length);
    const named = Array.from(
      {length: count},
      (_, i) => list[(firstNamed + i) % list.length].peerAddress,
    );
    firstNamed = (firstNamed + count) % list.length;
    return named;
  }

  function stateIntervalMs(): number {
    if (isMesh()) return MESH_STATE_MS;
    // What a reader knows reaches the others by way of the coordinators.
    return host.isReader() && !isCoordinator() ? MESH_STATE_MS : STATE_MS;
  }

  function wantedReply(): WantedReply | undefined {
    const knowsAll = isCoordinator()
      ? membership.isSettled()
      : membership.isFollowing();
    return knowsAll ? undefined : 'view';
  }

  /** Encodes the state once for all that get the same. */
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
        known: nextNamed(),
        missedIds: membership.missedIds(),
      };
      const payload = payloads.get(wants) ?? encodeDatagram({...state, wants});
      payloads.set(wants, payload);
      stateSchedule.sent(address, nextWithinMs);
      datagrams.send(address, payload);
    };
  }

  /** Encodes the view once for all that get it. */
  function createViewSender(): (address: string) => void {
    let payload: Buffer | undefined;
    return address => {
      payload ??= encodeDatagram(makeView());
      viewSchedule.sent(address, VIEW_MS);
      datagrams.send(address, payload);
    };
  }

  function makeView(): ViewDatagram {
    const {state, callerAddress, failureDomain} = host.ownState();
    return {
      ...host.summary(viewTicks % LOAD_TICKS === 0),
      ...membership.view(),
      kind: 'view',
      from: ownId,
      incarnation,
      sequence: ++sequence,
      nextWithinMs: VIEW_MS,
      state,
      callerAddress,
      failureDomain,
      isSettled: membership.isSettled(),
    };
  }

  /** To all that are due, and a change to those whom it reaches. */
  function send(reach?: ChangeReach): void {
    if (isStopped) return;
    sendStates(reach);
    if (reach === 'all') viewSchedule.expedite();
    sendProbes();
  }

  /** Worked out anew with each tick and each change of the members. */
  function findTargets(): readonly StateTarget[] {
    const list = membership.list();
    if (targets && targetsOf === list) return targets;
    const isAll = isMesh();
    const coordinatorIds = new Set(membership.coordinatorIds());
    targetsOf = list;
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
      if (target.isCoordinator) membership.noteTold(hostId);
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
    const share = Math.ceil(membership.list().length / VIEW_TICKS_FOR_ALL);
    const sendView = createViewSender();
    for (const each of due.slice(0, Math.max(FEWEST_VIEWS_AT_ONCE, share))) {
      sendView(each.peerAddress);
    }
  }

  /** Goes on for as long as this host coordinates. */
  function viewTick(): void {
    viewTimer = undefined;
    if (isStopped || !isCoordinator()) return;
    viewTicks++;
    sendViews();
    viewTimer = clock.setTimer(VIEW_TICK_MS, viewTick);
  }

  /** Only who knows too little, or whom all go by, looks for other hosts. */
  function sendProbes(): void {
    if (!isMesh() && !isCoordinator() && membership.isFollowing()) return;
    const list = membership.list();
    const liveAddresses = new Set(list.map(each => each.peerAddress));
    const sendState = createStateSender();
    for (const address of probes.next(each => liveAddresses.has(each))) {
      sendState(address);
    }
  }

  /** A coordinator asks late hosts once more before it misses them. */
  function askLate(): void {
    const sendState = createStateSender();
    for (const member of membership.lateMembers()) {
      sendState(member.peerAddress, 'state');
    }
  }

  function tick(): void {
    membership.tick();
    targets = undefined;
    send();
    askLate();
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

  /** False for a datagram that a later one has overtaken. */
  function noteHeard(
    address: string,
    datagram: StateDatagram | ViewDatagram,
  ): boolean {
    const {from, state, callerAddress, failureDomain} = datagram;
    const isNew = membership.noteHeard({
      member: {
        hostId: from,
        incarnation: datagram.incarnation,
        peerAddress: address,
        callerAddress,
        failureDomain,
        state,
        isStoreReachable: datagram.isStoreReachable,
      },
      knowledge: {...datagram, hostId: from, peerAddress: address},
      sequence: datagram.sequence,
      heardAtMs: clock.nowMs(),
      nextWithinMs: datagram.nextWithinMs,
      isSettled:
        datagram.kind === 'view'
          ? datagram.isSettled
          : membership.wasSettled(from, datagram.incarnation),
      missedIds: datagram.kind === 'state' ? datagram.missedIds : [],
    });
    if (isNew) probes.heard(address);
    return isNew;
  }

  function receiveState(address: string, datagram: StateDatagram): void {
    const {from, wants} = datagram;
    const wasHeard = membership.isHeard(from);
    if (!noteHeard(address, datagram)) return;
    if (isMesh()) probes.add(datagram.known);
    const heardAtMs = clock.nowMs();
    host.onPeer({...datagram, hostId: from, peerAddress: address, heardAtMs});
    // It may not know this host yet.
    if (!wasHeard && isMesh()) changed();
    if (wants === 'state') createStateSender()(address);
    if (wants !== 'view' || isMesh()) return;
    if (viewSchedule.isDue(address)) createViewSender()(address);
  }

  function receiveView(address: string, view: ViewDatagram): void {
    if (!noteHeard(address, view)) return;
    membership.follow(view, view.from);
    host.onSummary(view.from, view);
  }

  function sendChange(): void {
    const reach = pendingReach;
    gatherTimer = undefined;
    pendingReach = undefined;
    send(reach);
  }

  function changed(reach: ChangeReach = 'near'): void {
    const isWider =
      !pendingReach || REACHES.indexOf(reach) > REACHES.indexOf(pendingReach);
    if (isWider) pendingReach = reach;
    if (gatherTimer || isStopped) return;
    gatherTimer = clock.setTimer(GATHER_MS, sendChange);
  }

  return {
    start() {
      datagrams.onReceive(receive);
      tick();
    },
    stop() {
      isStopped = true;
      if (gatherTimer) clock.clearTimer(gatherTimer);
      if (tickTimer) clock.clearTimer(tickTimer);
      if (viewTimer) clock.clearTimer(viewTimer);
    },
    changed,
    tell(hostId, message) {
      const member = membership.find(hostId);
      if (!member || isStopped) return;
      const letter: Letter = {kind: 'letter', from: ownId, message};
      datagrams.send(member.peerAddress, encodeDatagram(letter));
    },
    addAddresses: probes.add,
    alive: membership.list,
    members: () => [self(), ...membership.list()],
    heard: membership.knowledge,
    coordinatorIds: () => (isMesh() ? [] : membership.coordinatorIds()),
    isCoordinator,
    isFollowing: membership.isFollowing,
    isMesh,
    knownCount: membership.knownCount,
  };
}
