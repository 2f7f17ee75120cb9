/**
 * Small facts that spread between members within the byte budget.
 *
 * A fact is monotone: of two with one key the higher version stands. A
 * `direct` fact rides on its publisher's own datagrams only, so each host
 * hears a moving sample of the others at a cost that does not grow with their
 * number. A `relayed` fact is passed on until all have it.
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
  /** Host that this one heard it from; empty for our own. */
  readonly fromHostId: string;
}

export interface FactStore {
  /** Publishes, or refreshes, a fact of this host. */
  publish(fact: {
    readonly key: string;
    readonly version: number;
    readonly body: Uint8Array;
    /** Hosts forget it this long after they heard it. */
    readonly ttlMs: number;
    readonly reach: FactReach;
  }): void;
  /** Stops publishing; others forget it at the end of its life. */
  withdraw(key: string): void;
  get(key: string): Fact | undefined;
  /** Living facts whose key starts with `prefix`. */
  list(prefix: string): readonly Fact[];
  /** New facts and new versions. */
  readonly changes: ChangeChannel<Fact>;
}

/** The side of the store that membership drives. */
export interface FactSpread extends FactStore {
  /** Facts to pass on. */
  takeRelayed(roomBytes: number, memberCount: number): readonly SentFact[];
  /** Facts of this host. */
  takeOwn(roomBytes: number): readonly SentFact[];
  receive(fact: SentFact, fromHostId: string): void;
}

interface StoredFact extends Fact {
  readonly isRelayed: boolean;
  readonly expiresAtMs: number;
}

/** Bounds memory against a publisher of ever new keys. */
const MAX_FACTS = 20_000;
const MAX_BODY_BYTES = 256;
/** Beyond the first, own facts on a datagram stay within this. */
const OWN_BYTES = 90;
const MAX_TTL_MS = 3_600_000;

/** `onNews` is called when there is a new fact to pass on. */
export function createFactSpread(clock: Clock, onNews: () => void): FactSpread {
  const own = new Map<string, SentFact>();
  const heard = new Map<string, StoredFact>();
  const relays = createGossipQueue<string>();
  const changes = createChangeChannel<Fact>();
  let nextOwn = 0;

  const isAlive = (fact: StoredFact) => fact.expiresAtMs > clock.nowMs();

  function forgetExpired(): void {
    for (const [key, fact] of heard) {
      if (!isAlive(fact)) heard.delete(key);
    }
  }

  function store(fact: SentFact, fromHostId: string): boolean {
    const before = heard.get(fact.key);
    const isOld = before && isAlive(before) && before.version > fact.version;
    if (isOld) return false;
    const isNews = !before || before.version < fact.version;
    if (isNews && heard.size >= MAX_FACTS) forgetExpired();
    if (isNews && heard.size >= MAX_FACTS) return false;
    const ttlMs = Math.min(fact.ttlMs, MAX_TTL_MS);
    const {key, version, body, isRelayed} = fact;
    const expiresAtMs = Math.max(
      clock.nowMs() + ttlMs,
      isNews ? 0 : before.expiresAtMs,
    );
    const stored = {key, version, body, fromHostId, isRelayed, expiresAtMs};
    heard.set(key, stored);
    if (isNews) changes.emit(stored);
    return isNews;
  }

  function passOn(fact: SentFact): void {
    relays.add(fact.key, fact.key, getFactSizeBytes(fact));
    onNews();
  }

  /**
   * Own facts take turns on the datagrams: one on each, and more while they
   * are small, so that news always finds room in the budget.
   */
  function takeOwn(roomBytes: number): SentFact[] {
    const facts = [...own.values()];
    const taken: SentFact[] = [];
    let usedBytes = 0;
    for (let i = 0; i < facts.length; i++) {
      const fact = facts[(nextOwn + i) % facts.length];
      const sizeBytes = usedBytes + getFactSizeBytes(fact);
      const limitBytes = taken.length === 0 ? roomBytes : OWN_BYTES;
      if (sizeBytes > Math.min(roomBytes, limitBytes)) break;
      usedBytes = sizeBytes;
      taken.push(fact);
    }
    nextOwn = (nextOwn + taken.length) % Math.max(1, facts.length);
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
      const isNews = store(fact, '');
      if (isNews && isRelayed) passOn(fact);
    },
    withdraw(key) {
      own.delete(key);
    },
    get(key) {
      const fact = heard.get(key);
      return fact && isAlive(fact) ? fact : undefined;
    },
    list: prefix =>
      [...heard.values()].filter(
        fact => fact.key.startsWith(prefix) && isAlive(fact),
      ),
    changes,
    takeRelayed: (roomBytes, memberCount) =>
      relays
        .take(roomBytes, memberCount)
        .flatMap(key => heard.get(key) ?? [])
        .filter(isAlive)
        .map(toSent),
    takeOwn,
    receive(fact, fromHostId) {
      if (fact.body.length > MAX_BODY_BYTES) return;
      const isNews = store(fact, fromHostId);
      if (isNews && fact.isRelayed) passOn(fact);
    },
  };
}
