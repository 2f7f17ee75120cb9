/** What goes between the relays of a deployment, and how it is read. */

import type {LossFact} from '../request/quarantine.js';
import type {HostLoad} from './host_load.js';
import {decodeDatagram} from './peer_codec.js';
import type {PlacementMessage} from './placement_messages.js';
import type {LearnedSums} from './shared_learning.js';
import type {SlotMessage} from './slot_messages.js';
import type {StoreKnowledge} from './store_readers.js';
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
export interface Announcement extends StoreKnowledge {
  readonly state: HostState;
  readonly callerAddress: string;
  readonly failureDomain: string;
  readonly load: HostLoad;
  readonly waiting: readonly WaitingRecord[];
  /** Engines that fail this host now. */
  readonly suspects: readonly string[];
  /** Engines that refused this host's requests a moment ago. */
  readonly full: readonly string[];
  /** Upstreams to which this host could not connect. */
  readonly unreachable: readonly string[];
  /** Engines that this host told to change their role. */
  readonly changing: readonly string[];
  /** What this host has seen of how engines work. */
  readonly learned: LearnedSums;
  /** Requests that crashed engines. */
  readonly losses: readonly LossFact[];
  /** What this host asked the receiver for and has booked by now. */
  readonly adoptedAskIds: readonly number[];
}

/** One peer as it is known here. */
export interface Peer extends Announcement {
  readonly hostId: string;
  readonly peerAddress: string;
  /** Differs for each start of the process. */
  readonly incarnation: string;
  readonly heardAtMs: number;
}

/** The whole state of its sender. */
export interface StateDatagram extends Announcement {
  readonly from: string;
  readonly incarnation: string;
  readonly sequence: number;
  /** The receiver hears again within this time. */
  readonly nextWithinMs: number;
  /** Other live hosts, so that a new one finds all by any. */
  readonly known: readonly string[];
  /** Peers that were lost a moment ago. */
  readonly lost: readonly string[];
}

/** What one host tells another that is meant for it alone. */
export type PeerMessage = PlacementMessage | SlotMessage;

/** A message to one peer. */
export interface Letter {
  readonly from: string;
  readonly message: PeerMessage;
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function isLetter(value: Record<string, unknown>): boolean {
  return isObject(value['message']);
}

function isState(value: Record<string, unknown>): boolean {
  const {known, lost, full, adoptedAskIds, sequence} = value;
  const {load, learned, routingAges, upstreamAges} = value;
  const lists = [known, lost, full, adoptedAskIds];
  const hasLists = lists.every(list => Array.isArray(list));
  const hasObjects = [load, learned, routingAges, upstreamAges].every(isObject);
  return hasLists && hasObjects && typeof sequence === 'number';
}

/**
 * Undefined for what is not from a peer: anything may arrive at an open port,
 * and another version of the program may say other things.
 */
export function parseDatagram(
  payload: Uint8Array,
): StateDatagram | Letter | undefined {
  try {
    const value = decodeDatagram(payload);
    if (!isObject(value) || typeof value['from'] !== 'string') return undefined;
    const isKnown = isLetter(value) || isState(value);
    return isKnown ? (value as unknown as StateDatagram | Letter) : undefined;
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
