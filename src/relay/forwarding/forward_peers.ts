/** Chooses the peers that make calls to upstreams for this host. */

import type {Clock} from '../../ports/clock.js';
import type {Random} from '../../ports/random.js';
import type {Member} from '../fleet/members.js';

export interface ForwardPeersHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly failureDomain: string;
  /** Live hosts except this one. */
  peers(): readonly Member[];
}

export interface ForwardPeers {
  /**
   * The peers to try, best first: those that reached an upstream recently, then
   * those with few calls of this host, its own failure domain before others.
   */
  candidates(): readonly Member[];
  begin(hostId: string): void;
  end(hostId: string): void;
  /** The peer reached an upstream. */
  noteServed(hostId: string): void;
  /** The peer declined a call, or did not reach the upstream. */
  noteUnreached(hostId: string): void;
  /** The peer doesn't answer; for a while, only peers that decline are worse. */
  noteFailed(hostId: string): void;
}

const MAX_CANDIDATES = 4;
const DOUBT_MS = 1_000;
const PROVEN_FOR_MS = 3_000;
/** Puts a peer before or behind all others of another rank. */
const RANK_COST = 1e6;
/** Calls to another failure domain cost as much as this many more calls. */
const OTHER_DOMAIN_CALLS = 2;

interface PeerRecord {
  activeCalls: number;
  servedAtMs: number;
  unreachedAtMs: number;
  failedAtMs: number;
}

export function createForwardPeers(host: ForwardPeersHost): ForwardPeers {
  const {clock, random, failureDomain} = host;
  const records = new Map<string, PeerRecord>();

  function recordOf(hostId: string): PeerRecord {
    const known = records.get(hostId);
    if (known) return known;
    const record = {
      activeCalls: 0,
      servedAtMs: Number.NEGATIVE_INFINITY,
      unreachedAtMs: Number.NEGATIVE_INFINITY,
      failedAtMs: Number.NEGATIVE_INFINITY,
    };
    records.set(hostId, record);
    return record;
  }

  function forgetGone(peers: readonly Member[]): void {
    if (records.size <= peers.length) return;
    const alive = new Set(peers.map(({hostId}) => hostId));
    for (const hostId of [...records.keys()]) {
      if (!alive.has(hostId)) records.delete(hostId);
    }
  }

  /** The peer with the lowest cost is tried first. */
  function costOf(member: Member, nowMs: number): number {
    const record = recordOf(member.hostId);
    const isProven = nowMs - record.servedAtMs < PROVEN_FOR_MS;
    // A peer that is late may still reach the upstream.
    const isLate = nowMs - record.failedAtMs < DOUBT_MS;
    const isUnreached = nowMs - record.unreachedAtMs < DOUBT_MS;
    const isNear = member.failureDomain === failureDomain;
    return (
      (isProven ? -RANK_COST : 0) +
      (isLate ? RANK_COST : 0) +
      (isUnreached ? 2 * RANK_COST : 0) +
      record.activeCalls +
      (isNear ? 0 : OTHER_DOMAIN_CALLS) +
      random.nextFloat()
    );
  }

  return {
    candidates() {
      const nowMs = clock.nowMs();
      const peers = host.peers();
      forgetGone(peers);
      return peers
        .filter(({state}) => state === 'ready')
        .map(member => ({member, cost: costOf(member, nowMs)}))
        .sort((a, b) => a.cost - b.cost)
        .slice(0, MAX_CANDIDATES)
        .map(({member}) => member);
    },
    begin: hostId => void recordOf(hostId).activeCalls++,
    end: hostId => void recordOf(hostId).activeCalls--,
    noteServed(hostId) {
      recordOf(hostId).servedAtMs = clock.nowMs();
    },
    noteUnreached(hostId) {
      const record = recordOf(hostId);
      record.servedAtMs = Number.NEGATIVE_INFINITY;
      record.unreachedAtMs = clock.nowMs();
    },
    noteFailed(hostId) {
      const record = recordOf(hostId);
      record.servedAtMs = Number.NEGATIVE_INFINITY;
      record.failedAtMs = clock.nowMs();
    },
  };
}
