/** Gauges that show the state of a relay process. */

import type {UpstreamLimits} from './backpressure/upstream_limits.js';
import type {CrashWatch} from './crashes/crash_watch.js';
import type {CallerBuffers} from './front/caller_buffers.js';
import type {Forwarding} from './forwarding/forwarding.js';
import type {PeerExchange} from './fleet/peer_exchange_types.js';
import type {StoreReaders} from './fleet/store_readers.js';
import {heldKinds, type HeldKind} from './limits/held_kinds.js';
import type {ResourceLimits} from './limits/resource_limits.js';
import type {ConnectionLimit} from './limits/connection_limit.js';
import type {LoopLateness} from './loop_lateness.js';
import type {PlainPlacement} from './plain/plain_placement.js';
import type {Relay} from './relay.js';
import type {RelayMetrics} from './relay_metrics.js';
import type {RelayPlacement} from './placement/relay_placement.js';
import type {Resumption} from './resumption/resumption.js';
import type {RoutingState} from './routing_state.js';
import type {StoreEra} from './store/store_era.js';
import type {StoreWatch} from './store/store_watch.js';
import type {UpstreamRegistry} from './store/upstream_registry.js';

/** Parts of the process that the gauges read. */
export interface GaugeSources {
  readonly relay: Relay;
  readonly loopLateness: LoopLateness;
  readonly peers: PeerExchange;
  readonly readers: StoreReaders;
  readonly routing: RoutingState;
  readonly storeEra: StoreEra;
  readonly watch: StoreWatch;
  readonly registry: UpstreamRegistry;
  readonly placement: RelayPlacement;
  readonly plainPlaces: PlainPlacement;
  readonly limits: UpstreamLimits;
  readonly callerBuffers: CallerBuffers;
  readonly resources: ResourceLimits;
  readonly connections: ConnectionLimit;
  readonly crashes: CrashWatch;
  readonly forwarding: Forwarding;
  readonly resumption: Resumption;
}

interface Gauge {
  readonly name: string;
  readonly help: string;
  read(sources: GaugeSources): number;
}

const GAUGES: readonly Gauge[] = [
  {
    name: 'configuration_age_ms',
    help: 'Time since the store confirmed the configuration, as known to this host.',
    read: ({watch}) => watch.configurationStatus().ageMs,
  },
  {
    name: 'configuration_announced_version',
    help: 'Newest version of the configuration that a peer announced.',
    read: ({watch}) => watch.configurationStatus().announcedVersion,
  },
  {
    name: 'loop_lateness_ms',
    help: 'Longest recent delay of a timer of this process.',
    read: ({loopLateness}) => loopLateness.recentMs(),
  },
  {
    name: 'cut_links',
    help: 'Upstreams that this host reaches through peers only.',
    read: ({forwarding}) => forwarding.links.cutCount(),
  },
  {
    name: 'is_isolated',
    help: 'Whether this host reaches no upstream directly.',
    read: ({forwarding}) => Number(forwarding.links.isIsolated()),
  },
  {
    name: 'calls_for_peers',
    help: 'Calls to upstreams that this host makes for peers.',
    read: ({forwarding}) => forwarding.server.activeCount(),
  },
  {
    name: 'crash_suspects',
    help: 'Requests under which upstreams ended, as known to this host.',
    read: ({crashes}) => crashes.suspectCount('request'),
  },
  {
    name: 'crash_suspect_parts',
    help: 'Parts of prompts under which upstreams ended, as known to this host.',
    read: ({crashes}) => crashes.suspectCount('part'),
  },
  {
    name: 'quarantined_requests',
    help: 'Requests that this host refuses since they crash upstreams.',
    read: ({crashes}) => crashes.quarantinedCount('request'),
  },
  {
    name: 'quarantined_parts',
    help: 'Parts of prompts that this host refuses since they crash upstreams.',
    read: ({crashes}) => crashes.quarantinedCount('part'),
  },
  {
    name: 'known_streams',
    help: 'Streams of which this host knows the version that began them.',
    read: ({resumption}) => resumption.knownCount(),
  },
  {
    name: 'active_requests',
    help: 'Requests that run.',
    read: ({relay}) => relay.activeCount(),
  },
  {
    name: 'peers_alive',
    help: 'Live hosts but this one.',
    read: ({peers}) => peers.alive().length,
  },
  {
    name: 'capacities_known',
    help: 'Live hosts, this one included, whose capacity is known.',
    read: ({peers}) => peers.members().filter(each => each.capacity).length,
  },
  {
    name: 'peers_heard',
    help: 'Live hosts that this one hears itself.',
    read: ({peers}) => peers.peerSyncStates().length,
  },
  {
    name: 'is_coordinator',
    help: 'Hears all hosts and tells them who lives, 0 or 1.',
    read: ({peers}) => Number(peers.isCoordinator()),
  },
  {
    name: 'is_following',
    help: 'Is told who lives by a coordinator that hears all, 0 or 1.',
    read: ({peers}) => Number(peers.isFollowing()),
  },
  {
    name: 'is_reader',
    help: 'Reads the store for other hosts, 0 or 1.',
    read: ({readers}) => Number(readers.isReader()),
  },
  {
    name: 'is_placer',
    help: 'Places for other hosts, 0 or 1.',
    read: ({placement}) => Number(placement.isPlacer()),
  },
  {
    name: 'configuration_version',
    help: 'In force.',
    read: ({routing}) => routing.version(),
  },
  {
    name: 'store_era',
    help: 'How often the store came back from an older copy, as it says.',
    read: ({storeEra}) => storeEra.current(),
  },
  {
    name: 'upstream_list_revision',
    help: 'The number of the store at the list that is gone by.',
    read: ({registry}) => registry.revision().counter,
  },
  {
    name: 'lists_left_out',
    help: 'Lists of upstreams that were read and not taken.',
    read: ({registry}) => registry.rejectedListCount(),
  },
  {
    name: 'upstream_list_age_ms',
    help: 'Age of the list.',
    read: ({watch}) => watch.listAgeMs(),
  },
  {
    name: 'kept_upstreams',
    help: 'Missing entries of the list that may come back.',
    read: ({registry}) => registry.keptCount(),
  },
  {
    name: 'kept_calls',
    help: 'Calls that run or wait by the word of this host.',
    read: ({plainPlaces}) => plainPlaces.openCallCount(),
  },
  {
    name: 'own_part_calls',
    help: 'Calls that run or wait in the part used when no keeper answers.',
    read: ({plainPlaces}) => plainPlaces.ownPartCallCount(),
  },
  {
    name: 'limited_upstreams',
    help: 'Upstreams that name a limit in their answers.',
    read: ({limits}) => limits.limitedCount(),
  },
  {
    name: 'caller_buffer_bytes',
    help: 'Bytes held for callers that read slowly.',
    read: ({callerBuffers}) => callerBuffers.bufferedBytes(),
  },
  {
    name: 'resident_memory_bytes',
    help: 'Memory of the process, as last measured.',
    read: ({resources}) => resources.watch.residentBytes(),
  },
  {
    name: 'memory_limit_bytes',
    help: 'Memory at which the process is ended.',
    read: ({resources}) => resources.maxMemoryBytes,
  },
  {
    name: 'held_limit_bytes',
    help: 'What may be held for callers now.',
    read: ({resources}) => resources.watch.maxHeldBytes(),
  },
  {
    name: 'held_bytes',
    help: 'What is held for callers.',
    read: ({resources}) => resources.memory.heldBytes(),
  },
  {
    name: 'caller_connections',
    help: 'Open connections of callers.',
    read: ({connections}) => connections.openCount(),
  },
  {
    name: 'max_caller_connections',
    help: 'Connections of callers that may be open at once.',
    read: ({connections}) => connections.maxConnections,
  },
  {
    name: 'uneven_engines',
    help: 'Engines whose measured speed is not that of the others.',
    read: ({placement}) => placement.statistics.speeds.unevenCount(),
  },
  {
    name: 'speed_records_ignored',
    help: 'Invalid speeds of engines in announcements of peers.',
    read: ({placement}) => placement.statistics.speeds.rejectedCount(),
  },
  {
    name: 'waiting_streams',
    help: 'Streams that wait for engines.',
    read: ({placement}) => placement.scheduler.waitingRequests().length,
  },
  {
    name: 'scheduled_retries',
    help: 'Refused streams that are expected to return.',
    read: ({placement}) => placement.scheduler.queueCounts().scheduledRetries,
  },
  {
    name: 'early_refusals',
    help: 'Waiting streams refused before their time was up, since the start.',
    read: ({placement}) => placement.scheduler.queueCounts().earlyRefusals,
  },
];

export function registerGauges(
  metrics: RelayMetrics,
  sources: GaugeSources,
): void {
  const {memory} = sources.resources;
  for (const kind of Object.keys(heldKinds) as HeldKind[]) {
    metrics.gauge(
      `held_${kind.replace('-', '_')}_bytes`,
      `What is held for callers as ${kind}.`,
      () => memory.heldBytes(kind),
    );
  }
  for (const {name, help, read} of GAUGES) {
    metrics.gauge(name, help, () => read(sources));
  }
}
