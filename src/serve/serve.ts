/**
 * One process of the system, put together: the pipeline from the platform, the
 * members and the configuration to the callers, as calls in order.
 */

import {Registry} from 'prom-client';
import {createHttpEngineFactory} from '../adapters/http_engine.js';
import {createHttpHostList} from '../adapters/http_host_list.js';
import {createHttpObjectStore} from '../adapters/http_object_store.js';
import {createHttpPlainServiceFactory} from '../adapters/http_plain_service.js';
import {createHttpTable} from '../adapters/http_table.js';
import {createMetrics} from '../adapters/metrics.js';
import {
  createAnswerIndexService,
  createAnswerPeers,
  createAnswerPeerService,
  createPeerAnswerIndex,
} from '../adapters/peer_answers.js';
import {createPeerTransports} from '../adapters/peer_connection.js';
import {createHomeService} from '../adapters/peer_grants.js';
import {createJournalService} from '../adapters/peer_journal.js';
import {createSystemClock} from '../adapters/system_clock.js';
import {createSystemRandom} from '../adapters/system_random.js';
import {createUdpDatagramPort} from '../adapters/udp_datagram.js';
import {createLeaseKeeper, type LeaseKeeper} from '../coordination/lease.js';
import {isUsable} from '../coordination/member_records.js';
import {createMembership} from '../coordination/membership.js';
import {createTableClient} from '../coordination/table_client.js';
import {createAccountLimits} from '../core/account_limits.js';
import {hashPrefixes} from '../core/prompt_tokens.js';
import type {
  CoordinationSettings,
  HostSettings,
} from '../core/settings_types.js';
import {createHttpFront} from '../entry/http_front.js';
import {
  AnswerIndex,
  AnswerPeer,
  ConfigurationPeer,
  Home,
  Journal,
  Operator,
} from '../generated/corianderbend/peer_pb.js';
import type {AnswerIndexPort, AnswerKey} from '../ports/kept_answers.js';
import type {Logger} from '../ports/log.js';
import {createAnswerIndex} from '../request/answer_index.js';
import {createKeptAnswers} from '../request/kept_answers.js';
import {createQuarantine} from '../request/quarantine.js';
import {createRequestRunner} from '../request/request_runner.js';
import {createRetryBudget} from '../request/retry_budget.js';
import {createPlainBalancer} from '../scheduling/plain_balancer.js';
import {
  createConfigurationHost,
  createConfigurationPeerService,
} from './configuration_host.js';
import {createDrain} from './drain.js';
import {createEntryDirectory} from './entry_directory.js';
import {createEntryLiveness} from './entry_liveness.js';
import {createGrantsHost} from './grants_host.js';
import {createJournalHost} from './journal_host.js';
import {createOperatorService} from './operator_service.js';
import {createOwners} from './owners.js';
import {createPeerServer} from './peer_server.js';
import {createPlainUpstreams} from './plain_upstreams.js';
import {rememberByAddress} from './port_cache.js';
import {createQuarantineFacts} from './quarantine_facts.js';
import {startup, type StartupCoordination} from './startup_settings.js';
import {createUpstreamWatch} from './upstream_watch.js';

export interface ServeOptions {
  /** Makes the logger of a part, with its level and format. */
  readonly createLogger: (part: string) => Logger;
}

const DEFAULT_DRAIN_BOUND_MS = 600_000;
const EXIT_DONE = 0;
const EXIT_CUT = 1;

/** Runs until the process has drained; the result is the exit code. */
export async function runServe(
  host: HostSettings,
  options: ServeOptions,
): Promise<number> {
  const {hostId, failureDomain, peerAddress, callerAddress} = host;
  const {createLogger} = options;
  const log = createLogger('serve');
  const clock = createSystemClock();
  const random = createSystemRandom();
  const metrics = createMetrics(new Registry());
  const transports = createPeerTransports(host.peerKey);
  const getTransport = (address: string) => transports.get(address);

  // Used before there is a configuration, and replaced by it.
  let coordination: StartupCoordination = startup.coordination;

  // The platform, and what a host may ask of it.
  const platform = {baseUrl: host.platformUrl};
  const tablePort = createHttpTable({clock}, platform);
  const objectStore = createHttpObjectStore({clock}, platform);
  const hostList = createHttpHostList({clock}, platform);
  const datagrams = await createUdpDatagramPort(peerAddress, error =>
    log.warn('The datagram socket failed.', {reason: error.message}),
  );
  const membership = createMembership(
    {clock, random, datagrams},
    {
      hostId,
      failureDomain,
      address: peerAddress,
      callerAddress,
      peerKey: host.peerKey,
      get probeIntervalMs() {
        return coordination.probeIntervalMs;
      },
      get suspicionMs() {
        return coordination.suspicionMs;
      },
    },
  );
  const {facts} = membership;
  const countUsable = () => membership.members().filter(isUsable).length;
  const tableClient = createTableClient(
    {clock, random, table: tablePort},
    {
      hostCount: countUsable,
      get fleetWritesPerSecond() {
        return coordination.tableWritesPerSecond;
      },
      get fleetReadsPerSecond() {
        return coordination.tableReadsPerSecond;
      },
      callTimeoutMs: startup.tableCallTimeoutMs,
    },
  );
  const owners = createOwners(clock, membership);
  const guessOwner = owners.ownerOf;
  const liveness = createEntryLiveness(membership);

  // The configuration in force.
  const configuration = createConfigurationHost({
    clock,
    random,
    log: createLogger('configuration'),
    table: tableClient,
    facts,
    membership,
    hostId,
    site: host.site,
    getTransport,
  });
  const {getSettings} = configuration;

  // Upstreams, and who hands them out.
  const enginePort = rememberByAddress(
    createHttpEngineFactory({clock, random}),
  );
  const plainPort = rememberByAddress(createHttpPlainServiceFactory({clock}));
  const upstreams = createUpstreamWatch(
    {clock, log: createLogger('upstreams'), hostList, getSettings},
    {readIntervalMs: () => startup.getHostListIntervalMs(countUsable())},
  );
  const plainBalancer = createPlainUpstreams(
    createPlainBalancer({clock, random}, {ownFailureDomain: failureDomain}),
    upstreams.markLeaving,
  );
  const grants = createGrantsHost({
    clock,
    random,
    log: createLogger('grants'),
    enginePort,
    facts,
    membership,
    hostId,
    failureDomain,
    getSettings,
    getUpstreams: upstreams.upstreams,
    guessOwner,
    onEngineLeaving: upstreams.markLeaving,
    getTransport,
  });

  // What must not run twice. The first configuration says how long leases are;
  // a later change of that takes force when a process starts again.
  let leases: LeaseKeeper | undefined;
  function startLeases({leaseMs, clockRateError}: CoordinationSettings): void {
    if (leases) return;
    leases = createLeaseKeeper(
      {clock, random, table: tableClient, log: createLogger('lease')},
      {hostId, leaseMs, clockRateError},
    );
    leases.start();
  }
  const journal = createJournalHost({
    clock,
    random,
    log: createLogger('journal'),
    tablePort,
    tableClient,
    objectStore,
    getLeases: () => leases,
    membership,
    hostId,
    getSettings,
    guessOwner,
    isEntryAlive: liveness.isAlive,
    getTransport,
    onTransaction: metrics.recordJournalBatch,
  });

  // Requests.
  const quarantineFacts = createQuarantineFacts(facts, hostId);
  const quarantine = createQuarantine({clock, spread: quarantineFacts.spread});
  quarantineFacts.connect(quarantine);
  const ownIndex = createAnswerIndex({clock});
  const findIndex = (key: AnswerKey): AnswerIndexPort | undefined => {
    const owner = guessOwner(`journal/${journal.partitionOf(key)}`);
    if (owner === undefined || owner === hostId) return ownIndex;
    const address = membership.get(owner)?.address;
    return address ? createPeerAnswerIndex(getTransport(address)) : undefined;
  };
  const findService = (name: string) =>
    getSettings()?.services.find(service => service.name === name);
  const keptAnswers = createKeptAnswers(
    {
      clock,
      log: createLogger('answers'),
      objectStore,
      index: {
        find: async (key, timeoutMs) =>
          (await findIndex(key)?.find(key, timeoutMs)) ?? {kind: 'unsure'},
        announce: (key, place) => findIndex(key)?.announce(key, place),
      },
      peers: createAnswerPeers(getTransport),
      peerAddress,
    },
    {
      ...startup.keptAnswers,
      retentionMs: name => findService(name)?.keepAnswersMs ?? 0,
    },
  );
  const runner = createRequestRunner({
    clock,
    random,
    log: createLogger('request'),
    entry: liveness.selfTag(),
    enginePort,
    plainPort,
    grants: grants.choice,
    journal: journal.journal,
    plainBalancer,
    quarantine,
    keptAnswers,
    retryBudget: createRetryBudget({
      burst: startup.retryBurst,
      ratioOf: name => findService(name)?.retryBudget ?? 0,
    }),
    prefixHashes: tokens => hashPrefixes(tokens, startup.maxPrefixBlocks),
    ttftTargetMs: name => findService(name)?.targets.ttftMs,
  });

  // Callers.
  const drain = createDrain({
    clock,
    log,
    directoryTtlMs: () => getSettings()?.coordination.directoryTtlMs ?? 0,
    activeCount: () => runner.activeCount() + front.openCount(),
    announceLeaving() {
      membership.leave();
      updateAll();
    },
  });
  const directory = createEntryDirectory({
    clock,
    random,
    membership,
    hostId,
    callerAddress,
    getSettings,
    openCount: () => front.openCount(),
  });
  const front = createHttpFront({
    clock,
    random,
    log: createLogger('entry'),
    runner,
    limits: createAccountLimits({clock, entryCount: countUsable}),
    metrics,
    getSettings: configuration.getFrontSettings,
    getEntries: directory.answer,
    isLeaving: drain.isLeaving,
  });

  // Peers and operators.
  const peerServer = createPeerServer(host, router => {
    router
      .service(Home, createHomeService(grants.homes.find))
      .service(
        Journal,
        createJournalService(request =>
          journal.findOwner(journal.partitionOf(request)),
        ),
      )
      .service(
        AnswerIndex,
        createAnswerIndexService(() => ownIndex),
      )
      .service(AnswerPeer, createAnswerPeerService(keptAnswers.serveRead))
      .service(
        ConfigurationPeer,
        createConfigurationPeerService(configuration.keeper),
      )
      .service(
        Operator,
        createOperatorService({
          keeper: configuration.keeper,
          readStatus,
          startDrain: drain.start,
        }),
      );
  });

  function updateAll(): void {
    owners.refresh();
    plainBalancer.update(upstreams.upstreams());
    grants.update();
    journal.update();
    metrics.setMembersAlive(countUsable());
  }

  function readStatus() {
    return {
      hostId,
      site: host.site,
      failureDomain,
      leaving: drain.isLeaving(),
      activeRequests: runner.activeCount(),
      configuration: configuration.keeper.status(),
      members: membership.members(),
      upstreams: upstreams.upstreams(),
      homes: grants.homes.summaries(),
      journalPartitions: journal.ownedPartitions(),
      leases: leases?.held() ?? [],
      ownership: owners.history(),
      table: tableClient.state(),
    };
  }

  configuration.onChange(settings => {
    coordination = settings.coordination;
    startLeases(settings.coordination);
    metrics.setKnownNames(
      settings.services.map(service => service.name),
      settings.accounts.map(account => account.name),
    );
    metrics.setConfigurationRevision(
      configuration.keeper.current()?.revision ?? 0,
    );
    upstreams.refresh();
    updateAll();
  });
  upstreams.onChange(updateAll);
  membership.changes.listen(change => {
    for (const entry of liveness.applyChange(change)) {
      grants.homes.entryGone(entry);
    }
    updateAll();
  });

  await peerServer.listen(peerAddress);
  await front.listen(callerAddress);
  membership.start();
  const stopSeeding = startup.startSeeding(clock, hostList, membership);
  configuration.keeper.start();
  upstreams.start();
  grants.start();
  directory.start();
  log.info('Serving.', {hostId, callerAddress, peerAddress});

  const stopSignals = startup.listenToSignals(
    log,
    drain,
    DEFAULT_DRAIN_BOUND_MS,
  );
  const cutCount = await drain.ended;

  stopSignals();
  if (cutCount > 0) log.error('Requests were cut.', {count: cutCount});
  upstreams.stop();
  grants.stop();
  directory.stop();
  await journal.stop();
  await leases?.stop();
  configuration.keeper.stop();
  stopSeeding();
  front.server.closeAllConnections();
  await front.close();
  await peerServer.close();
  membership.stop();
  datagrams.close();
  log.info('Stopped.', {hostId});
  return cutCount > 0 ? EXIT_CUT : EXIT_DONE;
}
