/**
 * Creates and connects the parts of a relay process: store, peers,
 * configuration and upstreams first, then the servers for callers.
 */

import {createSystemClock} from '../adapters/system_clock.js';
import {createSystemRandom} from '../adapters/system_random.js';
import {createPlainBalancer} from '../scheduling/plain_balancer.js';
import {createRelayAccounts} from './accounts/relay_accounts.js';
import {createBackpressure} from './backpressure/backpressure.js';
import {createCallerResources} from './caller_resources.js';
import {announceChanges} from './change_announcements.js';
import {createFleetSize} from './fleet/fleet_size.js';
import {rankOwners} from './fleet/owners.js';
import type {PeerMessage} from './fleet/peer_datagrams.js';
import {createPeerExchange} from './fleet/peer_exchange.js';
import {createPeerSync} from './fleet/peer_sync.js';
import {createRemainingHosts} from './fleet/remaining_hosts.js';
import {hasOtherSeeds, toSeedAddresses} from './fleet/seed_addresses.js';
import {createStoreReaders} from './fleet/store_readers.js';
import {createCallDurations} from './front/call_durations.js';
import {listEntries} from './front/host_directory.js';
import {createRelayFront} from './front/relay_front.js';
import {createHostState} from './host_state.js';
import {createLiveSettings} from './live_settings.js';
import {createLoopLateness} from './loop_lateness.js';
import {createOpenJobs} from './open_jobs.js';
import {createPeerState} from './peer_state.js';
import {createRelayPlacement} from './placement/relay_placement.js';
import {createPlainPlacement} from './plain/plain_placement.js';
import {createProcessLeaving} from './process_leaving.js';
import {registerGauges} from './relay_gauges.js';
import type {RelayProcess, RelayProcessOptions} from './relay_process_types.js';
import {createRelayUpstreamPort} from './relay_upstream_port.js';
import {createRequestRelays} from './request_relays.js';
import {createResumption} from './resumption/resumption.js';
import {createRelayRetries} from './retries/relay_retries.js';
import {createPlannedRoleOrders} from './roles/planned_role_orders.js';
import {createRoutingState} from './routing_state.js';
import {openProcessNetwork} from './start/process_network.js';
import {createProcessServers} from './start/process_servers.js';
import {createStoreEra} from './store/store_era.js';
import {createStoreWatch} from './store/store_watch.js';
import {createUpstreamRegistry} from './store/upstream_registry.js';

/** Resolves when the process accepts requests; rejects with a `StartError`. */
export async function startRelay(
  options: RelayProcessOptions,
): Promise<RelayProcess> {
  const {settings, adapters, metrics, createLogger} = options;
  const live = createLiveSettings(settings);
  const clock = createSystemClock();
  const random = createSystemRandom();
  const log = createLogger('relay');
  const network = await openProcessNetwork(
    {clock, log, metrics, isEnding: options.isEnding ?? (() => false)},
    settings,
  );
  const {exchange, opener, datagrams} = network;

  const routing = createRoutingState(createLogger('configuration'));
  const registry = createUpstreamRegistry({
    clock,
    log: createLogger('upstreams'),
  });
  const storeEra = createStoreEra({clock, log: createLogger('store')});
  const sources = adapters.createSources({
    exchange,
    storeAddress: settings.storeAddress,
    log: createLogger('store'),
    onEra: storeEra.note,
  });
  const {hostId} = settings;
  const send = (toHostId: string, message: PeerMessage) =>
    peers.sendMessage(toHostId, message);
  const announceToCoordinators = () => peers.changed('coordinators');
  const alivePeers = () => peers.alive();
  /** What most parts need of the process. */
  const base = {
    ...{clock, random, metrics, createLogger},
    ...{hostId, routing, registry},
  };
  const self = {hostId, incarnation: random.nextId()};
  const fleetSize = createFleetSize({
    hostId,
    hasSeeds: hasOtherSeeds(settings),
    knownPeerCount: () => peers.knownCount(),
  });
  const accounts = createRelayAccounts({
    ...base,
    bounds: live.current,
    self,
    hostCount: () => fleetSize.count(),
    ownerCandidates: () =>
      peers.isMesh() ? remaining.ownerIds() : peers.coordinatorIds(),
    send,
  });
  const remaining = createRemainingHosts({
    hostId,
    peers: alivePeers,
    isLeaving: () => leaving.isLeaving(),
  });
  const backpressure = createBackpressure({
    ...base,
    log: createLogger('backpressure'),
    hostIds: remaining.ownerIds,
    send,
    onChange: announceToCoordinators,
  });
  const readers = createStoreReaders({
    hostId,
    peers: alivePeers,
    isStoreReachable: () => watch.isStoreReachable(),
  });
  const watch = createStoreWatch(
    {
      ...base,
      ...sources,
      log: createLogger('store'),
      storeEra,
      storeTime: accounts.storeTime,
      freshness: accounts.freshness,
      isReader: readers.isReader,
      isCandidate: readers.isCandidate,
      isPlacing: () => placement.isPlacing(),
      isRegistrationNeeded: () => peers.isMesh() || peers.isCoordinator(),
      isAlone: () => peers.alive().length === 0,
      onHosts(records) {
        fleetSize.noteListed(records);
        peers.addAddresses(records.map(({peerAddress}) => peerAddress));
      },
    },
    settings,
  );

  const hostState = createHostState({
    live,
    routing,
    registry,
    readers,
    watch,
    peers: alivePeers,
    isLeaving: () => leaving.isLeaving(),
  });
  const placement = createRelayPlacement({
    ...base,
    capacity: () => hostState.announced().capacity,
    isReady: hostState.isReady,
    isChanging: engineId => roleOrders.changing().includes(engineId),
    isPaused: engineId => backpressure.gate.blockedForMs(engineId) > 0,
    mayBegin: engine => resumption.mayBegin(engine),
    send,
    members: () => peers.alive(),
    isOverShare: accounts.shares.isOverShare,
    onPlaced: accounts.shares.record,
    onChange: () => peers.changed(),
  });
  const peers = createPeerExchange(
    {
      clock,
      log: createLogger('peers'),
      datagrams,
      ownState: hostState.announced,
      ...createPeerState({
        ownState: hostState.announced,
        parts: () => parts,
      }),
      onMembersChange: placement.refresh,
      isNear: placement.isUpdatedAtOnce,
      isReader: readers.isReader,
      fetchMembers: from => handover.fetchMembers(from),
      onPeerSilent: placement.forgetPeer,
      onPeerGone(hostId) {
        placement.removeHost(hostId);
        plainPlaces.removeHost(hostId);
      },
    },
    {
      ...self,
      peerAddress: settings.peerAddress,
      seedAddresses: toSeedAddresses(settings),
    },
  );
  const handover = createPeerSync({
    clock,
    log: createLogger('handover'),
    exchange,
    routing,
    routingSource: sources.routingSource,
    registry,
    storeTime: accounts.storeTime,
    peers: peers.peerSyncStates,
    members: peers.members,
    isStoreReachable: watch.isStoreReachable,
    upstreamAgeMs: () => watch.listAgeMs(),
    onUpstreamsFetched: watch.noteFetchedList,
  });

  const balancer = createPlainBalancer(base, {
    ownFailureDomain: settings.failureDomain,
  });
  const plainPlaces = createPlainPlacement({
    ...base,
    log: createLogger('slots'),
    balancer,
    keepers: placement.keepers,
    keeperCount: placement.groupCount,
    hostCount: () => remaining.hostIds().length,
    shares: accounts.shares,
    leastUrgent: placement.priorities.leastUrgent,
    send,
  });
  const retries = createRelayRetries({
    ...base,
    limits: live.current,
    self,
    peers,
    hostCount: fleetSize.count,
  });
  const resumption = createResumption({
    ...base,
    log: createLogger('resumption'),
    peers: alivePeers,
    isMesh: () => peers.isMesh(),
    archiverIds: hostState.readyReaderIds,
    table: sources.leaseTable,
    storeEra: storeEra.current,
    isWriter: hostState.isPlanner,
    send,
    onOpen: placement.scheduler.processQueue,
  });
  const {resources, memory, bodies, callerBuffers, connections, ...limits} =
    createCallerResources(
      {
        clock,
        createLogger,
        metrics,
        hasOtherEntry: hostState.hasOtherEntry,
        headerTimeoutMs: () => routing.current()?.limits.headerTimeoutMs,
      },
      settings,
    );
  const sending = createRelayUpstreamPort({
    ...base,
    buffers: callerBuffers,
    bodies,
    exchange,
    adapters,
    backpressure,
    self: settings,
    peers: alivePeers,
    isServing: hostState.isReady,
    isTrialOwner: fingerprint =>
      rankOwners('trial', fingerprint, remaining.hostIds()).at(0) ===
      settings.hostId,
    onChange: announceToCoordinators,
  });
  const {upstreamPort, crashes, forwarding} = sending;
  const roleOrders = createPlannedRoleOrders(
    {
      ...base,
      ...placement,
      upstreamPort,
      table: sources.leaseTable,
      services: () => routing.current()?.services ?? [],
      isPlanner: () => !forwarding.links.isIsolated() && hostState.isPlanner(),
      onChange: announceToCoordinators,
    },
    settings,
  );
  const durations = createCallDurations({clock});
  const openJobs = createOpenJobs({
    isWaiting: crashes.isWaiting,
    mayHaveRun: sending.mayHaveRun,
  });
  const loopLateness = createLoopLateness(clock, setImmediate);
  const leaving = createProcessLeaving({
    ...{clock, log, live, durations, openJobs, bodies, loopLateness},
    ...{hostState, forwarding, placement, peers, resumption, watch},
    front: () => front,
  });
  const relay = createRequestRelays({
    ...base,
    upstreamPort,
    retryBudget: retries.allowance,
    memory,
    placement,
    plainPlaces,
    backpressure,
    resumption,
    crashes,
    accounts: accounts.admission,
    durations,
    openJobs,
    configurationStatus: watch.configurationStatus,
    // A leaving entry may close its connections before a wait is over.
    confirmConfiguration: () =>
      watch.confirmConfiguration(!leaving.isLeaving()),
    loopLatenessMs: loopLateness.recentMs,
    refuseForLeaving: leaving.refuse,
  });
  const front = createRelayFront({
    clock,
    buffers: callerBuffers,
    resources,
    bodies,
    connections,
    log: createLogger('front'),
    reader: adapters.reader,
    relay,
    limits: () => routing.current()?.limits,
    isLeaving: leaving.isLeaving,
    refuseArriving: leaving.refuseArriving,
  });

  const platformHandler = adapters.createAuxiliaryHandler({
    isReady: hostState.isReady,
    entries: () =>
      listEntries({clock, random, self: peers.self, peers: peers.alive}),
  });
  const servers = createProcessServers(
    {
      clock,
      log,
      limitConnections: limits.limitConnections,
      maxPeerConnections: resources.maxPeerConnections,
      opener,
      front,
      platformHandler,
      peerHandler: handover.handler,
      peerMessageHandler: forwarding.server.handle,
      renderMetrics: metrics.render,
    },
    settings,
  );

  const parts = {
    watch,
    placement,
    plainPlaces,
    accounts,
    backpressure,
    crashes,
    forwarding,
    registry,
    roleOrders,
    retries,
    resumption,
  };
  announceChanges({...parts, routing, balancer, front, readers, peers});
  registerGauges(metrics, {
    ...parts,
    relay,
    loopLateness,
    peers,
    readers,
    routing,
    storeEra,
    limits: backpressure.limits,
    callerBuffers,
    resources,
    connections,
  });

  await servers.listen();
  peers.start();
  watch.start();
  handover.start();
  loopLateness.onTick(resources.watch.check);
  loopLateness.start();
  roleOrders.start();
  const {callerAddress, peerAddress, storeAddress} = settings;
  log.info('Serving.', {
    hostId,
    callerAddress,
    peerAddress,
    storeAddress,
    // The system clock starts with the process.
    startMs: Math.round(clock.nowMs()),
  });

  async function stop(cutCount: number): Promise<number> {
    const running = [
      ...[handover, loopLateness, roleOrders, resumption],
      ...[forwarding.links, watch, peers],
    ];
    for (const part of running) part.stop();
    servers.close();
    network.close();
    log.info('Stopped.', {hostId, cutRequests: cutCount});
    return cutCount;
  }

  return {
    leave: leaving.start,
    applySettings: live.apply,
    ended: leaving.ended.then(stop),
  };
}
