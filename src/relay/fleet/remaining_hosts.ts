/** The live hosts that stay, which share limits and work among them. */

import {createDerivedList} from '../../core/derived_list.js';
import type {Member} from './members.js';

export interface RemainingHostsHost {
  readonly hostId: string;
  /** Live hosts except this one. */
  peers(): readonly Member[];
  isLeaving(): boolean;
}

export interface RemainingHosts {
  /** Includes this host. */
  hostIds(): readonly string[];
  /** A leaving host owns no limits, not even for its own requests. */
  ownerIds(): readonly string[];
}

export function createRemainingHosts(host: RemainingHostsHost): RemainingHosts {
  const peerIds = createDerivedList(host.peers, peers =>
    peers.filter(({state}) => state !== 'leaving').map(({hostId}) => hostId),
  );
  const hostIds = createDerivedList(peerIds, ids => [host.hostId, ...ids]);
  return {
    hostIds,
    ownerIds: () => (host.isLeaving() ? peerIds() : hostIds()),
  };
}
