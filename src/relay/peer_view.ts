/** What the peers announced, as the scheduler asks for it. */

import type {Clock} from '../ports/clock.js';
import type {EngineBooks} from './engine_books.js';
import type {PeerView, WaitingAnnouncement} from './engine_scheduler.js';
import {
  toLocalWaiting,
  type Peer,
  type WaitingRecord,
} from './peer_exchange.js';
import type {Waiting} from './wait_rules.js';

export interface PeerViewKeeper extends PeerView {
  heard(peer: Peer): void;
  gone(hostId: string): void;
  /** This host's own waiting requests, for the peers. */
  toRecords(waiting: readonly WaitingAnnouncement[]): readonly WaitingRecord[];
}

/** A peer that blames more upstreams than this is likely cut off itself. */
export const MOST_SUSPECTS = 5;

export function createPeerView(
  clock: Clock,
  books: EngineBooks,
): PeerViewKeeper {
  const peers = new Map<string, Peer>();
  return {
    heard(peer) {
      peers.set(peer.hostId, peer);
      books.setPeer(peer.hostId, peer.load);
    },
    gone(hostId) {
      peers.delete(hostId);
      books.setPeer(hostId, undefined);
    },
    waiting(service) {
      const waiting: Waiting[] = [];
      for (const peer of peers.values()) {
        for (const record of peer.waiting) {
          if (record.service !== service) continue;
          waiting.push(toLocalWaiting(record, peer.heardAtMs));
        }
      }
      return waiting;
    },
    isSuspect(engineId) {
      for (const {suspects} of peers.values()) {
        if (suspects.length > MOST_SUSPECTS) continue;
        if (suspects.includes(engineId)) return true;
      }
      return false;
    },
    isChanging(engineId) {
      for (const peer of peers.values()) {
        if (peer.changing.includes(engineId)) return true;
      }
      return false;
    },
    toRecords(waiting) {
      const nowMs = clock.nowMs();
      return waiting.map(({service, waiting: each}) => ({
        service,
        ageMs: Math.round(nowMs - each.arrivedAtMs),
        onTimeMs: Math.round(each.onTimeUntilMs - nowMs),
        giveUpMs: Math.round(each.giveUpAtMs - nowMs),
      }));
    },
  };
}
