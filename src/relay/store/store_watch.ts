/**
 * Reads the configuration and the list of upstreams from the platform's store,
 * and keeps this host in the registry of hosts. A host that is not a reader
 * relies on its peers' confirmations, and reads when one is overdue or its data
 * is outdated.
 *
 * Each call has its own short timeout, so a connection that goes silent costs
 * one call and breaks no time limit of the system. A failed call is soon
 * retried on another connection.
 */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {
  HostRecord,
  HostRegistry,
  RoutingSource,
  UpstreamSource,
} from '../../ports/relay.js';
import type {ConfigurationFreshness} from '../accounts/configuration_freshness.js';
import type {StoreTime} from '../accounts/store_time.js';
import type {StoreSyncState} from '../fleet/store_readers.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {RoutingState} from '../routing_state.js';
import {createHostRegistration} from './host_registration.js';
import {createListWatch} from './list_watch.js';
import {createRoutingWatch, type ConfigurationStatus} from './routing_watch.js';
import {createStoreCalls} from './store_calls.js';
import type {StoreEra} from './store_era.js';
import type {UpstreamRegistry} from './upstream_registry.js';

export interface StoreWatchHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: RelayMetrics;
  readonly routingSource: RoutingSource;
  readonly upstreamSource: UpstreamSource;
  readonly hostRegistry: HostRegistry;
  readonly routing: RoutingState;
  readonly registry: UpstreamRegistry;
  readonly storeEra: StoreEra;
  readonly storeTime: StoreTime;
  readonly freshness: ConfigurationFreshness;
  /** Whether this host reads on behalf of all. */
  isReader(): boolean;
  /** Whether this host may become a reader if others cannot read. */
  isCandidate(): boolean;
  /** Whether this host chooses engines, for itself or for others. */
  isPlacing(): boolean;
  /** Whether other hosts need to find this host in the registry. */
  isRegistrationNeeded(): boolean;
  /** Whether this host knows no other host. */
  isAlone(): boolean;
  onHosts(records: readonly HostRecord[]): void;
}

export interface StoreWatch {
  start(): void;
  /** Removes this host from the registry; reading continues. */
  unregister(): void;
  stop(): void;
  /** The state of this host's data from the store, for announcements. */
  syncState(): StoreSyncState;
  /** Time since the store confirmed the list, as known to this host. */
  listAgeMs(): number;
  configurationStatus(): ConfigurationStatus;
  /**
   * Resolves to whether the configuration is recent enough to refuse a request
   * by it. May wait for an answer of the store.
   */
  confirmConfiguration(mayWait: boolean): Promise<boolean>;
  /** Whether the last call to the store was answered. */
  isStoreReachable(): boolean;
  /**
   * Processes a peer's announced state, which may confirm or outdate the data.
   */
  receivePeerState(peer: StoreSyncState): void;
  /** A list of the given age was applied from a peer. */
  noteFetchedList(ageMs: number): void;
}

export function createStoreWatch(
  host: StoreWatchHost,
  self: HostRecord,
): StoreWatch {
  const {registry, routing, storeEra, freshness} = host;
  const calls = createStoreCalls(host);
  const configuration = createRoutingWatch({...host, calls});
  const list = createListWatch({...host, calls});
  const registration = createHostRegistration(
    {
      ...host,
      onRead(read) {
        calls.count('hosts', read);
        calls.noteOutcome('hosts', read.kind !== 'failed');
      },
    },
    self,
  );

  function onNewEra(era: number): void {
    list.onNewEra(era);
    configuration.onNewEra();
    registration.onNewEra();
  }

  return {
    start() {
      storeEra.onChange(onNewEra);
      configuration.start();
      list.start();
      registration.start();
    },
    unregister: registration.unregister,
    stop() {
      calls.stop();
      registration.stop();
      configuration.stop();
      list.stop();
    },
    isStoreReachable: calls.isReachable,
    listAgeMs: list.ageMs,
    configurationStatus: configuration.status,
    confirmConfiguration: configuration.confirm,
    syncState: () => ({
      routingVersion: routing.version(),
      routingAges: configuration.announcedAges(),
      routingCompleteUntil: freshness.completeUntil(),
      upstreamRevision: registry.revision(),
      upstreamDigest: registry.digest(),
      upstreamAges: list.announcedAges(),
      listDeltas: host.isReader() ? registry.deltas() : [],
      isStoreReachable: calls.isReachable(),
    }),
    receivePeerState(peer) {
      configuration.receivePeerState(peer);
      list.receivePeerState(peer);
    },
    noteFetchedList: list.noteFetched,
  };
}
