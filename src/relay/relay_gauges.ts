/** Gauges that show the state of a relay process. */

import type {UpstreamLimits} from './backpressure/upstream_limits.js';
import type {PeerExchange} from './fleet/peer_exchange_types.js';
import type {StoreReaders} from './fleet/store_readers.js';
import type {PlainPlacement} from './plain/plain_placement.js';
import type {Relay} from './relay.js';
import type {RelayMetrics} from './relay_metrics.js';
import type {RelayPlacement} from './placement/relay_placement.js';
import type {RoutingState} from './routing_state.js';
import type {StoreEra} from './store/store_era.js';
import type {StoreWatch} from './store/store_watch.js';
import type {UpstreamRegistry} from './store/upstream_registry.js';

/** Parts of the process that the gauges read. */
export interface GaugeSources {
  readonly relay: Relay;
  readonly peers: PeerExchange;
  readonly readers: StoreReaders;
  readonly routing: RoutingState;
  readonly storeEra: StoreEra;
  readonly watch: StoreWatch;
  readonly registry: UpstreamRegistry;
  readonly placement: RelayPlacement;
  readonly plainPlaces: PlainPlacement;
  readonly limits: UpstreamLimits;
}

interface Gauge {
  readonly name: string;
  readonly help: string;
  read(sources: GaugeSources): number;
}

const GAUGES: readonly Gauge[] = [
  {
    name: 'active_requests',
    help: 'Requests in progress.',
    read: ({relay}) => relay.activeCount(),
  },
  {
    name: 'peers_alive',
    help: 'Live hosts except this one.',
    read: ({peers}) => peers.alive().length,
  },
  {
    name: 'peers_heard',
    help: 'Live hosts that send their state directly to this host.',
    read: ({peers}) => peers.heard().length,
  },
  {
    name: 'is_coordinator',
    help: 'Whether this host is a coordinator of the membership, 0 or 1.',
    read: ({peers}) => Number(peers.isCoordinator()),
  },
  {
    name: 'is_following',
    help: 'Whether this host gets the membership from a coordinator, 0 or 1.',
    read: ({peers}) => Number(peers.isFollowing()),
  },
  {
    name: 'is_reader',
    help: 'Whether this host reads the store for other hosts, 0 or 1.',
    read: ({readers}) => Number(readers.isReader()),
  },
  {
    name: 'is_placer',
    help: 'Whether this host places requests for other hosts, 0 or 1.',
    read: ({placement}) => Number(placement.isPlacer()),
  },
  {
    name: 'configuration_version',
    help: 'Version of the configuration in force.',
    read: ({routing}) => routing.version(),
  },
  {
    name: 'store_era',
    help: 'Era of the store: how often it reports a restore from an older copy.',
    read: ({storeEra}) => storeEra.current(),
  },
  {
    name: 'upstream_list_revision',
    help: 'Counter of the store revision of the upstream list in use.',
    read: ({registry}) => registry.revision().counter,
  },
  {
    name: 'lists_left_out',
    help: 'Upstream lists that were rejected as older than the one in use.',
    read: ({registry}) => registry.leftOutCount(),
  },
  {
    name: 'upstream_list_age_ms',
    help: 'Age of the upstream list.',
    read: ({watch}) => watch.listAgeMs(),
  },
  {
    name: 'kept_upstreams',
    help: 'Upstreams missing from the list that are kept, as they may return.',
    read: ({registry}) => registry.keptCount(),
  },
  {
    name: 'kept_calls',
    help: 'Calls that run or wait in slots that this host manages.',
    read: ({plainPlaces}) => plainPlaces.keptCount(),
  },
  {
    name: 'limited_upstreams',
    help: 'Upstreams that name a limit in their answers.',
    read: ({limits}) => limits.limitedCount(),
  },
  {
    name: 'waiting_streams',
    help: 'Streams that are waiting for engines.',
    read: ({placement}) => placement.scheduler.announcements().length,
  },
];

export function registerGauges(
  metrics: RelayMetrics,
  sources: GaugeSources,
): void {
  for (const {name, help, read} of GAUGES) {
    metrics.gauge(name, help, () => read(sources));
  }
}
