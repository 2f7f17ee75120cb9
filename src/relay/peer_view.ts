/** What the peers announced, as the scheduler asks for it. */

import type {Clock} from '../ports/clock.js';
import type {EngineBooks} from './engine_books.js';
import type {PeerView, WaitingAnnouncement} from './engine_scheduler.js';
import {
  toLocalWaiting,
  type Peer,
  type WaitingRecord,
} from './peer_datagrams.js';
import type {GroupMember, PlacementGroups} from './placement_groups.js';
import type {Waiting} from './wait_rules.js';

export interface PeerViewKeeper extends PeerView {
  heard(peer: Peer): void;
  gone(hostId: string): void;
  members(): readonly GroupMember[];
  /** This host's own waiting requests, for the peers. */
  toRecords(waiting: readonly WaitingAnnouncement[]): readonly WaitingRecord[];
}

/** A peer that blames more upstreams than this is likely cut off itself. */
export const MOST_SUSPECTS = 5;

/** A host that places for many may have more in its queue than a datagram holds. */
const MOST_TOLD = 32;

export interface PeerViewHost {
  readonly clock: Clock;
  readonly books: EngineBooks;
  readonly groups: PlacementGroups;
}

export function createPeerView(host: PeerViewHost): PeerViewKeeper {
  const {clock, books, groups} = host;
  const peers = new Map<string, Peer>();
  const suspects = createTally();
  const changing = createTally();
  const full = createTally();
  /** Peers with requests that wait; few as a rule. */
  const awaiting = new Map<string, Peer>();

  function countBlame(peer: Peer, sign: 1 | -1): void {
    if (peer.suspects.length <= MOST_SUSPECTS) {
      suspects.add(peer.suspects, sign);
    }
    changing.add(peer.changing, sign);
    full.add(peer.full, sign);
  }

  return {
    heard(peer) {
      const before = peers.get(peer.hostId);
      if (before) countBlame(before, -1);
      if (before?.state !== peer.state) groups.refresh();
      peers.set(peer.hostId, peer);
      countBlame(peer, 1);
      if (peer.waiting.length > 0) awaiting.set(peer.hostId, peer);
      else awaiting.delete(peer.hostId);
      books.setPeer(peer.hostId, peer.load);
    },
    gone(hostId) {
      const before = peers.get(hostId);
      if (before) countBlame(before, -1);
      peers.delete(hostId);
      awaiting.delete(hostId);
      groups.refresh();
      books.setPeer(hostId, undefined);
    },
    members: () =>
      [...peers.values()].map(({hostId, state}) => ({
        hostId,
        isReady: state === 'ready',
      })),
    waiting(service) {
      const waiting: Waiting[] = [];
      for (const peer of awaiting.values()) {
        // Those of other groups wait for other engines.
        if (!groups.isMate(peer.hostId)) continue;
        for (const record of peer.waiting) {
          if (record.service !== service) continue;
          waiting.push(toLocalWaiting(record, peer.heardAtMs));
        }
      }
      return waiting;
    },
    isSuspect: suspects.has,
    isFull: full.has,
    isChanging: changing.has,
    isAwaited(engineId) {
      for (const hostId of awaiting.keys()) {
        if (groups.isOwnOf(hostId, engineId)) return true;
      }
      return false;
    },
    toRecords(waiting) {
      const nowMs = clock.nowMs();
      return waiting.slice(0, MOST_TOLD).map(({service, waiting: each}) => ({
        service,
        ageMs: Math.round(nowMs - each.arrivedAtMs),
        onTimeMs: Math.round(each.onTimeUntilMs - nowMs),
        giveUpMs: Math.round(each.giveUpAtMs - nowMs),
      }));
    },
  };
}

/** How many peers name each id. */
interface Tally {
  add(ids: readonly string[], sign: 1 | -1): void;
  has(id: string): boolean;
}

function createTally(): Tally {
  const counts = new Map<string, number>();
  return {
    add(ids, sign) {
      for (const id of ids) {
        const count = (counts.get(id) ?? 0) + sign;
        if (count > 0) counts.set(id, count);
        else counts.delete(id);
      }
    },
    has: id => counts.has(id),
  };
}
