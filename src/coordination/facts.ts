/**
 * Distributes small versioned facts between members within the byte budget.
 *
 * Of two facts with the same key the higher version wins. A `direct` fact is
 * piggybacked only on its publisher's own datagrams, so each host receives a
 * changing sample of the others at a cost independent of their number. A
 * `relayed` fact is forwarded by each receiver until all members have it.
 */

import type {Clock} from '../ports/clock.js';
import {createChangeChannel, type ChangeChannel} from './change_channel.js';
import {createGossipQueue} from './gossip_queue.js';
import {getFactSizeBytes, type SentFact} from './membership_codec.js';

export type FactReach = 'direct' | 'relayed';

export interface Fact {
  readonly key: string;
  /** Below 2^32. */
  readonly version: number;
  readonly body: Uint8Array;
  /** Host that it was received from; empty for this host's own facts. */
  readonly fromHostId: string;
}

export interface FactStore {
  /** Publishes or refreshes a fact of this host. */
  publish(fact: {
    readonly key: string;
    readonly version: number;
    readonly body: Uint8Array;
    /** Receivers drop the fact this long after they received it. */
    readonly ttlMs: number;
    readonly reach: FactReach;
  }): void;
  /** Stops publishing; other hosts drop the fact when it expires. */
  withdraw(key: string): void;
  get(key: string): Fact | undefined;
  /** Returns unexpired facts whose key starts with `prefix`. */
  list(prefix: string): readonly Fact[];
  /** Emits new facts and new versions. */
  readonly changes: ChangeChannel<Fact>;
}

/** A fact store with the operations used by membership. */
export interface FactGossip extends FactStore {
  /** Takes facts to forward. */
  takeRelayed(roomBytes: number, memberCount: number): readonly SentFact[];
  /** Takes facts published by this host. */
  takeOwn(roomBytes: number): readonly SentFact[];
  receive(fact: SentFact, fromHostId: string): void;
}

interface StoredFact extends Fact {
  readonly isRelayed: boolean;
  readonly expiresAtMs: number;
}

/** Bounds memory if a publisher keeps creating new keys. */
const MAX_FACTS = 20_000;
const MAX_BODY_BYTES = 256;
/** Size limit of own facts on a datagram when there is more than one. */
const MAX_EXTRA_OWN_BYTES = 90;
const MAX_TTL_MS = 3_600_000;

/** Calls `onUpdate` when there is a new fact to forward. */
export function createFactGossip(
  clock: Clock,
  onUpdate: () => void,
): FactGossip {
  const own = new Map<string, SentFact>();
  const known = new Map<string, StoredFact>();
  const relayQueue = createGossipQueue<string>();
  const changes = createChangeChannel<Fact>();
  let nextOwnIndex = 0;

  const isUnexpired = (fact: StoredFact) => fact.expiresAtMs > clock.nowMs();

  function removeExpired(): void {
    for (const [key, fact] of known) {
      if (!isUnexpired(fact)) known.delete(key);
    }
  }

  function store(fact: SentFact, fromHostId: string): boolean {
    const before = known.get(fact.key);
    const isOld =
      before && isUnexpired(before) && before.version > fact.version;
    if (isOld) return false;
    const isUpdate = !before || before.version < fact.version;
    if (isUpdate && known.size >= MAX_FACTS) removeExpired();
    if (isUpdate && known.size >= MAX_FACTS) return false;
    const ttlMs = Math.min(fact.ttlMs, MAX_TTL_MS);
    const {key, version, body, isRelayed} = fact;
    const expiresAtMs = Math.max(
      clock.nowMs() + ttlMs,
      isUpdate ? 0 : before.expiresAtMs,
    );
    const stored = {key, version, body, fromHostId, isRelayed, expiresAtMs};
    known.set(key, stored);
    if (isUpdate) changes.emit(stored);
    return isUpdate;
  }

  function relay(fact: SentFact): void {
    relayQueue.add(fact.key, fact.key, getFactSizeBytes(fact));
    onUpdate();
  }

  /**
   * Takes own facts in round-robin order: one for each datagram, and more
   * while they are small, which leaves room for membership updates.
   */
  function takeOwn(roomBytes: number): SentFact[] {
    const facts = [...own.values()];
    const taken: SentFact[] = [];
    let usedBytes = 0;
    for (let i = 0; i < facts.length; i++) {
      const fact = facts[(nextOwnIndex + i) % facts.length];
      const sizeBytes = usedBytes + getFactSizeBytes(fact);
      const limitBytes = taken.length === 0 ? roomBytes : MAX_EXTRA_OWN_BYTES;
      if (sizeBytes > Math.min(roomBytes, limitBytes)) break;
      usedBytes = sizeBytes;
      taken.push(fact);
    }
    nextOwnIndex = (nextOwnIndex + taken.length) % Math.max(1, facts.length);
    return taken;
  }

  function toSent(stored: StoredFact): SentFact {
    const {key, version, body, isRelayed} = stored;
    const ttlMs = Math.floor(stored.expiresAtMs - clock.nowMs());
    return {key, version, body, isRelayed, ttlMs};
  }

  return {
    publish({key, version, body, ttlMs, reach}) {
      if (body.length > MAX_BODY_BYTES) {
        throw new RangeError(`A fact holds at most ${MAX_BODY_BYTES} bytes.`);
      }
      const isRelayed = reach === 'relayed';
      const fact = {key, version, body, ttlMs, isRelayed};
      own.set(key, fact);
      const isUpdate = store(fact, '');
      if (isUpdate && isRelayed) relay(fact);
    },
    withdraw(key) {
      own.delete(key);
    },
    get(key) {
      const fact = known.get(key);
      return fact && isUnexpired(fact) ? fact : undefined;
    },
    list: prefix =>
      [...known.values()].filter(
        fact => fact.key.startsWith(prefix) && isUnexpired(fact),
      ),
    changes,
    takeRelayed: (roomBytes, memberCount) =>
      relayQueue
        .take(roomBytes, memberCount)
        .flatMap(key => known.get(key) ?? [])
        .filter(isUnexpired)
        .map(toSent),
    takeOwn,
    receive(fact, fromHostId) {
      if (fact.body.length > MAX_BODY_BYTES) return;
      const isUpdate = store(fact, fromHostId);
      if (isUpdate && fact.isRelayed) relay(fact);
    },
  };
}
