/** The datagrams that relays exchange, and their validation. */

import type {PermitMessage} from '../backpressure/permit_messages.js';
import type {LimitRecord} from '../backpressure/upstream_limits.js';
import type {StoreMoment, StoreRevision} from '../../core/store_revision.js';
import type {LossFact} from '../../request/loss_fact.js';
import type {HostLoad} from '../placement/host_load.js';
import type {AccountLevel} from '../accounts/quota_rules.js';
import type {CededTimes} from '../accounts/limit_parts.js';
import type {QuotaMessage} from '../accounts/quota_messages.js';
import type {SpendingRecord} from '../accounts/spending_ledger.js';
import type {PlacementMessage} from '../placement/placement_messages.js';
import type {DecayingSums} from '../placement/pooled_means.js';
import type {SpeedRecord} from '../placement/speed_records.js';
import type {StatisticsSums} from '../placement/shared_statistics.js';
import type {RetryMessage, UnusedRetries} from '../retries/retry_messages.js';
import type {SlotMessage} from '../plain/slot_messages.js';
import type {OriginMessage} from '../resumption/origin_messages.js';
import {toPriority} from '../placement/request_priority.js';
import type {Waiting} from '../placement/wait_rules.js';
import type {MembersView} from './reported_members.js';
import {withValidCapacity, type HostCapacity} from './host_capacity.js';
import type {HostState, Member, MemberChange} from './members.js';
import {decodeDatagram} from './peer_codec.js';
import type {StoreSyncState} from './store_readers.js';

/** A request waiting at a host; its age is as of sending the datagram. */
export interface WaitingRecord {
  readonly service: string;
  readonly ageMs: number;
  /** Time left until the first event would be late; negative once it is. */
  readonly onTimeMs: number;
  readonly giveUpMs: number;
  /** Absent if it is the least urgent of the service's routes, or unknown. */
  readonly priority?: number;
}

/** What one host, or all hosts together, found out about the upstreams. */
export interface UpstreamFindings {
  /** Engines that are currently failing requests. */
  readonly suspects: readonly string[];
  /** Upstreams to which connections fail. */
  readonly unreachable: readonly string[];
  /** Engines that were ordered to change their role. */
  readonly changing: readonly string[];
  /** Statistics on the performance of engines. */
  readonly learned: StatisticsSums;
  /** Requests that crashed engines. */
  readonly losses: readonly LossFact[];
  /** Limits set by upstreams; absent if there are none. */
  readonly limits?: readonly LimitRecord[];
  /**
   * Upstreams that announced that they are leaving; absent if there are none.
   */
  readonly leaving?: readonly string[];
}

/** The part of a state datagram that the relay fills in. */
export interface Announcement extends StoreSyncState, UpstreamFindings {
  readonly state: HostState;
  readonly callerAddress: string;
  readonly failureDomain: string;
  readonly load: HostLoad;
  readonly waiting: readonly WaitingRecord[];
  /**
   * Speeds of engines that this host measured recently. Absent if there is
   * nothing new; earlier records stay in force. Each record is checked where it
   * is used.
   */
  readonly speeds?: readonly SpeedRecord[];
  /** Engines that recently refused requests of this host. */
  readonly full: readonly string[];
  /**
   * Requests to the receiver whose reservations this host now accounts for
   * itself.
   */
  readonly adoptedAskIds: readonly number[];
  /** What this host admitted for client accounts. */
  readonly spending: readonly SpendingRecord[];
  /**
   * How long this host has ceded its parts of the accounts' limits. Absent if
   * there are no limits, and from hosts of earlier builds.
   */
  readonly cededMs?: CededTimes;
  /** Time since the process started. */
  readonly aliveMs: number;
  /** Absent if not known. */
  readonly capacity?: HostCapacity;
  /** Retries that this host leaves to others; absent if known or not shared. */
  readonly unusedRetries?: readonly UnusedRetries[];
}

/**
 * What a coordinator sends to all hosts, about itself and the whole deployment.
 */
export interface Summary extends StoreSyncState, UpstreamFindings {
  /** Engine reservations of all hosts; not included in every view. */
  readonly load?: HostLoad;
  /** Client accounts near their limit. */
  readonly accountLevels: readonly AccountLevel[];
}

/** The last state received from a peer. */
export interface Peer extends Announcement, Member {
  readonly heardAtMs: number;
}

/** A peer and the state of its sync with the store. */
export interface PeerSyncState extends StoreSyncState {
  readonly hostId: string;
  readonly peerAddress: string;
}

/** What a host without a full view asks the receiver to send immediately. */
export type WantedReply = 'state' | 'view';

interface DatagramHeader {
  readonly from: string;
  readonly incarnation: string;
  /** Counts the states and views of this incarnation of the sender. */
  readonly sequence: number;
  /** The sender's next datagram to the receiver is due within this time. */
  readonly nextWithinMs: number;
}

/** The complete state of its sender. */
export interface StateDatagram extends Announcement, DatagramHeader {
  readonly kind: 'state';
  /**
   * In a full mesh: other live hosts, so that a new host can find all by any
   * one.
   */
  readonly known: readonly string[];
  /** Members whose datagrams the sender, as a coordinator, is missing. */
  readonly missedIds: readonly string[];
  readonly wants?: WantedReply;
}

/** A coordinator's summary of the whole deployment, for its followers. */
export interface ViewDatagram extends Summary, DatagramHeader, MembersView {
  readonly kind: 'view';
  readonly state: HostState;
  readonly callerAddress: string;
  readonly failureDomain: string;
  readonly capacity?: HostCapacity;
  /** Every live member has had time to send its state to the sender. */
  readonly isSettled: boolean;
}

/** A message addressed to one host alone. */
export type PeerMessage =
  | PlacementMessage
  | SlotMessage
  | QuotaMessage
  | PermitMessage
  | RetryMessage
  | OriginMessage;

/** A datagram with a message to one peer. */
export interface MessageDatagram {
  readonly kind: 'letter';
  readonly from: string;
  readonly message: PeerMessage;
}

export type PeerDatagram = StateDatagram | ViewDatagram | MessageDatagram;

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function isSums(value: unknown): value is DecayingSums {
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

function isCededTimes(value: unknown): value is CededTimes {
  return isObject(value) && Object.values(value).every(Number.isFinite);
}

function isSyncAndFindings(value: Record<string, unknown>): boolean {
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

const VALIDATORS: Readonly<
  Record<PeerDatagram['kind'], (value: Record<string, unknown>) => boolean>
> = {
  letter: ({message}) => isObject(message),
  view(value) {
    const {memberChanges, accountLevels} = value;
    const lists = [memberChanges, accountLevels];
    return lists.every(list => Array.isArray(list)) && isSyncAndFindings(value);
  },
  state(value) {
    const {known, missedIds, full, waiting, adoptedAskIds, load} = value;
    const {spending, aliveMs, cededMs = {}} = value;
    if (!Number.isFinite(aliveMs) || !isCededTimes(cededMs)) return false;
    const lists = [known, missedIds, full, waiting, adoptedAskIds, spending];
    const hasLists = lists.every(list => Array.isArray(list));
    return hasLists && isObject(load) && isSyncAndFindings(value);
  },
};

function isDatagram(value: Record<string, unknown>): boolean {
  const {kind} = value;
  if (typeof kind !== 'string' || !Object.hasOwn(VALIDATORS, kind))
    return false;
  return VALIDATORS[kind as PeerDatagram['kind']](value);
}

function withValidMember(change: MemberChange): MemberChange {
  if (change?.kind !== 'up' || !isObject(change.member)) return change;
  return {...change, member: withValidCapacity(change.member)};
}

/** Removes invalid capacities; the rest of the datagram is of use. */
function withValidCapacities(datagram: PeerDatagram): PeerDatagram {
  switch (datagram.kind) {
    case 'letter':
      return datagram;
    case 'state':
      return withValidCapacity(datagram);
    case 'view': {
      const memberChanges = datagram.memberChanges.map(withValidMember);
      return withValidCapacity({...datagram, memberChanges});
    }
  }
}

/**
 * Decodes and validates a datagram. Returns undefined for anything invalid: the
 * port is open to any sender, and other versions of the program may use other
 * formats.
 */
export function parseDatagram(payload: Uint8Array): PeerDatagram | undefined {
  try {
    const value = decodeDatagram(payload);
    if (!isObject(value) || typeof value['from'] !== 'string') return undefined;
    if (!isDatagram(value)) return undefined;
    return withValidCapacities(value as unknown as PeerDatagram);
  } catch {
    // Neither of the two formats, so it is not from a peer.
    return undefined;
  }
}

/** Converts a peer's waiting requests to the times of this host's clock. */
export function toLocalWaiting(
  record: WaitingRecord,
  heardAtMs: number,
): Waiting {
  return {
    arrivedAtMs: heardAtMs - record.ageMs,
    onTimeUntilMs: heardAtMs + record.onTimeMs,
    giveUpAtMs: heardAtMs + record.giveUpMs,
    priority: toPriority(record.priority),
  };
}
