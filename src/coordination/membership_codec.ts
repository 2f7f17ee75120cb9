/** Converts between member records and protobuf datagrams. */

import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {
  DatagramKind,
  MemberState as WireState,
  MembershipDatagramSchema,
  type MemberRecord,
} from '../generated/corianderbend/membership_pb.js';
import type {DatagramSealer} from './datagram_seal.js';
import type {Bucket, Member, MemberState} from './member_records.js';

export type DatagramName =
  'ping' | 'ack' | 'ping-request' | 'page-request' | 'page' | 'news';

/** A fact in a datagram; see `facts.ts`. */
export interface SentFact {
  readonly key: string;
  readonly version: number;
  readonly body: Uint8Array;
  readonly ttlMs: number;
  readonly isRelayed: boolean;
}

export interface MembershipMessage {
  readonly kind: DatagramName;
  readonly sequence: number;
  readonly sender: Member;
  /** `ping-request`: address of the member to ping. */
  readonly targetAddress?: string;
  readonly digest?: {readonly of: Bucket; readonly value: number};
  /** `page-request` and `page`: host id; empty at the start or the end. */
  readonly cursor?: string;
  readonly members: readonly Member[];
  readonly facts: readonly SentFact[];
}

const wireKinds: Readonly<Record<DatagramName, DatagramKind>> = {
  ping: DatagramKind.PING,
  ack: DatagramKind.ACK,
  'ping-request': DatagramKind.PING_REQUEST,
  'page-request': DatagramKind.PAGE_REQUEST,
  page: DatagramKind.PAGE,
  news: DatagramKind.NEWS,
};
const kindNames = new Map(
  (Object.keys(wireKinds) as DatagramName[]).map(name => [
    wireKinds[name],
    name,
  ]),
);

const wireStates: Readonly<Record<MemberState, WireState>> = {
  alive: WireState.ALIVE,
  leaving: WireState.LEAVING,
  suspect: WireState.SUSPECT,
  dead: WireState.DEAD,
  left: WireState.LEFT,
};
const stateNames = new Map(
  (Object.keys(wireStates) as MemberState[]).map(name => [
    wireStates[name],
    name,
  ]),
);

function toWireMember(member: Member) {
  return {...member, state: wireStates[member.state]};
}

function fromWireMember(record: MemberRecord): Member | undefined {
  const state = stateNames.get(record.state);
  if (!state || record.hostId === '') return undefined;
  return {
    hostId: record.hostId,
    address: record.address,
    callerAddress: record.callerAddress,
    failureDomain: record.failureDomain,
    incarnation: record.incarnation,
    refutation: record.refutation,
    state,
  };
}

/** Removes the details that only new members need. */
export function withoutDetails(member: Member): Member {
  return {...member, address: '', callerAddress: '', failureDomain: ''};
}

/** Returns an upper bound of the encoded size of a member. */
export function getMemberSizeBytes(member: Member): number {
  const {hostId, address, callerAddress, failureDomain} = member;
  const text = hostId + address + callerAddress + failureDomain;
  return text.length + 24;
}

export function getFactSizeBytes(fact: SentFact): number {
  return fact.key.length + fact.body.length + 20;
}

export interface MembershipCodec {
  encode(message: MembershipMessage): Uint8Array;
  /** Returns undefined for an unauthenticated or malformed datagram. */
  decode(datagram: Uint8Array): MembershipMessage | undefined;
}

export function createMembershipCodec(sealer: DatagramSealer): MembershipCodec {
  function parse(payload: Uint8Array): MembershipMessage | undefined {
    const wire = fromBinary(MembershipDatagramSchema, payload);
    const kind = kindNames.get(wire.kind);
    const sender = wire.sender && fromWireMember(wire.sender);
    if (!kind || !sender) return undefined;
    return {
      kind,
      sequence: wire.sequence,
      sender,
      targetAddress: wire.targetAddress,
      digest: {
        of: {bits: wire.bucketBits, bucket: wire.bucket},
        value: wire.bucketDigest,
      },
      cursor: wire.cursor,
      members: wire.members.flatMap(member => fromWireMember(member) ?? []),
      facts: wire.facts,
    };
  }

  return {
    encode(message) {
      const {digest} = message;
      const wire = create(MembershipDatagramSchema, {
        kind: wireKinds[message.kind],
        sequence: message.sequence,
        sender: toWireMember(message.sender),
        targetAddress: message.targetAddress ?? '',
        bucketBits: digest?.of.bits ?? 0,
        bucket: digest?.of.bucket ?? 0,
        bucketDigest: digest?.value ?? 0,
        cursor: message.cursor ?? '',
        members: message.members.map(toWireMember),
        facts: [...message.facts],
      });
      return sealer.seal(toBinary(MembershipDatagramSchema, wire));
    },
    decode(datagram) {
      const payload = sealer.open(datagram);
      if (!payload) return undefined;
      try {
        return parse(payload);
      } catch {
        // Authentic, but sent by another version of the program.
        return undefined;
      }
    },
  };
}
