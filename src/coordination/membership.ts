/**
 * Which of our own processes run, agreed by gossip over datagrams, and the
 * facts that ride along.
 *
 * What is sent is bounded for each datagram and, by a token bucket, for each
 * second; a hundred deaths at once make news travel longer, not louder.
 * Digests of a part of the members on each ping find and mend differences
 * that lost datagrams or a split of the network left behind.
 */

import type {Clock, TimerHandle} from '../ports/clock.js';
import type {DatagramPort} from '../ports/datagram.js';
import type {Random} from '../ports/random.js';
import type {ListedHost} from '../ports/table.js';
import {createByteBudget} from './byte_budget.js';
import type {ChangeChannel} from './change_channel.js';
import {createDatagramSealer} from './datagram_seal.js';
import {createFactSpread, type FactStore} from './facts.js';
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
  /** Where our own processes reach this one, `ip:port`. */
  readonly address: string;
  /** Where callers reach this one, `ip:port`. */
  readonly callerAddress: string;
  /** Secret shared by our own processes. */
  readonly peerKey: string;
  readonly probeIntervalMs: number;
  readonly suspicionMs: number;
  /** Bytes sent a second, headers of UDP and IP included. */
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
  /** Hosts to begin with, and hosts that are leaving. Call it for each list. */
  applyHostList(hosts: readonly ListedHost[]): void;
  /** Members thought to run, this host included. */
  members(): readonly Member[];
  get(hostId: string): Member | undefined;
  self(): Member;
  readonly changes: ChangeChannel<MemberChange>;
  readonly facts: FactStore;
  /** Tells all that this host takes no new work. It goes on answering. */
  leave(): void;
  /** Says goodbye if `leave` was called, and stops. */
  stop(): void;
  counts(): MembershipCounts;
}

/** IP and UDP headers. */
const HEADER_BYTES = 28;
const DEFAULT_BUDGET_BYTES_PER_SECOND = 900;
/** For pages, which only hosts that start ask for. */
const PAGE_BUDGET_BYTES_PER_SECOND = 2_000;
/** After this a host counts as settled whatever it lacks. */
const SETTLE_MS = 60_000;
const MAX_PIGGYBACK_BYTES = 380;
/** Part of the room that facts to pass on may take before members. */
const RELAYED_FACTS_SHARE = 0.4;
const MAX_REPAIR_BYTES = 700;
const MAX_PAGE_BYTES = 1_000;
const MEMBERS_PER_BUCKET = 8;
const FAREWELL_FANOUT = 24;
/** Members told soon after this host hears news, beside the regular pings. */
const NEWS_FANOUT = 4;
/** News that come together go together. */
const NEWS_DELAY_MS = 20;
/** Part of a second of the budget that must be left for it. */
const NEWS_BUDGET_SHARE = 0.4;
const RELAY_MEMORY = 256;
/** How often a member thought gone is pinged, so that a split heals. */
const RECONTACT_MS = 2_000;
const FORGET_GONE_MS = 600_000;

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
  const facts = createFactSpread(clock, () => scheduleNews());
  /** Changes of state go before joins, which the host list shows as well. */
  const stateNews = createGossipQueue<string>();
  const joinNews = createGossipQueue<string>();
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
  let bucketTurn = random.nextInt(2 ** 16);
  let isStopped = false;
  let isNewsScheduled = false;
  /** What a page says is known to others already and not passed on. */
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
    later: (delayMs, act) => later(delayMs, act),
    running: () => members.running(),
    request(cursor) {
      const peer = pickOther(members.running());
      if (peer) send(peer.address, 'page-request', {cursor});
    },
  });

  members.changes.listen(({before, member}) => {
    const isNews =
      !before ||
      before.state !== member.state ||
      before.refutation !== member.refutation ||
      before.incarnation !== member.incarnation;
    // A host known from the list alone is known to all from the same list.
    if (!isNews || member.incarnation === 0) return;
    const {hostId} = member;
    const isJoin = member.state === 'alive' && member.refutation === 0;
    const isOwn = hostId === options.hostId;
    if (isJoin && !isOwn && (isReadingPage || !isSettled())) return;
    // A suspicion is not urgent: its finder decides, and tells the suspect.
    if (member.state !== 'suspect') scheduleNews();
    if (isJoin) joinNews.add(hostId, hostId, getMemberSizeBytes(member));
    else
      stateNews.add(hostId, hostId, getMemberSizeBytes(withoutDetails(member)));
  });

  /**
   * A host that starts learns the others from pages. Were it to pass them on
   * as news too, a mass start would fill every datagram for minutes.
   */
  const isSettled = () =>
    pages.hasAll() || clock.nowMs() - startedAtMs > SETTLE_MS;

  /** Those that a new host meets first learn its addresses from itself. */
  function getOwnSender(): Member {
    const isNew = clock.nowMs() - startedAtMs < SETTLE_MS / 2;
    return isNew ? members.self() : withoutDetails(members.self());
  }

  function takeNews(roomBytes: number): readonly Member[] {
    const memberCount = members.running().length;
    const urgent = stateNews
      .take(roomBytes, memberCount)
      .flatMap(hostId => members.get(hostId) ?? [])
      .map(withoutDetails);
    const leftBytes = roomBytes - sumBytes(urgent);
    const joins = joinNews
      .take(leftBytes, memberCount)
      .flatMap(hostId => members.get(hostId) ?? []);
    return [...urgent, ...joins];
  }

  interface Riders {
    readonly members: readonly Member[];
    readonly facts: readonly SentFact[];
  }

  /** What rides on a datagram: facts to pass on, members, then own facts. */
  function takeRiders(roomBytes: number, hasOwnSender: boolean): Riders {
    if (roomBytes <= 0) return {members: [], facts: []};
    const memberCount = members.running().length;
    // A relayed answer names another sender, which facts are not from.
    const relayed = hasOwnSender
      ? facts.takeRelayed(roomBytes * RELAYED_FACTS_SHARE, memberCount)
      : [];
    let leftBytes = roomBytes - sumFactBytes(relayed);
    const spread = takeNews(leftBytes);
    leftBytes -= sumBytes(spread);
    const own = hasOwnSender ? facts.takeOwn(leftBytes) : [];
    return {members: spread, facts: [...relayed, ...own]};
  }

  interface SendExtra {
    readonly sequence?: number;
    readonly targetAddress?: string;
    readonly digest?: MembershipMessage['digest'];
    readonly cursor?: string;
    readonly members?: readonly Member[];
    /** Sent in place of this host's own record, for a relayed answer. */
    readonly sender?: Member;
  }

  function send(address: string, kind: DatagramName, extra: SendExtra): void {
    if (address === '' || isStopped) return;
    const given = extra.members ?? [];
    const roomBytes =
      Math.min(MAX_PIGGYBACK_BYTES, budget.left()) - sumBytes(given);
    const riders = takeRiders(roomBytes, extra.sender === undefined);
    const datagram = codec.encode({
      kind,
      sequence: extra.sequence ?? 0,
      sender: extra.sender ?? getOwnSender(),
      targetAddress: extra.targetAddress,
      digest: extra.digest,
      cursor: extra.cursor,
      members: [...given, ...riders.members],
      facts: riders.facts,
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
    bucketTurn = (bucketTurn + 1) % 2 ** bits;
    return {bits, bucket: bucketTurn};
  }

  function sendPing(target: Member, sequence: number): void {
    const of = nextBucket();
    // Tells the target what is held against it, so that it can contradict.
    const isAccused = target.state === 'suspect' || !isRunning(target);
    send(target.address, 'ping', {
      sequence,
      digest: {of, value: members.digest(of)},
      members: isAccused ? [withoutDetails(target)] : [],
    });
  }

  /** Records of the part in which we and the sender differ. */
  function getRepair(message: MembershipMessage): readonly Member[] {
    const digest = message.digest;
    if (!digest || members.digest(digest.of) === digest.value) return [];
    const roomBytes = Math.min(MAX_REPAIR_BYTES, budget.left());
    const found = [...members.inBucket(digest.of)];
    return fill(rotate(found), roomBytes);
  }

  function rotate<T>(items: readonly T[]): readonly T[] {
    const start = random.nextInt(Math.max(1, items.length));
    return [...items.slice(start), ...items.slice(0, start)];
  }

  function fill(from: readonly Member[], roomBytes: number): Member[] {
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
      detector.acknowledged(message.sender.hostId, message.sequence);
    },
    'ping-request'(fromAddress, message) {
      relaySequence = 2 ** 31 + ((relaySequence + 1) % 2 ** 31);
      const {sequence} = message;
      relays.set(relaySequence, {requesterAddress: fromAddress, sequence});
      if (relays.size > RELAY_MEMORY) {
        relays.delete(relays.keys().next().value!);
      }
      send(message.targetAddress ?? '', 'ping', {sequence: relaySequence});
    },
    'page-request'(fromAddress, message) {
      // Over budget: the asker times out and asks another.
      if (!pageBudget.mayTake()) return;
      const from = message.cursor ?? '';
      const rest = [...members.running()]
        .filter(member => member.hostId >= from)
        .sort((a, b) => (a.hostId < b.hostId ? -1 : 1));
      const page = fill(rest, MAX_PAGE_BYTES);
      const next = rest.at(page.length)?.hostId ?? '';
      send(fromAddress, 'page', {cursor: next, members: page});
    },
    page(_fromAddress, message) {
      pages.received(message.cursor ?? '');
    },
    news() {},
  };

  function hear(record: Member): void {
    const before = members.get(record.hostId);
    members.apply(record);
    const isEcho =
      before !== undefined &&
      before === members.get(record.hostId) &&
      !isNewer(before, record);
    if (!isEcho) return;
    joinNews.heardAgain(record.hostId);
    stateNews.heardAgain(record.hostId);
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
    message.members.forEach(hear);
    isReadingPage = false;
    for (const fact of message.facts) {
      facts.receive(fact, message.sender.hostId);
    }
    handlers[message.kind](fromAddress, message);
  }

  function later(delayMs: number, act: () => void): void {
    const timer = clock.setTimer(delayMs, () => {
      timers.delete(timer);
      if (!isStopped) act();
    });
    timers.add(timer);
  }

  function pickOther(from: readonly Member[]): Member | undefined {
    const others = from.filter(member => member.hostId !== options.hostId);
    return others[random.nextInt(Math.max(1, others.length))];
  }

  function recontact(): void {
    members.forgetGone(FORGET_GONE_MS);
    const peer = pickOther(members.gone());
    if (peer) sendPing(peer, 0);
    later(RECONTACT_MS * (0.5 + random.nextFloat()), recontact);
  }

  /**
   * Passes news on within a few round trips. Under a burst the budget is used
   * up, and news then only ride on the regular pings.
   */
  function scheduleNews(): void {
    if (isNewsScheduled) return;
    isNewsScheduled = true;
    later(NEWS_DELAY_MS * (0.5 + random.nextFloat()), () => {
      isNewsScheduled = false;
      if (budget.left() < budgetBytes * NEWS_BUDGET_SHARE) return;
      for (let i = 0; i < NEWS_FANOUT; i++) {
        const peer = pickOther(members.running());
        if (peer) send(peer.address, 'news', {});
      }
    });
  }

  /** Tells some members at once what all will hear. */
  function announce(fanout: number): void {
    const others = rotate(members.running()).filter(
      member => member.hostId !== options.hostId,
    );
    for (const member of others.slice(0, fanout)) {
      send(member.address, 'ping', {});
    }
  }

  function toSeed(listed: ListedHost): Member {
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
      joinNews.add(self.hostId, self.hostId, getMemberSizeBytes(self));
      detector.start();
      later(RECONTACT_MS * random.nextFloat(), recontact);
      pages.start();
    },
    applyHostList(hosts) {
      for (const listed of hosts) {
        if (listed.role !== 'router') continue;
        const known = members.get(listed.hostId);
        if (!known) members.apply(toSeed(listed));
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
      announce(FAREWELL_FANOUT);
    },
    stop() {
      if (members.self().state === 'leaving') {
        members.setSelfState('left');
        announce(FAREWELL_FANOUT);
      }
      isStopped = true;
      detector.stop();
      timers.forEach(timer => clock.clearTimer(timer));
      timers.clear();
    },
    counts: () => ({...counts}),
  };
}
