/** The peers that this host hears itself, and when each was heard last. */

import type {Clock} from '../../ports/clock.js';
import type {Member} from './members.js';
import type {KnowingPeer} from './peer_datagrams.js';

export interface HeardPeer {
  readonly member: Member;
  readonly knowledge: KnowingPeer;
  readonly sequence: number;
  readonly heardAtMs: number;
  /** It promised to be heard again within this time. */
  readonly nextWithinMs: number;
  /** As a coordinator it knows by now who lives. */
  readonly isSettled: boolean;
  /** Members that it has not heard when it should have. */
  readonly missedIds: readonly string[];
}

export interface HeardPeers {
  set(heard: HeardPeer): void;
  /** Undefined once the peer was silent for too long. */
  get(hostId: string): HeardPeer | undefined;
  /** Also a peer that is silent, as it was heard last. */
  last(hostId: string): HeardPeer | undefined;
  live(): readonly HeardPeer[];
  silentMs(heard: HeardPeer): number;
  /** Ends those that are silent for too long, and names them. */
  takeSilent(isLost: (heard: HeardPeer) => boolean): readonly HeardPeer[];
  /** This host stood still; its peers did not. */
  wasSuspended(durationMs: number): void;
}

export function createHeardPeers(clock: Clock): HeardPeers {
  const records = new Map<string, HeardPeer>();
  const lost = new Set<string>();

  const silentMs = (heard: HeardPeer) => clock.nowMs() - heard.heardAtMs;

  return {
    set(heard) {
      records.set(heard.member.hostId, heard);
      lost.delete(heard.member.hostId);
    },
    get: hostId => (lost.has(hostId) ? undefined : records.get(hostId)),
    last: hostId => records.get(hostId),
    live: () =>
      [...records.values()].filter(({member}) => !lost.has(member.hostId)),
    silentMs,
    takeSilent(isLost) {
      const silent: HeardPeer[] = [];
      for (const heard of records.values()) {
        const {hostId} = heard.member;
        if (lost.has(hostId) || !isLost(heard)) continue;
        lost.add(hostId);
        silent.push(heard);
      }
      return silent;
    },
    wasSuspended(durationMs) {
      for (const [hostId, heard] of records) {
        const heardAtMs = heard.heardAtMs + durationMs;
        records.set(hostId, {...heard, heardAtMs});
      }
    },
  };
}
