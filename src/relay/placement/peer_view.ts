/** Collects what the peers announce, in the form that the scheduler needs. */

import type {Clock} from '../../ports/clock.js';
import type {EngineLoads} from './engine_loads.js';
import type {PeerView} from './engine_scheduler.js';
import type {WaitingRequest} from './placement_types.js';
import {
  toLocalWaiting,
  type Peer,
  type UpstreamFindings,
  type WaitingRecord,
} from '../fleet/peer_datagrams.js';
import type {PlacementGroups} from './placement_groups.js';
import {compareUrgency, type Waiting} from './wait_rules.js';

export interface MutablePeerView extends PeerView {
  applyPeer(peer: Peer): void;
  /** Applies a coordinator's summary of what all hosts reported. */
  applySummary(fromHostId: string, findings: UpstreamIssues): void;
  /** Drops everything that the host announced. */
  forget(hostId: string): void;
  /** What this host and the peers that announce to it have reported. */
  found(own: UpstreamIssues): UpstreamIssues;
  /** This host's waiting requests, in the form announced to the peers. */
  toWaitingRecords(
    waiting: readonly WaitingRequest[],
  ): readonly WaitingRecord[];
}

/** Upstreams that hosts reported, by kind of report. */
export type UpstreamIssues = Pick<
  UpstreamFindings,
  'suspects' | 'unreachable' | 'changing'
>;

/** A peer that reports more upstreams than this is probably cut off itself. */
export const MAX_SUSPECTS = 5;

/**
 * Limit of waiting requests in an announcement. The queue of a placer may hold
 * more than fits into a datagram.
 */
const MAX_WAITING_RECORDS = 32;
/**
 * The same limit for records with priorities. Two records take as many bytes as
 * the priorities of all, so that no announcement becomes larger at the limit.
 */
const MAX_PRIORITY_RECORDS = 30;

export interface PeerViewHost {
  readonly clock: Clock;
  readonly engineLoads: EngineLoads;
  readonly groups: PlacementGroups;
}

export function createPeerView(host: PeerViewHost): MutablePeerView {
  const {clock, engineLoads, groups} = host;
  const peers = new Map<string, Peer>();
  /** By coordinator; their summaries are nearly the same. */
  const summaries = new Map<string, UpstreamIssues>();
  const suspects = createTally();
  const unreachable = createTally();
  const changing = createTally();
  const full = createTally();
  const summarySuspects = createTally();
  const summaryChanging = createTally();
  /** Peers with waiting requests, usually few. */
  const peersWithWaiting = new Map<string, Peer>();

  function countPeer(peer: Peer, sign: 1 | -1): void {
    if (peer.suspects.length <= MAX_SUSPECTS) {
      suspects.add(peer.suspects, sign);
    }
    if (peer.unreachable.length <= MAX_SUSPECTS) {
      unreachable.add(peer.unreachable, sign);
    }
    changing.add(peer.changing, sign);
    full.add(peer.full, sign);
  }

  function countSummary(summary: UpstreamIssues, sign: 1 | -1): void {
    summarySuspects.add(summary.suspects, sign);
    summaryChanging.add(summary.changing, sign);
  }

  function forgetSummary(fromHostId: string): void {
    const before = summaries.get(fromHostId);
    if (before) countSummary(before, -1);
    summaries.delete(fromHostId);
  }

  return {
    applyPeer(peer) {
      const before = peers.get(peer.hostId);
      if (before) countPeer(before, -1);
      peers.set(peer.hostId, peer);
      countPeer(peer, 1);
      if (peer.waiting.length > 0) peersWithWaiting.set(peer.hostId, peer);
      else peersWithWaiting.delete(peer.hostId);
      engineLoads.setPeerLoad(peer.hostId, peer.load);
    },
    applySummary(fromHostId, {suspects: ids, unreachable, changing}) {
      forgetSummary(fromHostId);
      const summary = {suspects: ids, unreachable, changing};
      summaries.set(fromHostId, summary);
      countSummary(summary, 1);
    },
    forget(hostId) {
      const before = peers.get(hostId);
      if (before) countPeer(before, -1);
      forgetSummary(hostId);
      peers.delete(hostId);
      peersWithWaiting.delete(hostId);
      engineLoads.setPeerLoad(hostId, undefined);
    },
    found: own => ({
      suspects: suspects.with(own.suspects),
      unreachable: unreachable.with(own.unreachable),
      changing: changing.with(own.changing),
    }),
    waiting(service) {
      const waiting: Waiting[] = [];
      for (const peer of peersWithWaiting.values()) {
        // Hosts of other groups wait for other engines.
        if (!groups.isInOwnGroup(peer.hostId)) continue;
        for (const record of peer.waiting) {
          if (record.service !== service) continue;
          waiting.push(toLocalWaiting(record, peer.heardAtMs));
        }
      }
      return waiting;
    },
    isSuspect: id => suspects.has(id) || summarySuspects.has(id),
    isFull: full.has,
    isChanging: id => changing.has(id) || summaryChanging.has(id),
    hasWaiters(engineId) {
      for (const hostId of peersWithWaiting.keys()) {
        if (groups.isPreferredBy(hostId, engineId)) return true;
      }
      return false;
    },
    toWaitingRecords(waiting) {
      const nowMs = clock.nowMs();
      return selectToAnnounce(waiting).map(({service, waiting: each}) => ({
        service,
        ageMs: Math.round(nowMs - each.arrivedAtMs),
        onTimeMs: Math.round(each.onTimeUntilMs - nowMs),
        giveUpMs: Math.round(each.giveUpAtMs - nowMs),
        priority: each.priority,
      }));
    },
  };
}

/** The most urgent first, which also compresses better; else by arrival. */
function selectToAnnounce(
  waiting: readonly WaitingRequest[],
): readonly WaitingRequest[] {
  if (waiting.every(each => each.waiting.priority === undefined)) {
    return waiting.slice(0, MAX_WAITING_RECORDS);
  }
  return [...waiting]
    .sort((a, b) => compareUrgency(a.waiting, b.waiting))
    .slice(0, MAX_PRIORITY_RECORDS);
}

/** Counts how many peers report each id. */
interface Tally {
  add(ids: readonly string[], sign: 1 | -1): void;
  has(id: string): boolean;
  /** The given ids and those that any peer reports. */
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
