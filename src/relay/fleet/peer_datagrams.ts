/** What goes between the relays of a deployment, and how it is read. */

import type {PermitMessage} from '../backpressure/permit_messages.js';
import type {LimitRecord} from '../backpressure/upstream_limits.js';
import type {StoreMoment, StoreRevision} from '../../core/store_revision.js';
import type {LossFact} from '../../request/quarantine.js';
import type {HostLoad} from '../placement/host_load.js';
import type {AccountLevel} from '../accounts/quota_rules.js';
import type {QuotaMessage} from '../accounts/quota_messages.js';
import type {SpendingRecord} from '../accounts/spending_ledger.js';
import type {PlacementMessage} from '../placement/placement_messages.js';
import type {FadingSums} from '../placement/pooled_means.js';
import type {LearnedSums} from '../placement/shared_learning.js';
import type {SlotMessage} from '../plain/slot_messages.js';
import type {Waiting} from '../placement/wait_rules.js';
import type {MembersView} from './followed_members.js';
import type {HostState, Member} from './members.js';
import {decodeDatagram} from './peer_codec.js';
import type {StoreKnowledge} from './store_readers.js';

/** Who waits at a host: ages when the datagram was sent. */
export interface WaitingRecord {
  readonly service: string;
  readonly ageMs: number;
  /** Until the first event would be late; negative once it is. */
  readonly onTimeMs: number;
  readonly giveUpMs: number;
}

/** What a host, or all hosts together, found out about the upstreams. */
export interface UpstreamFindings {
  /** Engines that fail requests now. */
  readonly suspects: readonly string[];
  /** Upstreams to which no connection could be made. */
  readonly unreachable: readonly string[];
  /** Engines that were told to change their role. */
  readonly changing: readonly string[];
  /** What was seen of how engines work. */
  readonly learned: LearnedSums;
  /** Requests that crashed engines. */
  readonly losses: readonly LossFact[];
  /** Limits that upstreams name; absent where there are none. */
  readonly limits?: readonly LimitRecord[];
  /** Upstreams that said that they leave; absent where there are none. */
  readonly leaving?: readonly string[];
}

/** The part of a datagram that the relay fills in. */
export interface Announcement extends StoreKnowledge, UpstreamFindings {
  readonly state: HostState;
  readonly callerAddress: string;
  readonly failureDomain: string;
  readonly load: HostLoad;
  readonly waiting: readonly WaitingRecord[];
  /** Engines that refused this host's requests a moment ago. */
  readonly full: readonly string[];
  /** What this host asked the receiver for and has booked by now. */
  readonly adoptedAskIds: readonly number[];
  /** What this host let through for client accounts. */
  readonly spending: readonly SpendingRecord[];
  /** Since its process began. */
  readonly aliveMs: number;
}

/** What a coordinator tells all hosts, of itself and of all. */
export interface Summary extends StoreKnowledge, UpstreamFindings {
  /** What all hosts have promised of the engines; not in each view. */
  readonly load?: HostLoad;
  /** Client accounts near their limit. */
  readonly accountLevels: readonly AccountLevel[];
}

/** One peer as it is known here. */
export interface Peer extends Announcement, Member {
  readonly heardAtMs: number;
}

/** A peer that tells what it knows of the store. */
export interface KnowingPeer extends StoreKnowledge {
  readonly hostId: string;
  readonly peerAddress: string;
}

/** What a host that knows too little wants from the receiver, at once. */
export type WantedReply = 'state' | 'view';

interface DatagramHead {
  readonly from: string;
  readonly incarnation: string;
  /** Of all states and views of this life of the sender. */
  readonly sequence: number;
  /** The receiver hears again within this time. */
  readonly nextWithinMs: number;
}

/** The whole state of its sender. */
export interface StateDatagram extends Announcement, DatagramHead {
  readonly kind: 'state';
  /** Other live hosts, so that a new one finds all by any, where few. */
  readonly known: readonly string[];
  /** Members that this coordinator has not heard when it should have. */
  readonly missedIds: readonly string[];
  readonly wants?: WantedReply;
}

/** What one host knows of all, for those that go by its word. */
export interface ViewDatagram extends Summary, DatagramHead, MembersView {
  readonly kind: 'view';
  readonly state: HostState;
  readonly callerAddress: string;
  readonly failureDomain: string;
  /** Every live member has had time to tell the sender that it lives. */
  readonly isSettled: boolean;
}

/** What one host tells another that is meant for it alone. */
export type PeerMessage =
  PlacementMessage | SlotMessage | QuotaMessage | PermitMessage;

/** A message to one peer. */
export interface Letter {
  readonly kind: 'letter';
  readonly from: string;
  readonly message: PeerMessage;
}

export type PeerDatagram = StateDatagram | ViewDatagram | Letter;

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function isSums(value: unknown): value is FadingSums {
  return isObject(value) && Array.isArray(value['sums']);
}

function isRevision(value: unknown): value is StoreRevision {
  return (
    isObject(value) &&
    Number.isFinite(value['era']) &&
    Number.isFinite(value['counter'])
  );
}

function isMoment(value: unknown): value is StoreMoment {
  return (
    isObject(value) &&
    Number.isFinite(value['era']) &&
    Number.isFinite(value['storeMs'])
  );
}

function hasFindings(value: Record<string, unknown>): boolean {
  const {suspects, unreachable, changing, losses, learned} = value;
  const {routingAges, upstreamAges, listDeltas, sequence} = value;
  const {upstreamRevision} = value;
  const {routingCompleteUntil, limits = [], leaving = []} = value;
  const required = [suspects, unreachable, changing, losses, listDeltas];
  const lists = [...required, limits, leaving];
  const hasLists = lists.every(list => Array.isArray(list));
  const hasAges = isObject(routingAges) && isObject(upstreamAges);
  const hasLearned = isObject(learned) && Object.values(learned).every(isSums);
  const isOfStore =
    isRevision(upstreamRevision) &&
    (routingCompleteUntil === undefined || isMoment(routingCompleteUntil));
  return (
    hasLists && hasAges && hasLearned && isOfStore && Number.isFinite(sequence)
  );
}

const CHECKS: Readonly<
  Record<PeerDatagram['kind'], (value: Record<string, unknown>) => boolean>
> = {
  letter: ({message}) => isObject(message),
  view(value) {
    const {memberChanges, accountLevels} = value;
    const lists = [memberChanges, accountLevels];
    return lists.every(list => Array.isArray(list)) && hasFindings(value);
  },
  state(value) {
    const {known, missedIds, full, waiting, adoptedAskIds, load} = value;
    const {spending, aliveMs} = value;
    if (!Number.isFinite(aliveMs)) return false;
    const lists = [known, missedIds, full, waiting, adoptedAskIds, spending];
    const hasLists = lists.every(list => Array.isArray(list));
    return hasLists && isObject(load) && hasFindings(value);
  },
};

function isDatagram(value: Record<string, unknown>): boolean {
  const {kind} = value;
  if (typeof kind !== 'string' || !Object.hasOwn(CHECKS, kind)) return false;
  return CHECKS[kind as PeerDatagram['kind']](value);
}

/**
 * Undefined for what is not from a peer: anything may arrive at an open port,
 * and another version of the program may say other things.
 */
export function parseDatagram(payload: Uint8Array): PeerDatagram | undefined {
  try {
    const value = decodeDatagram(payload);
    if (!isObject(value) || typeof value['from'] !== 'string') return undefined;
    return isDatagram(value) ? (value as unknown as PeerDatagram) : undefined;
  } catch {
    // Neither of our formats, so not from a peer.
    return undefined;
  }
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
