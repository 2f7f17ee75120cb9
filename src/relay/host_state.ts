/** The state of this host as its peers see it, and its duties among them. */

import {toHostCapacity} from './fleet/host_capacity.js';
import type {HostState} from './fleet/members.js';
import type {PeerExchange} from './fleet/peer_exchange_types.js';
import type {OwnState} from './fleet/peer_exchange_types.js';
import type {StoreReaders} from './fleet/store_readers.js';
import type {LiveSettings} from './live_settings.js';
import type {RoutingState} from './routing_state.js';
import type {StoreWatch} from './store/store_watch.js';
import type {UpstreamRegistry} from './store/upstream_registry.js';

export interface HostStateHost {
  readonly live: Pick<LiveSettings, 'current'>;
  readonly routing: Pick<RoutingState, 'current'>;
  readonly registry: Pick<UpstreamRegistry, 'isKnown'>;
  readonly readers: Pick<StoreReaders, 'readerIds' | 'isCandidate'>;
  readonly watch: Pick<StoreWatch, 'isStoreReachable'>;
  /** Live hosts except this one. */
  peers(): ReturnType<PeerExchange['alive']>;
  isLeaving(): boolean;
}

export interface HostStateReader {
  state(): HostState;
  isReady(): boolean;
  /** What this host announces. */
  announced(): OwnState;
  /** The store readers that stay, in the same order at all hosts. */
  readyReaderIds(): readonly string[];
  /** Whether this host reads and writes the store on behalf of all. */
  isPlanner(): boolean;
  /** Whether another entry takes requests. */
  hasOtherEntry(): boolean;
}

export function createHostState(host: HostStateHost): HostStateReader {
  const {live, routing, registry, readers, watch} = host;
  const ownId = () => live.current().hostId;

  function state(): HostState {
    if (host.isLeaving()) return 'leaving';
    const isServing = routing.current() !== undefined && registry.isKnown();
    return isServing ? 'ready' : 'starting';
  }

  const isReady = () => state() === 'ready';

  function readyReaderIds(): readonly string[] {
    const ready = new Set(isReady() ? [ownId()] : []);
    for (const peer of host.peers()) {
      if (peer.state === 'ready') ready.add(peer.hostId);
    }
    return readers.readerIds().filter(hostId => ready.has(hostId));
  }

  /**
   * Returns the host that plans role orders. It must be a store reader: it
   * needs the store for the lease, and readers receive the state of all hosts.
   * The last one is chosen, since the first ones usually place requests for
   * other hosts.
   */
  const findPlannerId = () => readyReaderIds().at(-1);

  return {
    state,
    isReady,
    announced() {
      const settings = live.current();
      const {callerAddress, failureDomain} = settings;
      return {
        state: state(),
        callerAddress,
        failureDomain,
        isStoreReachable: watch.isStoreReachable() || !readers.isCandidate(),
        capacity: toHostCapacity(settings),
      };
    },
    readyReaderIds,
    isPlanner: () =>
      isReady() && watch.isStoreReachable() && findPlannerId() === ownId(),
    hasOtherEntry: () =>
      host.peers().some(({state: peerState}) => peerState === 'ready'),
  };
}
