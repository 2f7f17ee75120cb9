/** What the peers announced, as the scheduler asks for it. */

import type {Clock} from '../../ports/clock.js';
import type {EngineBooks} from './engine_books.js';
import type {PeerView, WaitingAnnouncement} from './engine_scheduler.js';
import {
  toLocalWaiting,
  type Peer,
  type UpstreamFindings,
  type WaitingRecord,
} from '../fleet/peer_datagrams.js';
import type {PlacementGroups} from './placement_groups.js';
import type {Waiting} from './wait_rules.js';

export interface PeerViewKeeper extends PeerView {
  heard(peer: Peer): void;
  /** A coordinator told what all hosts found out. */
  told(fromHostId: string, findings: FoundUpstreams): void;
  /** What the host told is no longer so. */
  forget(hostId: string): void;
  /** What this host and the peers that it hears found out. */
  found(own: FoundUpstreams): FoundUpstreams;
  /** This host's own waiting requests, for the peers. */
  toRecords(waiting: readonly WaitingAnnouncement[]): readonly WaitingRecord[];
}

/** The lists of what was found out. */
export type FoundUpstreams = Pick<
  UpstreamFindings,
  'suspects' | 'unreachable' | 'changing'
>;

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
  /** By coordinator; all say much the same. */
  const summaries = new Map<string, FoundUpstreams>();
  const suspects = createTally();
  const unreachable = createTally();
  const changing = createTally();
  const full = createTally();
  const toldSuspects = createTally();
  const toldChanging = createTally();
  /** Peers with requests that wait; few as a rule. */
  const awaiting = new Map<string, Peer>();

  function countBlame(peer: Peer, sign: 1 | -1): void {
    if (peer.suspects.length <= MOST_SUSPECTS) {
      suspects.add(peer.suspects, sign);
    }
    if (peer.unreachable.length <= MOST_SUSPECTS) {
      unreachable.add(peer.unreachable, sign);
    }
    changing.add(peer.changing, sign);
    full.add(peer.full, sign);
  }

  function countTold(summary: FoundUpstreams, sign: 1 | -1): void {
    toldSuspects.add(summary.suspects, sign);
    toldChanging.add(summary.changing, sign);
  }

  function forgetTold(fromHostId: string): void {
    const before = summaries.get(fromHostId);
    if (before) countTold(before, -1);
    summaries.delete(fromHostId);
  }

  return {
    heard(peer) {
      const before = peers.get(peer.hostId);
      if (before) countBlame(before, -1);
      peers.set(peer.hostId, peer);
      countBlame(peer, 1);
      if (peer.waiting.length > 0) awaiting.set(peer.hostId, peer);
      else awaiting.delete(peer.hostId);
      books.setPeer(peer.hostId, peer.load);
    },
    told(fromHostId, {suspects: ids, unreachable, changing}) {
      forgetTold(fromHostId);
      const summary = {suspects: ids, unreachable, changing};
      summaries.set(fromHostId, summary);
      countTold(summary, 1);
    },
    forget(hostId) {
      const before = peers.get(hostId);
      if (before) countBlame(before, -1);
      forgetTold(hostId);
      peers.delete(hostId);
      awaiting.delete(hostId);
      books.setPeer(hostId, undefined);
    },
    found: own => ({
      suspects: suspects.with(own.suspects),
      unreachable: unreachable.with(own.unreachable),
      changing: changing.with(own.changing),
    }),
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
    isSuspect: id => suspects.has(id) || toldSuspects.has(id),
    isFull: full.has,
    isChanging: id => changing.has(id) || toldChanging.has(id),
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
  /** These ids and those that peers name. */
  with(ids: readonly string[]): readonly string[];
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
    with: ids => [...new Set([...ids, ...counts.keys()])],
  };
}
