/**
 * Peers whose datagrams this host receives directly, with the time of the last.
 */

import type {Clock} from '../../ports/clock.js';
import type {Member} from './members.js';
import type {PeerSyncState} from './peer_datagrams.js';

export interface DirectPeer {
  readonly member: Member;
  readonly syncState: PeerSyncState;
  readonly sequence: number;
  readonly heardAtMs: number;
  /** The peer's next datagram is due within this time. */
  readonly nextWithinMs: number;
  /**
   * As a coordinator, it has had time to receive the state of every live host.
   */
  readonly isSettled: boolean;
  /** Members whose datagrams the peer, as a coordinator, is missing. */
  readonly missedIds: readonly string[];
}

export interface DirectPeers {
  set(peer: DirectPeer): void;
  /** Undefined once the peer has been marked as silent. */
  get(hostId: string): DirectPeer | undefined;
  /** The last record of the peer, even if it has been marked as silent. */
  getLast(hostId: string): DirectPeer | undefined;
  live(): readonly DirectPeer[];
  silentMs(peer: DirectPeer): number;
  /** Marks the peers that match as silent, and returns them. */
  declareSilent(isSilent: (peer: DirectPeer) => boolean): readonly DirectPeer[];
  /** This host was suspended and its peers were not. */
  noteSuspension(durationMs: number): void;
}

export function createDirectPeers(clock: Clock): DirectPeers {
  const records = new Map<string, DirectPeer>();
  const silentIds = new Set<string>();

  const silentMs = (peer: DirectPeer) => clock.nowMs() - peer.heardAtMs;

  return {
    set(peer) {
      records.set(peer.member.hostId, peer);
      silentIds.delete(peer.member.hostId);
    },
    get: hostId => (silentIds.has(hostId) ? undefined : records.get(hostId)),
    getLast: hostId => records.get(hostId),
    live: () =>
      [...records.values()].filter(({member}) => !silentIds.has(member.hostId)),
    silentMs,
    declareSilent(isSilent) {
      const declared: DirectPeer[] = [];
      for (const peer of records.values()) {
        const {hostId} = peer.member;
        if (silentIds.has(hostId) || !isSilent(peer)) continue;
        silentIds.add(hostId);
        declared.push(peer);
      }
      return declared;
    },
    noteSuspension(durationMs) {
      const nowMs = clock.nowMs();
      for (const [hostId, peer] of records) {
        const heardAtMs = Math.min(nowMs, peer.heardAtMs + durationMs);
        records.set(hostId, {...peer, heardAtMs});
      }
    },
  };
}
