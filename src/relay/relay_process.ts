/**
 * Creates and connects the parts of a relay process: store, peers,
 * configuration and upstreams first, then the servers for callers.
 */

import {createHttpExchange} from '../adapters/http_exchange.js';
import {splitAddress} from '../adapters/listen.js';
import {createProcessMemory} from '../adapters/process_memory.js';
import {createSystemClock} from '../adapters/system_clock.js';
import {createSystemRandom} from '../adapters/system_random.js';
import {createUdpDatagramPort} from '../adapters/udp_datagram.js';
import {createDerivedList} from '../core/derived_list.js';
import type {Logger} from '../ports/log.js';
import {createPlainBalancer} from '../scheduling/plain_balancer.js';
import {createRelayAccounts} from './accounts/relay_accounts.js';
import {createBackpressure} from './backpressure/backpressure.js';
import {createBodyReader} from './front/body_reader.js';
import {createCallDurations} from './front/call_durations.js';
import {createCallerBuffers} from './front/caller_buffers.js';
import {listEntries} from './front/host_directory.js';
import {createLeaving} from './front/leaving.js';
import {createLoopLateness} from './loop_lateness.js';
import {createFleetSize} from './fleet/fleet_size.js';
import {toHostCapacity} from './fleet/host_capacity.js';
import type {HostState} from './fleet/members.js';
import {createConnectionLimit} from './limits/connection_limit.js';
import {createResourceLimits} from './limits/resource_limits.js';
import {rankOwners} from './fleet/owners.js';
import {createPeerExchange} from './fleet/peer_exchange.js';
import type {OwnState} from './fleet/peer_exchange_types.js';
import {createPeerSync} from './fleet/peer_sync.js';
import {createOpenJobs} from './open_jobs.js';
import {createPeerState} from './peer_state.js';
import {createPlainPlacement} from './plain/plain_placement.js';
import {createPlainRelay} from './plain/plain_relay.js';
import {applyPlainUpstreams} from './plain/plain_upstreams.js';
import {createRelay} from './relay.js';
import {createRelayUpstreamPort} from './relay_upstream_port.js';
import type {RelayAdapters} from './relay_adapters.js';
import {registerGauges} from './relay_gauges.js';
import {createRelayPlacement} from './placement/relay_placement.js';
import {createRelayFront} from './front/relay_front.js';
import type {RelayMetrics} from './relay_metrics.js';
import {createResumption} from './resumption/resumption.js';
import {createRelayRetries} from './retries/relay_retries.js';
import {createOrdersLease} from './roles/orders_lease.js';
import {createRoleOrders} from './roles/role_orders.js';
import {createLiveSettings, type SettingChanges} from './live_settings.js';
import type {RelaySettings} from './relay_settings.js';
import {createRoutingState} from './routing_state.js';
import {createAddressOpener} from './start/address_opener.js';
import {createProcessServers} from './start/process_servers.js';
import {createEngineProbes} from './silence/engine_probes.js';
import {createEngineSilence} from './silence/engine_silence.js';
import {createRunReports} from './silence/run_reports.js';
import {createStoreReaders} from './fleet/store_readers.js';
import {createStoreEra} from './store/store_era.js';
import {createStoreWatch} from './store/store_watch.js';
import {createStreamRelay} from './streams/stream_relay.js';
import {createUpstreamRegistry} from './store/upstream_registry.js';

export interface RelayProcessOptions {
  readonly settings: RelaySettings;
  readonly adapters: RelayAdapters;
  readonly metrics: RelayMetrics;
  readonly createLogger: (part: string) => Logger;
  /** Whether the process was told to end before it served. */
  isEnding?(): boolean;
}

const START_MARGIN_MS = 2_000;

export interface RelayProcess {
  /** Begins to leave, `waitedMs` after the signal for it was received. */
  leave(waitedMs?: number): void;
  /** Uses the new values of the settings that take effect at once. */
  applySettings(next: RelaySettings): SettingChanges;
  /** Resolves to the number of requests that were cut, normally 0. */
  readonly ended: Promise<number>;
}

/** Resolves when the process accepts requests; rejects with a `StartError`. */
export async function startRelay(
  options: RelayProcessOptions,
): Promise<RelayProcess> {
  const {settings, adapters, metrics, createLogger} = options;
  const live = createLiveSettings(settings);
  const clock = createSystemClock();
  const random = createSystemRandom();
  const log = createLogger('relay');
  const exchange = createHttpExchange({
    clock,
    onConnect: () => metrics.count('upstream_connections'),
  });
  // A predecessor holds its addresses until the end of its grace at most.
  const giveUpAfterMs = settings.leaveGraceMs + START_MARGIN_MS;
  const opener = createAddressOpener(
    {clock, log, isEnding: options.isEnding ?? (() => false)},
    {giveUpAfterMs},
  );
  const datagrams = await opener.open({
    what: 'peers over UDP',
    address: settings.peerAddress,
    open: () =>
      createUdpDatagramPort(settings.peerAddress, error =>
        log.warn('The datagram socket failed.', {reason: error.message}),
      ),
  });

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
  const {port: peerPort} = splitAddress(settings.peerAddress);
  const self = {hostId: settings.hostId, incarnation: random.nextId()};
  const fleetSize = createFleetSize({
    hostId: settings.hostId,
    hasSeeds: settings.seedAddresses.some(
      seed => splitAddress(seed).ip !== splitAddress(settings.peerAddress).ip,
    ),
    knownPeerCount: () => peers.knownCount(),
  });
  const accounts = createRelayAccounts({
    clock,
    bounds: live.current,
    random,
    createLogger,
    metrics,
    routing,
    self,
    hostCount: () => fleetSize.count(),
    ownerCandidates: () =>
      peers.isMesh() ? ownerIds() : peers.coordinatorIds(),
    send: (hostId, message) => peers.sendMessage(hostId, message),
  });
  const remainingPeerIds = createDerivedList(
    () => peers.alive(),
    alive =>
      alive.filter(({state}) => state !== 'leaving').map(({hostId}) => hostId),
  );
  const remainingHostIds = createDerivedList(remainingPeerIds, ids => [
    settings.hostId,
    ...ids,
  ]);
  /** A leaving host owns no limits, not even for its own requests. */
  const ownerIds = () =>
    leaving.isLeaving() ? remainingPeerIds() : remainingHostIds();
  const backpressure = createBackpressure({
    clock,
    random,
    log: createLogger('backpressure'),
    metrics,
    hostId: settings.hostId,
    registry,
    hostIds: ownerIds,
    send: (hostId, message) => peers.sendMessage(hostId, message),
    onChange: () => peers.changed('coordinators'),
  });
  const readers = createStoreReaders({
    hostId: settings.hostId,
    peers: () => peers.alive(),
    isStoreReachable: () => watch.isStoreReachable(),
  });
  const watch = createStoreWatch(
    {
      clock,
      random,
      log: createLogger('store'),
      metrics,
      ...sources,
      routing,
      registry,
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
    {hostId: settings.hostId, peerAddress: settings.peerAddress},
  );

  const placement = createRelayPlacement({
    clock,
    random,
    createLogger,
    hostId: settings.hostId,
    capacity: () => ownState().capacity,
    routing,
    registry,
    isReady: () => hostState() === 'ready',
    isChanging: engineId => roleOrders.changing().includes(engineId),
    isPaused: engineId => backpressure.gate.blockedForMs(engineId) > 0,
    mayBegin: engine => resumption.mayBegin(engine),
    send: (hostId, message) => peers.sendMessage(hostId, message),
    members: () => peers.alive(),
    isOverShare: accounts.shares.isOverShare,
    onPlaced: accounts.shares.record,
    onChange: () => peers.changed(),
  });
  const {engineLoads, statistics} = placement;
  const peers = createPeerExchange(
    {
      clock,
      log: createLogger('peers'),
      datagrams,
      ownState,
      ...createPeerState({
        ownState,
        parts: () => ({
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
        }),
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
      // All hosts use the same peer port, but a seed may contain another port.
      seedAddresses: settings.seedAddresses.map(
        seed => `${splitAddress(seed).ip}:${peerPort}`,
      ),
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

  const balancer = createPlainBalancer(
    {clock, random},
    {ownFailureDomain: settings.failureDomain},
  );
  const plainPlaces = createPlainPlacement({
    clock,
    random,
    log: createLogger('slots'),
    hostId: settings.hostId,
    registry,
    balancer,
    keepers: placement.keepers,
    keeperCount: placement.groupCount,
    hostCount: () => remainingHostIds().length,
    shares: accounts.shares,
    leastUrgent: placement.priorities.leastUrgent,
    send: (hostId, message) => peers.sendMessage(hostId, message),
  });
  const retries = createRelayRetries({
    clock,
    random,
    createLogger,
    metrics,
    limits: live.current,
    self,
    peers,
    hostCount: fleetSize.count,
    routing,
  });
  const resumption = createResumption({
    clock,
    random,
    log: createLogger('resumption'),
    metrics,
    hostId: settings.hostId,
    registry,
    routing,
    peers: () => peers.alive(),
    isMesh: () => peers.isMesh(),
    archiverIds: findReadyReaderIds,
    table: sources.leaseTable,
    storeEra: storeEra.current,
    isWriter: () => isPlanner(),
    send: (hostId, message) => peers.sendMessage(hostId, message),
    onOpen: placement.scheduler.processQueue,
  });
  const resources = createResourceLimits(
    {
      clock,
      processMemory: createProcessMemory(),
      log: createLogger('limits'),
      metrics,
      hasOtherEntry: () => peers.alive().some(({state}) => state === 'ready'),
    },
    settings,
  );
  const {memory} = resources;
  const bodies = createBodyReader({
    clock,
    log: createLogger('bodies'),
    metrics,
    resources,
  });
  const callerBuffers = createCallerBuffers({
    clock,
    log: createLogger('front'),
    metrics,
    memory,
  });
  const sending = createRelayUpstreamPort({
    buffers: callerBuffers,
    bodies,
    clock,
    random,
    createLogger,
    metrics,
    exchange,
    adapters,
    backpressure,
    registry,
    self: settings,
    peers: () => peers.alive(),
    isServing: () => hostState() === 'ready',
    isTrialOwner: fingerprint =>
      rankOwners('trial', fingerprint, remainingHostIds()).at(0) ===
      settings.hostId,
    onChange: () => peers.changed('coordinators'),
  });
  const {upstreamPort, crashes, forwarding} = sending;
  const probes = createEngineProbes({clock, upstreamPort});
  const retryBudget = retries.allowance;
  const shared = {clock, upstreamPort, registry, retryBudget};
  const roleOrders = createRoleOrders(
    {
      clock,
      log: createLogger('orders'),
      metrics,
      registry,
      engineLoads,
      upstreamPort,
      statistics,
      lease: createOrdersLease(
        {
          clock,
          random,
          table: sources.leaseTable,
          log: createLogger('orders'),
        },
        settings,
      ),
      services: () => routing.current()?.services ?? [],
      isPlanner: () => !forwarding.links.isIsolated() && isPlanner(),
      onChange: () => peers.changed('coordinators'),
    },
    {hostId: settings.hostId},
  );
  const durations = createCallDurations({clock});
  const openJobs = createOpenJobs({
    isWaiting: crashes.isWaiting,
    mayHaveRun: sending.mayHaveRun,
  });
  const loopLateness = createLoopLateness(clock, setImmediate);
  const leaving = createLeaving({
    clock,
    log,
    durations,
    graceMs: () => live.current().leaveGraceMs,
    signalsHandledUntilMs: loopLateness.handledUntilMs,
    hasOtherEntry: () => peers.alive().some(({state}) => state === 'ready'),
    refuseWaiting: openJobs.refuseWaiting,
    endUnanswered(notRun) {
      openJobs.endUnanswered(notRun);
      bodies.refuseOpen(notRun);
    },
    openCount: () => front.openCount() + forwarding.server.activeCount(),
    cutCount: () => front.cutCount() + forwarding.server.activeCount(),
    lastRequestAtMs: () => front.lastRequestAtMs(),
    onLeave() {
      placement.refresh();
      peers.changed('coordinators');
      resumption.handOver();
      watch.unregister();
    },
  });
  const silence = createEngineSilence({
    clock,
    probes,
    reports: createRunReports({clock, upstreamPort}),
    registry,
    runs: crashes.runs,
  });
  const relay = createRelay({
    clock,
    random,
    log: createLogger('request'),
    metrics,
    routing,
    plain: createPlainRelay({
      ...shared,
      memory,
      priorities: placement.priorities,
      slots: plainPlaces.slots,
      log: createLogger('plain'),
      pausedMs: backpressure.gate.blockedForMs,
      silence,
    }),
    streams: createStreamRelay({
      ...placement,
      ...shared,
      memory,
      metrics,
      probes,
      silence,
      resumption,
      log: createLogger('stream'),
    }),
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
  const limitConnections = (
    server: string,
    maxConnections: number,
    headerTimeoutMs?: () => number | undefined,
  ) =>
    createConnectionLimit(
      {clock, log: createLogger('limits'), metrics, memory},
      {server, maxConnections, headerTimeoutMs},
    );
  const connections = limitConnections(
    'callers',
    resources.maxCallerConnections,
    () => routing.current()?.limits.headerTimeoutMs,
  );
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

  /** The store readers that stay, in the same order at all hosts. */
  function findReadyReaderIds(): readonly string[] {
    const ready = new Set(hostState() === 'ready' ? [settings.hostId] : []);
    for (const {hostId, state} of peers.alive()) {
      if (state === 'ready') ready.add(hostId);
    }
    return readers.readerIds().filter(hostId => ready.has(hostId));
  }

  /**
   * Returns the host that plans role orders. It must be a store reader: it
   * needs the store for the lease, and readers receive the state of all hosts.
   * The last one is chosen, since the first ones usually place requests for
   * other hosts.
   */
  const findPlannerId = () => findReadyReaderIds().at(-1);

  /** Whether this host reads and writes the store on behalf of all. */
  function isPlanner(): boolean {
    return (
      hostState() === 'ready' &&
      watch.isStoreReachable() &&
      findPlannerId() === settings.hostId
    );
  }

  function ownState(): OwnState {
    return {
      state: hostState(),
      callerAddress: settings.callerAddress,
      failureDomain: settings.failureDomain,
      isStoreReachable: watch.isStoreReachable() || !readers.isCandidate(),
      capacity: toHostCapacity(live.current()),
    };
  }

  function hostState(): HostState {
    if (leaving.isLeaving()) return 'leaving';
    const isServing = routing.current() !== undefined && registry.isKnown();
    return isServing ? 'ready' : 'starting';
  }

  const platformHandler = adapters.createAuxiliaryHandler({
    isReady: () => hostState() === 'ready',
    entries: () =>
      listEntries({clock, random, self: peers.self, peers: peers.alive}),
  });
  const servers = createProcessServers(
    {
      clock,
      log,
      // A request that has only begun may be closed for another one.
      limitConnections: (server, maxConnections) =>
        limitConnections(server, maxConnections, () => 0),
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

  const applyUpstreams = () =>
    applyPlainUpstreams({routing, registry, balancer});

  routing.onChange(({limits}) => {
    front.applyLimits(limits);
    placement.refresh();
    applyUpstreams();
    // Readers and coordinators announce a new version to all hosts. Others
    // announce it only to nearby hosts: many apply it at once, and the
    // coordinators have it already.
    const isHeardByAll = readers.isReader() || peers.isCoordinator();
    peers.changed(isHeardByAll ? 'all' : 'near');
  });
  let announcedDigest: number | undefined;
  let announcedLeaving = 0;
  registry.onChange(() => {
    applyUpstreams();
    crashes.noteList();
    resumption.noteList();
    placement.onUpstreamsRead();
    const leavingCount = registry.leaving('self').length;
    if (leavingCount > announcedLeaving) peers.changed('coordinators');
    announcedLeaving = leavingCount;
    if (registry.digest() === announcedDigest) return;
    announcedDigest = registry.digest();
    if (readers.isReader()) peers.changed('coordinators');
  });

  registerGauges(metrics, {
    relay,
    loopLateness,
    peers,
    readers,
    routing,
    storeEra,
    watch,
    registry,
    placement,
    plainPlaces,
    limits: backpressure.limits,
    callerBuffers,
    resources,
    connections,
    crashes,
    forwarding,
    resumption,
  });

  await servers.listen();
  peers.start();
  watch.start();
  handover.start();
  loopLateness.onTick(resources.watch.check);
  loopLateness.start();
  roleOrders.start();
  const {hostId, callerAddress, peerAddress, storeAddress} = settings;
  log.info('Serving.', {
    hostId,
    callerAddress,
    peerAddress,
    storeAddress,
    // The system clock starts with the process.
    startMs: Math.round(clock.nowMs()),
  });

  async function stop(cutCount: number): Promise<number> {
    handover.stop();
    loopLateness.stop();
    roleOrders.stop();
    resumption.stop();
    forwarding.links.stop();
    watch.stop();
    peers.stop();
    servers.close();
    exchange.close();
    datagrams.close();
    log.info('Stopped.', {hostId, cutRequests: cutCount});
    return cutCount;
  }

  return {
    leave: leaving.start,
    applySettings: live.apply,
    ended: leaving.ended.then(stop),
  };
}
