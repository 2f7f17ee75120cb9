/**
 * What the relays of a deployment tell each other: that they live and serve,
 * what they have promised of the engines, who waits, and which configuration
 * they have.
 *
 * Each datagram holds the whole state of its sender, so that a lost one is
 * made good by the next. Near peers hear a change at once; all others hear the
 * state with the next repeat, less often the more of them there are. Beside
 * that, one peer may be told something that is meant for it alone.
 */

import {hashText} from '../core/hash_text.js';
import type {Clock, TimerHandle} from '../ports/clock.js';
import type {DatagramPort} from '../ports/datagram.js';
import type {Logger} from '../ports/log.js';
import {encodeDatagram} from './peer_codec.js';
import {
  parseDatagram,
  type Announcement,
  type Letter,
  type Peer,
  type PeerMessage,
  type StateDatagram,
} from './peer_datagrams.js';

export type ChangeReach = 'near' | 'all';

export interface PeerExchangeHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly datagrams: DatagramPort;
  announcement(): Announcement;
  onPeer(peer: Peer): void;
  onPeerGone(hostId: string): void;
  /** Whether the peer is to hear of each change at once. */
  isNear(hostId: string): boolean;
  /** Whether others go by what this host tells: it places or reads for them. */
  isHub(): boolean;
  /** Peers that hear all hosts often, and tell the others who fell silent. */
  watcherIds(): ReadonlySet<string>;
  /** A peer told this host something that is meant for it alone. */
  onMessage(fromHostId: string, message: PeerMessage): void;
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
  /**
   * Something has changed that near peers should hear of at once; with `all`,
   * something rare that every peer needs.
   */
  changed(reach?: ChangeReach): void;
  /** Tells one peer something; it may be lost, as all datagrams. */
  tell(hostId: string, message: PeerMessage): void;
  /** Other hosts to talk to, for example from the registry. */
  addAddresses(addresses: readonly string[]): void;
  /** Peers heard of within the time that a live one needs at most. */
  alive(): readonly Peer[];
  /** Peers ever heard of, dead ones too. */
  knownCount(): number;
}

/** Few peers hear the state this often; 9 hosts send 32 datagrams a second each. */
const REPEAT_MS = 250;
/**
 * Many hear it less often: taking a datagram costs a small host some 0.1 ms.
 * Whom a host does not hear often it takes for alive until those that do tell
 * otherwise, so that 68 hosts may leave 2.4 s between two of these datagrams.
 */
const NEAR_REPEAT_PER_PEER_MS = 6;
const FAR_REPEAT_PER_PEER_MS = 36;
/** Hosts that place or read for all tell their state to all more often. */
const HUB_REPEAT_PER_PEER_MS = 12;
/** Changes closer together than this go out as one. */
const GATHER_MS = 4;
/**
 * Beyond this many near peers changes are gathered for longer, so that what a
 * host sends does not grow with their square: with 90 hosts 0.24 s, or some
 * 250 kB a second of a host's link, where 4 ms would be more than it carries.
 */
const FEW_PEERS = 32;
const GATHER_PER_PEER_MS = 4;
/** Repeats are spread over this part of their interval. */
const SPREAD_SHARE = 0.35;
const UINT32_RANGE = 2 ** 32;
/** Three repeats in a row lost, or the peer is dead, frozen or cut off. */
const SILENT_REPEATS = 3.6;
/**
 * A peer that is heard seldom is lost sooner when two of those that hear it
 * often have lost it: callers lose a second each to a dead entry.
 */
const LOSS_REPORTERS = 2;
/** A loss is told for this long, and counts for as long where it is heard. */
const LOSS_TOLD_MS = 3_000;
/** A host that loses a larger share of its peers is likely cut off itself. */
const MOST_LOSSES_SHARE = 0.5;
/** Addresses that never answered are tried this often. */
const PROBE_MS = 1_000;
/** An address that was silent for this long is forgotten, but for the seeds. */
const FORGET_MS = 60_000;
/** Addresses named in one datagram; they take turns. */
const MAX_NAMED = 8;

interface PeerRecord {
  peer: Peer;
  sequence: number;
  isAlive: boolean;
  nextWithinMs: number;
  /** When it fell silent for this host, which hears it often. */
  fellSilentAtMs: number;
  /** Peers that lost it since it was last heard here, and when they said so. */
  readonly reporters: Map<string, number>;
}

/** How a peer stands to this host; unknown while it is not heard. */
type Distance = 'near' | 'watcher' | 'far' | 'unknown';

/** Whether a change goes there before the next repeat. */
const REACHED: Readonly<
  Record<Distance, (reach: ChangeReach | undefined) => boolean>
> = {
  near: reach => reach !== undefined,
  watcher: reach => reach === 'all',
  far: reach => reach === 'all',
  unknown: () => false,
};

/** What an address was told last. */
interface SentRecord {
  /** When the next one goes there at the latest. */
  readonly dueAtMs: number;
}

export function createPeerExchange(
  host: PeerExchangeHost,
  options: PeerExchangeOptions,
): PeerExchange {
  const {clock, log, datagrams} = host;
  const records = new Map<string, PeerRecord>();
  /** When each address was last heard from; seeds never age. */
  const addresses = new Map<string, number>();
  const sent = new Map<string, SentRecord>();
  let sequence = 0;
  let firstNamed = 0;
  /** Near peers when the state was last sent. */
  let nearCount = 0;
  let gatherTimer: TimerHandle | undefined;
  let repeatTimer: TimerHandle | undefined;
  /** Whom the change reaches that waits to be sent. */
  let pendingReach: ChangeReach | undefined;
  let isStopped = false;

  const repeatMs = (perPeerMs: number) =>
    Math.max(REPEAT_MS, perPeerMs * records.size);

  function addAddress(address: string): void {
    if (address === options.peerAddress || addresses.has(address)) return;
    addresses.set(address, clock.nowMs());
  }

  function forgetSilent(nowMs: number): void {
    for (const [address, heardAtMs] of addresses) {
      if (options.seedAddresses.includes(address)) continue;
      if (nowMs - heardAtMs < FORGET_MS) continue;
      addresses.delete(address);
      sent.delete(address);
    }
  }

  function listLive(): readonly PeerRecord[] {
    return [...records.values()].filter(({isAlive}) => isAlive);
  }

  /**
   * Within which time an address is to hear again. Worked out once for all
   * that are sent to: whether this host is a hub takes a look at all peers.
   */
  function findIntervals(): Readonly<Record<Distance, number>> {
    const farPerPeerMs = host.isHub()
      ? HUB_REPEAT_PER_PEER_MS
      : FAR_REPEAT_PER_PEER_MS;
    const nearMs = repeatMs(NEAR_REPEAT_PER_PEER_MS);
    return {
      near: nearMs,
      watcher: nearMs,
      far: repeatMs(farPerPeerMs),
      unknown: PROBE_MS,
    };
  }

  function distanceOf(
    live: PeerRecord | undefined,
    watcherIds: ReadonlySet<string>,
  ): Distance {
    if (!live) return 'unknown';
    const {hostId} = live.peer;
    if (host.isNear(hostId)) return 'near';
    return watcherIds.has(hostId) ? 'watcher' : 'far';
  }

  function gatherMs(): number {
    return GATHER_MS + GATHER_PER_PEER_MS * Math.max(0, nearCount - FEW_PEERS);
  }

  /** A host that was told to expect more by then must get it. */
  function isDue(address: string, nowMs: number): boolean {
    const last = sent.get(address);
    return !last || nowMs >= last.dueAtMs;
  }

  /**
   * Some time before the receiver expects it. Those that are far get theirs at
   * different times: 78 datagrams in one moment overflow a small host's link,
   * the same ones each time, and peers lose a host that lives.
   */
  function dueAtMs(address: string, nowMs: number, intervalMs: number): number {
    // Timers fire a little early or late; a tick is worth half an interval.
    const atMs = nowMs + intervalMs - REPEAT_MS / 2;
    if (intervalMs <= REPEAT_MS) return atMs;
    const draw = hashText(`${address}|${sequence}`) / UINT32_RANGE;
    return atMs - draw * SPREAD_SHARE * intervalMs;
  }

  /** The next few live peers, so that all are named in turn. */
  function nextNamed(): readonly string[] {
    const live = listLive();
    const count = Math.min(MAX_NAMED, live.length);
    const named = Array.from(
      {length: count},
      (_, i) => live[(firstNamed + i) % live.length].peer.peerAddress,
    );
    firstNamed = live.length > 0 ? (firstNamed + count) % live.length : 0;
    return named;
  }

  function lostLately(nowMs: number): readonly string[] {
    const lost = [...records.values()].filter(
      ({isAlive, fellSilentAtMs}) =>
        !isAlive && nowMs - fellSilentAtMs < LOSS_TOLD_MS,
    );
    if (lost.length > MOST_LOSSES_SHARE * records.size) return [];
    return lost.map(({peer}) => peer.hostId);
  }

  /** Sends to all that are due, and a change to those whom it reaches. */
  function send(reach?: ChangeReach): void {
    if (isStopped) return;
    const nowMs = clock.nowMs();
    forgetSilent(nowMs);
    const state = {
      ...host.announcement(),
      from: options.hostId,
      incarnation: options.incarnation,
      sequence: ++sequence,
      known: nextNamed(),
      lost: lostLately(nowMs),
    };
    const liveByAddress = new Map(
      listLive().map(record => [record.peer.peerAddress, record]),
    );
    const intervalsMs = findIntervals();
    const watcherIds = host.watcherIds();
    const payloads = new Map<number, Buffer>();
    nearCount = 0;
    for (const address of addresses.keys()) {
      const distance = distanceOf(liveByAddress.get(address), watcherIds);
      const nextWithinMs = intervalsMs[distance];
      if (distance === 'near') nearCount++;
      if (!REACHED[distance](reach) && !isDue(address, nowMs)) continue;
      let payload = payloads.get(nextWithinMs);
      if (!payload) {
        const datagram: StateDatagram = {...state, nextWithinMs};
        payload = encodeDatagram(datagram);
        payloads.set(nextWithinMs, payload);
      }
      sent.set(address, {dueAtMs: dueAtMs(address, nowMs, nextWithinMs)});
      datagrams.send(address, payload);
    }
  }

  function sendChange(): void {
    const reach = pendingReach;
    gatherTimer = undefined;
    pendingReach = undefined;
    send(reach);
  }

  function repeat(): void {
    checkSilent();
    send();
    if (!isStopped) repeatTimer = clock.setTimer(REPEAT_MS, repeat);
  }

  function checkSilent(): void {
    const nowMs = clock.nowMs();
    for (const record of records.values()) {
      if (!record.isAlive) continue;
      const silentMs = nowMs - record.peer.heardAtMs;
      if (silentMs >= SILENT_REPEATS * record.nextWithinMs) {
        // Only what a host saw itself is told on: hearsay that is told on
        // comes back, and the peer is lost again and again.
        if (isHeardOften(record)) record.fellSilentAtMs = nowMs;
        lose(record, `silent for ${Math.round(silentMs)} ms`);
      }
    }
  }

  function lose(record: PeerRecord, reason: string): void {
    record.isAlive = false;
    log.info('Peer lost.', {peer: record.peer.hostId, reason});
    host.onPeerGone(record.peer.hostId);
  }

  function isHeardOften({nextWithinMs}: PeerRecord): boolean {
    return nextWithinMs <= repeatMs(NEAR_REPEAT_PER_PEER_MS);
  }

  function learnLosses(reporter: string, lost: readonly string[]): void {
    const nowMs = clock.nowMs();
    for (const hostId of lost) {
      const record = records.get(hostId);
      if (!record?.isAlive || isHeardOften(record)) continue;
      record.reporters.set(reporter, nowMs);
      const count = [...record.reporters.values()].filter(
        atMs => nowMs - atMs < LOSS_TOLD_MS,
      ).length;
      if (count >= LOSS_REPORTERS) lose(record, 'lost by its neighbours');
    }
  }

  function receive(fromAddress: string, payload: Uint8Array): void {
    const datagram = parseDatagram(payload);
    if (!datagram || datagram.from === options.hostId || isStopped) return;
    if ('message' in datagram) {
      host.onMessage(datagram.from, datagram.message);
      return;
    }
    const {from, incarnation, known, lost, nextWithinMs, ...announcement} =
      datagram;
    const before = records.get(from);
    const isSameLife = before?.peer.incarnation === incarnation;
    // Datagrams overtake each other; an older state must not come back.
    if (isSameLife && datagram.sequence <= before.sequence) return;
    const isNew = !before?.isAlive || !isSameLife;
    const nowMs = clock.nowMs();
    const peer: Peer = {
      ...announcement,
      hostId: from,
      incarnation,
      peerAddress: fromAddress,
      heardAtMs: nowMs,
    };
    records.set(from, {
      peer,
      sequence: datagram.sequence,
      isAlive: true,
      nextWithinMs,
      fellSilentAtMs: Number.NEGATIVE_INFINITY,
      reporters: new Map(),
    });
    addresses.set(fromAddress, nowMs);
    for (const address of known) addAddress(address);
    learnLosses(from, lost);
    if (isNew) {
      log.info('Peer heard.', {peer: from, state: peer.state});
      host.onPeer(peer);
      // It may not know this host yet.
      changed();
    } else {
      host.onPeer(peer);
    }
  }

  function changed(reach: ChangeReach = 'near'): void {
    if (pendingReach !== 'all') pendingReach = reach;
    if (gatherTimer || isStopped) return;
    gatherTimer = clock.setTimer(gatherMs(), sendChange);
  }

  return {
    start() {
      for (const address of options.seedAddresses) addAddress(address);
      datagrams.onReceive(receive);
      repeat();
    },
    stop() {
      isStopped = true;
      if (gatherTimer) clock.clearTimer(gatherTimer);
      if (repeatTimer) clock.clearTimer(repeatTimer);
    },
    changed,
    tell(hostId, message) {
      const record = records.get(hostId);
      if (!record || isStopped) return;
      const letter: Letter = {from: options.hostId, message};
      const payload = encodeDatagram(letter);
      datagrams.send(record.peer.peerAddress, payload);
    },
    addAddresses(added) {
      for (const address of added) addAddress(address);
    },
    knownCount: () => records.size,
    alive() {
      checkSilent();
      return listLive().map(({peer}) => peer);
    },
  };
}
