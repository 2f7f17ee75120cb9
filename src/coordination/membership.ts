/**
 * Tracks which router hosts are running, by gossip over datagrams, and
 * distributes facts on the same datagrams.
 *
 * Traffic is bounded per datagram and, by a token bucket, per second; a burst
 * of failures delays updates but does not increase traffic. Each ping carries
 * a digest of some members, which detects and repairs differences left by lost
 * datagrams or network partitions.
 */

import type {Clock, TimerHandle} from '../ports/clock.js';
import type {DatagramPort} from '../ports/datagram.js';
import type {Random} from '../ports/random.js';
import type {ListedHost} from '../ports/table.js';
import {createByteBudget} from './byte_budget.js';
import type {ChangeChannel} from './change_channel.js';
import {createDatagramSealer} from './datagram_seal.js';
import {createFactGossip, type FactStore} from './facts.js';
import {createFailureDetector} from './failure_detector.js';
import {createGossipQueue} from './gossip_queue.js';
import {
  createMembershipCodec,
  getFactSizeBytes,
  getMemberSizeBytes,
  withoutDetails,
  type DatagramName,
  type MembershipMessage,
  type SentFact,
} from './membership_codec.js';
import {createMemberTable, type MemberChange} from './member_table.js';
import {
  isNewer,
  isRunning,
  type Bucket,
  type Member,
} from './member_records.js';
import {createPageReader} from './page_reader.js';

export type {Member, MemberState} from './member_records.js';
export type {MemberChange} from './member_table.js';

export interface MembershipHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly datagrams: DatagramPort;
}

export interface MembershipOptions {
  readonly hostId: string;
  readonly failureDomain: string;
  /** Address for peers, `ip:port`. */
  readonly address: string;
  /** Address for callers, `ip:port`. */
  readonly callerAddress: string;
  /** Secret shared by all peers. */
  readonly peerKey: string;
  readonly probeIntervalMs: number;
  readonly suspicionMs: number;
  /** Bytes sent per second, including UDP and IP headers. */
  readonly sendBudgetBytesPerSecond?: number;
}

export interface MembershipCounts {
  readonly sentBytes: number;
  readonly sentDatagrams: number;
  readonly receivedBytes: number;
  readonly receivedDatagrams: number;
  readonly refusedDatagrams: number;
}

export interface Membership {
  start(): void;
  /** Adds hosts of a host list and marks those that are leaving. */
  applyHostList(hosts: readonly ListedHost[]): void;
  /** Returns the members believed to be running, including this host. */
  members(): readonly Member[];
  get(hostId: string): Member | undefined;
  self(): Member;
  readonly changes: ChangeChannel<MemberChange>;
  readonly facts: FactStore;
  /** Announces that this host takes no new work; it still answers probes. */
  leave(): void;
  /** Announces the departure if `leave` was called, and stops. */
  stop(): void;
  counts(): MembershipCounts;
}

/** IP and UDP headers. */
const HEADER_BYTES = 28;
const DEFAULT_BUDGET_BYTES_PER_SECOND = 900;
/** Budget for pages, which are mostly requested by starting hosts. */
const PAGE_BUDGET_BYTES_PER_SECOND = 2_000;
/** A host counts as settled after this time even if members are missing. */
const SETTLE_MS = 60_000;
const MAX_PIGGYBACK_BYTES = 380;
/** Share of the space that relayed facts may use before member records. */
const RELAYED_FACTS_SHARE = 0.4;
const MAX_REPAIR_BYTES = 700;
const MAX_PAGE_BYTES = 1_000;
const MEMBERS_PER_BUCKET = 8;
const LEAVE_FANOUT = 24;
/** Members sent an update immediately, in addition to the regular pings. */
const UPDATE_FANOUT = 4;
/** Collects updates that arrive within this time into one datagram. */
const UPDATE_DELAY_MS = 20;
/** Share of a second's budget that must be available for immediate updates. */
const UPDATE_BUDGET_SHARE = 0.4;
const MAX_PENDING_RELAYS = 256;
/** Interval of pings to members believed gone, to repair partitions. */
const RECONTACT_INTERVAL_MS = 2_000;
const GONE_RETENTION_MS = 600_000;

const sumBytes = (list: readonly Member[]) =>
  list.reduce((sum, member) => sum + getMemberSizeBytes(member), 0);
const sumFactBytes = (list: readonly SentFact[]) =>
  list.reduce((sum, fact) => sum + getFactSizeBytes(fact), 0);

interface Relay {
  readonly requesterAddress: string;
  readonly sequence: number;
}

export function createMembership(
  host: MembershipHost,
  options: MembershipOptions,
): Membership {
  const {clock, random, datagrams} = host;
  const codec = createMembershipCodec(createDatagramSealer(options.peerKey));
  const members = createMemberTable(clock, {
    hostId: options.hostId,
    address: options.address,
    callerAddress: options.callerAddress,
    failureDomain: options.failureDomain,
    incarnation: Math.max(1, Math.floor(clock.wallMs() / 1_000)),
    refutation: 0,
    state: 'alive',
  });
  const facts = createFactGossip(clock, () => scheduleUpdates());
  /** State changes are sent before joins, which the host list also contains. */
  const stateUpdates = createGossipQueue<string>();
  const joinUpdates = createGossipQueue<string>();
  const relays = new Map<number, Relay>();
  const counts = {
    sentBytes: 0,
    sentDatagrams: 0,
    receivedBytes: 0,
    receivedDatagrams: 0,
    refusedDatagrams: 0,
  };
  const budgetBytes =
    options.sendBudgetBytesPerSecond ?? DEFAULT_BUDGET_BYTES_PER_SECOND;
  const budget = createByteBudget(clock, budgetBytes);
  const pageBudget = createByteBudget(clock, PAGE_BUDGET_BYTES_PER_SECOND);
  const startedAtMs = clock.nowMs();
  let relaySequence = random.nextInt(2 ** 30) + 2 ** 31;
  let lastBucket = random.nextInt(2 ** 16);
  let isStopped = false;
  let areUpdatesScheduled = false;
  /** Records from a page are known to other members and are not forwarded. */
  let isReadingPage = false;
  const timers = new Set<TimerHandle>();

  const detector = createFailureDetector(
    {
      clock,
      random,
      members,
      ping: (target, sequence) => sendPing(target, sequence),
      requestPing: (relay, target, sequence) =>
        send(relay.address, 'ping-request', {
          sequence,
          targetAddress: target.address,
        }),
    },
    options,
  );

  const pages = createPageReader({
    schedule: (delayMs, callback) => schedule(delayMs, callback),
    running: () => members.running(),
    request(cursor) {
      const peer = pickOther(members.running());
      if (peer) send(peer.address, 'page-request', {cursor});
    },
  });

  members.changes.listen(({before, member}) => {
    const isUpdate =
      !before ||
      before.state !== member.state ||
      before.refutation !== member.refutation ||
      before.incarnation !== member.incarnation;
    // All members read the same host list, so its entries are not forwarded.
    if (!isUpdate || member.incarnation === 0) return;
    const {hostId} = member;
    const isJoin = member.state === 'alive' && member.refutation === 0;
    const isOwn = hostId === options.hostId;
    if (isJoin && !isOwn && (isReadingPage || !isSettled())) return;
    // A suspicion is not urgent: its originator decides and tells the suspect.
    if (member.state !== 'suspect') scheduleUpdates();
    if (isJoin) joinUpdates.add(hostId, hostId, getMemberSizeBytes(member));
    else
      stateUpdates.add(
        hostId,
        hostId,
        getMemberSizeBytes(withoutDetails(member)),
      );
  });

  /**
   * A starting host learns the other members from pages and does not forward
   * them; otherwise a mass start would fill every datagram for minutes.
   */
  const isSettled = () =>
    pages.isComplete() || clock.nowMs() - startedAtMs > SETTLE_MS;

  /** A new host sends its addresses with its record for some time. */
  function getOwnSender(): Member {
    const isNew = clock.nowMs() - startedAtMs < SETTLE_MS / 2;
    return isNew ? members.self() : withoutDetails(members.self());
  }

  function takeUpdates(roomBytes: number): readonly Member[] {
    const memberCount = members.running().length;
    const urgent = stateUpdates
      .take(roomBytes, memberCount)
      .flatMap(hostId => members.get(hostId) ?? [])
      .map(withoutDetails);
    const leftBytes = roomBytes - sumBytes(urgent);
    const joins = joinUpdates
      .take(leftBytes, memberCount)
      .flatMap(hostId => members.get(hostId) ?? []);
    return [...urgent, ...joins];
  }

  interface Piggyback {
    readonly members: readonly Member[];
    readonly facts: readonly SentFact[];
  }

  /** Takes relayed facts, member updates and own facts, in this order. */
  function takePiggyback(roomBytes: number, hasOwnSender: boolean): Piggyback {
    if (roomBytes <= 0) return {members: [], facts: []};
    const memberCount = members.running().length;
    // A relayed answer carries another sender, so it must not carry own facts.
    const relayed = hasOwnSender
      ? facts.takeRelayed(roomBytes * RELAYED_FACTS_SHARE, memberCount)
      : [];
    let leftBytes = roomBytes - sumFactBytes(relayed);
    const updates = takeUpdates(leftBytes);
    leftBytes -= sumBytes(updates);
    const own = hasOwnSender ? facts.takeOwn(leftBytes) : [];
    return {members: updates, facts: [...relayed, ...own]};
  }

  interface SendExtra {
    readonly sequence?: number;
    readonly targetAddress?: string;
    readonly digest?: MembershipMessage['digest'];
    readonly cursor?: string;
    readonly members?: readonly Member[];
    /** Replaces this host's own record in a relayed answer. */
    readonly sender?: Member;
  }

  function send(address: string, kind: DatagramName, extra: SendExtra): void {
    if (address === '' || isStopped) return;
    const requiredMembers = extra.members ?? [];
    const roomBytes =
      Math.min(MAX_PIGGYBACK_BYTES, budget.left()) - sumBytes(requiredMembers);
    const piggyback = takePiggyback(roomBytes, extra.sender === undefined);
    const datagram = codec.encode({
      kind,
      sequence: extra.sequence ?? 0,
      sender: extra.sender ?? getOwnSender(),
      targetAddress: extra.targetAddress,
      digest: extra.digest,
      cursor: extra.cursor,
      members: [...requiredMembers, ...piggyback.members],
      facts: piggyback.facts,
    });
    const sizeBytes = datagram.length + HEADER_BYTES;
    counts.sentDatagrams++;
    counts.sentBytes += sizeBytes;
    (kind === 'page' ? pageBudget : budget).take(sizeBytes);
    datagrams.send(address, datagram);
  }

  function nextBucket(): Bucket {
    const buckets = Math.max(1, members.running().length / MEMBERS_PER_BUCKET);
    const bits = Math.ceil(Math.log2(buckets));
    lastBucket = (lastBucket + 1) % 2 ** bits;
    return {bits, bucket: lastBucket};
  }

  function sendPing(target: Member, sequence: number): void {
    const of = nextBucket();
    // Includes the record of a suspected target so that it can refute it.
    const isSuspectedOrGone = target.state === 'suspect' || !isRunning(target);
    send(target.address, 'ping', {
      sequence,
      digest: {of, value: members.digest(of)},
      members: isSuspectedOrGone ? [withoutDetails(target)] : [],
    });
  }

  /** Returns the records of a bucket in which this host and the sender differ. */
  function getRepair(message: MembershipMessage): readonly Member[] {
    const digest = message.digest;
    if (!digest || members.digest(digest.of) === digest.value) return [];
    const roomBytes = Math.min(MAX_REPAIR_BYTES, budget.left());
    const found = [...members.inBucket(digest.of)];
    return takeFitting(rotateRandomly(found), roomBytes);
  }

  function rotateRandomly<T>(items: readonly T[]): readonly T[] {
    const start = random.nextInt(Math.max(1, items.length));
    return [...items.slice(start), ...items.slice(0, start)];
  }

  function takeFitting(from: readonly Member[], roomBytes: number): Member[] {
    let leftBytes = roomBytes;
    const taken: Member[] = [];
    for (const member of from) {
      leftBytes -= getMemberSizeBytes(member);
      if (leftBytes < 0) break;
      taken.push(member);
    }
    return taken;
  }

  type Handler = (fromAddress: string, message: MembershipMessage) => void;

  const handlers: Readonly<Record<DatagramName, Handler>> = {
    ping(fromAddress, message) {
      const {sequence} = message;
      send(fromAddress, 'ack', {sequence, members: getRepair(message)});
    },
    ack(_fromAddress, message) {
      const relay = relays.get(message.sequence);
      if (relay) {
        relays.delete(message.sequence);
        const {sequence} = relay;
        const {sender} = message;
        send(relay.requesterAddress, 'ack', {sequence, sender});
        return;
      }
      detector.handleAck(message.sender.hostId, message.sequence);
    },
    'ping-request'(fromAddress, message) {
      relaySequence = 2 ** 31 + ((relaySequence + 1) % 2 ** 31);
      const {sequence} = message;
      relays.set(relaySequence, {requesterAddress: fromAddress, sequence});
      if (relays.size > MAX_PENDING_RELAYS) {
        relays.delete(relays.keys().next().value!);
      }
      send(message.targetAddress ?? '', 'ping', {sequence: relaySequence});
    },
    'page-request'(fromAddress, message) {
      // Without an answer the requester times out and asks another member.
      if (!pageBudget.hasCapacity()) return;
      const from = message.cursor ?? '';
      const rest = [...members.running()]
        .filter(member => member.hostId >= from)
        .sort((a, b) => (a.hostId < b.hostId ? -1 : 1));
      const page = takeFitting(rest, MAX_PAGE_BYTES);
      const next = rest.at(page.length)?.hostId ?? '';
      send(fromAddress, 'page', {cursor: next, members: page});
    },
    page(_fromAddress, message) {
      pages.handlePage(message.cursor ?? '');
    },
    news() {},
  };

  function applyReceived(record: Member): void {
    const before = members.get(record.hostId);
    members.apply(record);
    const isEcho =
      before !== undefined &&
      before === members.get(record.hostId) &&
      !isNewer(before, record);
    if (!isEcho) return;
    joinUpdates.recordEcho(record.hostId);
    stateUpdates.recordEcho(record.hostId);
  }

  function receive(fromAddress: string, datagram: Uint8Array): void {
    if (isStopped) return;
    counts.receivedDatagrams++;
    counts.receivedBytes += datagram.length + HEADER_BYTES;
    const message = codec.decode(datagram);
    if (!message) {
      counts.refusedDatagrams++;
      return;
    }
    members.apply(message.sender);
    isReadingPage = message.kind === 'page';
    message.members.forEach(applyReceived);
    isReadingPage = false;
    for (const fact of message.facts) {
      facts.receive(fact, message.sender.hostId);
    }
    handlers[message.kind](fromAddress, message);
  }

  function schedule(delayMs: number, callback: () => void): void {
    const timer = clock.setTimer(delayMs, () => {
      timers.delete(timer);
      if (!isStopped) callback();
    });
    timers.add(timer);
  }

  function pickOther(from: readonly Member[]): Member | undefined {
    const others = from.filter(member => member.hostId !== options.hostId);
    return others[random.nextInt(Math.max(1, others.length))];
  }

  function recontact(): void {
    members.removeGone(GONE_RETENTION_MS);
    const peer = pickOther(members.gone());
    if (peer) sendPing(peer, 0);
    schedule(RECONTACT_INTERVAL_MS * (0.5 + random.nextFloat()), recontact);
  }

  /**
   * Sends updates to a few members without waiting for the next ping. If a
   * burst has used up the budget, updates go out with regular pings only.
   */
  function scheduleUpdates(): void {
    if (areUpdatesScheduled) return;
    areUpdatesScheduled = true;
    schedule(UPDATE_DELAY_MS * (0.5 + random.nextFloat()), () => {
      areUpdatesScheduled = false;
      if (budget.left() < budgetBytes * UPDATE_BUDGET_SHARE) return;
      for (let i = 0; i < UPDATE_FANOUT; i++) {
        const peer = pickOther(members.running());
        if (peer) send(peer.address, 'news', {});
      }
    });
  }

  /** Sends the latest updates to some members immediately. */
  function announce(fanout: number): void {
    const others = rotateRandomly(members.running()).filter(
      member => member.hostId !== options.hostId,
    );
    for (const member of others.slice(0, fanout)) {
      send(member.address, 'ping', {});
    }
  }

  function toListedMember(listed: ListedHost): Member {
    const {hostId, address, failureDomain} = listed;
    return {
      hostId,
      address,
      failureDomain,
      callerAddress: '',
      incarnation: 0,
      refutation: 0,
      state: listed.state === 'leaving' ? 'leaving' : 'alive',
    };
  }

  return {
    start() {
      datagrams.onReceive(receive);
      const self = members.self();
      joinUpdates.add(self.hostId, self.hostId, getMemberSizeBytes(self));
      detector.start();
      schedule(RECONTACT_INTERVAL_MS * random.nextFloat(), recontact);
      pages.start();
    },
    applyHostList(hosts) {
      for (const listed of hosts) {
        if (listed.role !== 'router') continue;
        const known = members.get(listed.hostId);
        if (!known) members.apply(toListedMember(listed));
        else if (listed.state === 'leaving' && known.state === 'alive') {
          members.apply({...known, state: 'leaving'});
        }
      }
    },
    members: () => members.running(),
    get: hostId => members.get(hostId),
    self: () => members.self(),
    changes: members.changes,
    facts,
    leave() {
      members.setSelfState('leaving');
      announce(LEAVE_FANOUT);
    },
    stop() {
      if (members.self().state === 'leaving') {
        members.setSelfState('left');
        announce(LEAVE_FANOUT);
      }
      isStopped = true;
      detector.stop();
      timers.forEach(timer => clock.clearTimer(timer));
      timers.clear();
    },
    counts: () => ({...counts}),
  };
}
