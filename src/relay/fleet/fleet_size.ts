/**
 * The number of hosts that share what is bounded over all hosts. Hosts out of
 * reach count, since they may be serving.
 */

import type {HostRecord} from '../../ports/relay.js';

export interface FleetSizeHost {
  readonly hostId: string;
  /** Whether the settings name other hosts. */
  readonly hasSeeds: boolean;
  /** Returns the number of peers ever seen that haven't left. */
  knownPeerCount(): number;
}

export interface FleetSize {
  /** Records the hosts in the store's registry. */
  noteListed(records: readonly Pick<HostRecord, 'hostId'>[]): void;
  /**
   * Includes this host. Infinite while this host has seen no peer and doesn't
   * know that it is the only one.
   */
  count(): number;
}

export function createFleetSize(host: FleetSizeHost): FleetSize {
  let isOnlyListed = !host.hasSeeds;
  return {
    noteListed(records) {
      isOnlyListed = records.every(({hostId}) => hostId === host.hostId);
    },
    count() {
      const peerCount = host.knownPeerCount();
      return peerCount === 0 && !isOnlyListed
        ? Number.POSITIVE_INFINITY
        : peerCount + 1;
    },
  };
}
