/**
 * What the relays of a deployment tell each other: that they live and serve,
 * what they have promised of the engines, who waits, and which configuration
 * they have.
 *
 * Each datagram holds the whole state of its sender, so that a lost one is
 * made good by the next. A change is sent at once, but not more often than
 * every few milliseconds, and the state is repeated while nothing changes.
 */

import type {Clock, TimerHandle} from '../ports/clock.js';
import type {DatagramPort} from '../ports/datagram.js';
import type {Logger} from '../ports/log.js';
import type {LossFact} from '../request/quarantine.js';
import type {HostLoad} from './engine_books.js';
import type {Waiting} from './wait_rules.js';

export type HostState = 'starting' | 'ready' | 'leaving';

/** Who waits at a host: ages when the datagram was sent. */
export interface WaitingRecord {
  readonly service: string;
  readonly ageMs: number;
  /** Until the first event would be late; negative once it is. */
  readonly onTimeMs: number;
  readonly giveUpMs: number;
}

/** The part of a datagram that the relay fills in. */
export interface Announcement {
  readonly state: HostState;
  readonly callerAddress: string;
  readonly failureDomain: string;
  readonly routingVersion: number;
  readonly upstreamRevision: number;
  /** Age of the list of upstreams at this host. */
  readonly upstreamAgeMs: number;
  readonly load: HostLoad;
  readonly waiting: readonly WaitingRecord[];
  /** Engines that fail this host now. */
  readonly suspects: readonly string[];
  /** Upstreams to which this host could not connect. */
  readonly unreachable: readonly string[];
  /** Engines that this host told to change their role. */
  readonly changing: readonly string[];
  /** Requests that crashed engines. */
  readonly losses: readonly LossFact[];
}

/** One peer as it is known here. */
export interface Peer extends Announcement {
  readonly hostId: string;
  readonly peerAddress: string;
  /** Differs for each start of the process. */
  readonly incarnation: string;
  readonly heardAtMs: number;
}

export interface PeerExchangeHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly datagrams: DatagramPort;
  announcement(): Announcement;
  onPeer(peer: Peer): void;
  onPeerGone(hostId: string): void;
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
  /** Something that peers should hear of has changed. */
  changed(): void;
  /** Other hosts to talk to, for example from the registry. */
  addAddresses(addresses: readonly string[]): void;
  /** Peers heard of within the time that a live one needs at most. */
  alive(): readonly Peer[];
  /** Peers ever heard of, dead ones too. */
  knownCount(): number;
}

/** The state is repeated this often; at 9 hosts that is 32 datagrams a second. */
const REPEAT_MS = 250;
/** Each host hears from all others; many hosts repeat less often. */
const REPEAT_PER_PEER_MS = 10;
/** Changes closer together than this go out as one. */
const GATHER_MS = 4;
/**
 * Beyond this many peers changes are gathered for longer, so that what a host
 * sends does not grow with their square: with 90 hosts 0.3 s, or some 250 kB a
 * second of a host's link, where 4 ms would be more than the link carries.
 */
const FEW_PEERS = 16;
const GATHER_PER_PEER_MS = 4;
/** Three repeats in a row lost, or the peer is dead, frozen or cut off. */
const SILENT_REPEATS = 3.6;
/** Addresses that never answered are tried this often. */
const PROBE_MS = 1_000;
/** An address that was silent for this long is forgotten, but for the seeds. */
const FORGET_MS = 60_000;
/** Most addresses named in one datagram. */
const MAX_NAMED = 64;

interface Datagram extends Announcement {
  readonly from: string;
  readonly incarnation: string;
  readonly sequence: number;
  /** Other live hosts, so that a new one finds all by any. */
  readonly known: readonly string[];
}

interface PeerRecord {
  peer: Peer;
  sequence: number;
  isAlive: boolean;
}

export function createPeerExchange(
  host: PeerExchangeHost,
  options: PeerExchangeOptions,
): PeerExchange {
  const {clock, log, datagrams} = host;
  const records = new Map<string, PeerRecord>();
  /** When each address was last heard from; seeds never age. */
  const addresses = new Map<string, number>();
  const probedAtMs = new Map<string, number>();
  let sequence = 0;
  let gatherTimer: TimerHandle | undefined;
  let repeatTimer: TimerHandle | undefined;
  let isStopped = false;

  const repeatMs = () => Math.max(REPEAT_MS, REPEAT_PER_PEER_MS * records.size);

  const gatherMs = () =>
    GATHER_MS + GATHER_PER_PEER_MS * Math.max(0, records.size - FEW_PEERS);

  function addAddress(address: string): void {
    if (address === options.peerAddress || addresses.has(address)) return;
    addresses.set(address, clock.nowMs());
  }

  function isDue(address: string, nowMs: number): boolean {
    const isLive = [...records.values()].some(
      ({isAlive, peer}) => isAlive && peer.peerAddress === address,
    );
    if (isLive) return true;
    const lastMs = probedAtMs.get(address) ?? Number.NEGATIVE_INFINITY;
    return nowMs - lastMs >= PROBE_MS;
  }

  function forgetSilent(nowMs: number): void {
    for (const [address, heardAtMs] of addresses) {
      if (options.seedAddresses.includes(address)) continue;
      if (nowMs - heardAtMs < FORGET_MS) continue;
      addresses.delete(address);
      probedAtMs.delete(address);
    }
  }

  function send(): void {
    if (gatherTimer) clock.clearTimer(gatherTimer);
    gatherTimer = undefined;
    if (isStopped) return;
    const nowMs = clock.nowMs();
    forgetSilent(nowMs);
    const datagram: Datagram = {
      ...host.announcement(),
      from: options.hostId,
      incarnation: options.incarnation,
      sequence: ++sequence,
      known: [...records.values()]
        .filter(({isAlive}) => isAlive)
        .slice(0, MAX_NAMED)
        .map(({peer}) => peer.peerAddress),
    };
    const payload = Buffer.from(JSON.stringify(datagram));
    for (const address of addresses.keys()) {
      if (!isDue(address, nowMs)) continue;
      probedAtMs.set(address, nowMs);
      datagrams.send(address, payload);
    }
  }

  function repeat(): void {
    checkSilent();
    send();
    if (!isStopped) repeatTimer = clock.setTimer(repeatMs(), repeat);
  }

  function checkSilent(): void {
    const nowMs = clock.nowMs();
    for (const record of records.values()) {
      const silentMs = nowMs - record.peer.heardAtMs;
      if (!record.isAlive || silentMs < SILENT_REPEATS * repeatMs()) continue;
      lose(record, `silent for ${Math.round(silentMs)} ms`);
    }
  }

  function lose(record: PeerRecord, reason: string): void {
    record.isAlive = false;
    log.info('Peer lost.', {peer: record.peer.hostId, reason});
    host.onPeerGone(record.peer.hostId);
  }

  function parse(payload: Uint8Array): Datagram | undefined {
    try {
      const text = Buffer.from(payload).toString('utf8');
      const value: unknown = JSON.parse(text);
      const isDatagram =
        typeof value === 'object' && value !== null && 'from' in value;
      return isDatagram ? (value as Datagram) : undefined;
    } catch {
      // Anything may arrive at an open port; it is not from a peer.
      return undefined;
    }
  }

  function receive(fromAddress: string, payload: Uint8Array): void {
    const datagram = parse(payload);
    if (!datagram || datagram.from === options.hostId || isStopped) return;
    const {from, incarnation, known, ...announcement} = datagram;
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
    records.set(from, {peer, sequence: datagram.sequence, isAlive: true});
    addresses.set(fromAddress, nowMs);
    for (const address of known) addAddress(address);
    if (isNew) {
      log.info('Peer heard.', {peer: from, state: peer.state});
      host.onPeer(peer);
      // It may not know this host yet.
      changed();
    } else {
      host.onPeer(peer);
    }
  }

  function changed(): void {
    if (gatherTimer || isStopped) return;
    gatherTimer = clock.setTimer(gatherMs(), send);
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
    addAddresses(added) {
      for (const address of added) addAddress(address);
    },
    knownCount: () => records.size,
    alive() {
      checkSilent();
      return [...records.values()]
        .filter(({isAlive}) => isAlive)
        .map(({peer}) => peer);
    },
  };
}

/** Puts a peer's waiting requests on this host's clock. */
export function toLocalWaiting(
  record: WaitingRecord,
  heardAtMs: number,
): Waiting {
  return {
    arrivedAtMs: heardAtMs - record.ageMs,
    onTimeUntilMs: heardAtMs + record.onTimeMs,
    giveUpAtMs: heardAtMs + record.giveUpMs,
  };
}
