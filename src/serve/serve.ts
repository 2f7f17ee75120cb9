/**
 * One process of the system, put together: from the platform and the members
 * over the configuration and the upstreams to the callers, as calls in order.
 */

import {isKeyShown} from '../adapters/peer_connection.js';
import {createAccountLimits} from '../core/account_limits.js';
import {hashPrefixes} from '../core/prompt_tokens.js';
import type {HostSettings, Settings} from '../core/settings_types.js';
import {createHttpFront} from '../entry/http_front.js';
import type {Logger} from '../ports/log.js';
import {createQuarantine} from '../request/quarantine.js';
import {createRequestRunner} from '../request/request_runner.js';
import {createRetryBudget} from '../request/retry_budget.js';
import {createSweep} from '../request/sweep.js';
import {createPlainBalancer} from '../scheduling/plain_balancer.js';
import {createAnswersHost} from './answers_host.js';
import {createConfigurationHost} from './configuration_host.js';
import {createDrain} from './drain.js';
import {createEntryDirectory} from './entry_directory.js';
import {createFleet} from './fleet.js';
import {createGrantsHost} from './grants_host.js';
import {createJournalHost} from './journal_host.js';
import {createOwnerInquiry} from './owner_inquiry.js';
import {createRequestObserver, meterGrants} from './metered_requests.js';
import {addPeerServices} from './peer_services.js';
import {createPeerServer} from './peer_server.js';
import {createPlainUpstreams} from './plain_upstreams.js';
import {createQuarantineFacts} from './quarantine_facts.js';
import {getHostListIntervalMs, listenToSignals} from './startup.js';
import {createUpstreamWatch} from './upstream_watch.js';
import {createWorld} from './world.js';

export interface ServeOptions {
  /** Makes the logger of a part, with its level and format. */
  readonly createLogger: (part: string) => Logger;
}

const DRAIN_BOUND_MS = 600_000;
const RETRY_BURST = 20;
const MAX_PREFIX_BLOCKS = 64;
const EXIT_DONE = 0;
const EXIT_CUT = 1;

/** Runs until the process has drained; the result is the exit code. */
export async function runServe(
  host: HostSettings,
  options: ServeOptions,
): Promise<number> {
  const world = await createWorld(host, options.createLogger);
  const {clock, metrics, createLogger} = world;
  const log = createLogger('serve');
  const fleet = createFleet(world);
  const {membership, owners, liveness} = fleet;
  const {facts} = membership;

  const configuration = createConfigurationHost(world, fleet);
  const {getSettings} = configuration;
  const findService = (name: string) =>
    getSettings()?.services.find(service => service.name === name);

  const upstreams = createUpstreamWatch(
    {
      ...world,
      log: createLogger('upstreams'),
      getSettings,
      onHostsRead: fleet.applyHostList,
    },
    {readIntervalMs: () => getHostListIntervalMs(fleet.countUsable())},
  );
  const plainBalancer = createPlainUpstreams(
    createPlainBalancer(world, {ownFailureDomain: host.failureDomain}),
    upstreams.markLeaving,
  );
  const grants = createGrantsHost(world, fleet, {
    getSettings,
    getUpstreams: upstreams.upstreams,
    onEngineLeaving: upstreams.markLeaving,
  });
  const journal = createJournalHost(world, fleet, getSettings);
  const answers = createAnswersHost(world, fleet, getSettings, key =>
    journal.guessOwner(key),
  );

  const quarantineFacts = createQuarantineFacts(facts, host.hostId);
  const quarantine = createQuarantine({
    clock,
    broadcast: quarantineFacts.spread,
  });
  quarantineFacts.connect(quarantine);
  const runner = createRequestRunner({
    ...world,
    log: createLogger('request'),
    entry: liveness.selfTag(),
    grants: meterGrants(world, grants.choice),
    journal: journal.journal,
    plainBalancer,
    quarantine,
    keptAnswers: answers.kept,
    observer: createRequestObserver(metrics),
    retryBudget: createRetryBudget({
      burst: () => RETRY_BURST,
      ratioOf: name => findService(name)?.retryBudget ?? 0,
    }),
    prefixHashes: tokens => hashPrefixes(tokens, MAX_PREFIX_BLOCKS),
    ttftTargetMs: name => findService(name)?.targets.ttftMs,
  });

  // What its owner no longer knows of is freed by the engine's home.
  const inquiry = createOwnerInquiry(world, fleet, runner.isRunning);
  const sweep = createSweep({
    ...world,
    log: createLogger('sweep'),
    addresses: grants.homes.engineAddresses,
    ownerState: inquiry.ownerState,
  });

  const drain = createDrain({
    clock,
    log,
    directoryTtlMs: () => getSettings()?.coordination.directoryTtlMs ?? 0,
    activeCount: () => Math.max(runner.activeCount(), front.openCount()),
    announceLeaving() {
      membership.leave();
      update();
    },
  });
  const directory = createEntryDirectory(world, membership, {
    getSettings,
    openCount: () => front.openCount(),
  });
  const front = createHttpFront({
    ...world,
    log: createLogger('entry'),
    runner,
    limits: createAccountLimits({clock, entryCount: fleet.countUsable}),
    getSettings: configuration.getFrontSettings,
    getEntries: directory.answer,
    isOperator: authorization =>
      isKeyShown(authorization ?? null, host.operatorKey),
    isLeaving: drain.isLeaving,
  });
  const peerServer = createPeerServer(host, router =>
    addPeerServices(router, {
      answers,
      configuration,
      grants,
      journal,
      isRequestRunning: runner.isRunning,
      readStatus,
      startDrain: drain.start,
    }),
  );

  function update(): void {
    owners.refresh();
    plainBalancer.update(upstreams.upstreams());
    grants.update();
    journal.update();
    metrics.setMembersAlive(fleet.countUsable());
  }

  function applySettings(settings: Settings): void {
    fleet.applySettings(settings.coordination);
    metrics.setKnownNames(
      settings.services.map(service => service.name),
      settings.accounts.map(account => account.name),
    );
    const {inForceRevision} = configuration.keeper.status();
    metrics.setConfigurationRevision(inForceRevision);
    upstreams.refresh();
    update();
  }

  function readStatus() {
    return {
      hostId: host.hostId,
      site: host.site,
      failureDomain: host.failureDomain,
      leaving: drain.isLeaving(),
      activeRequests: runner.activeCount(),
      configuration: configuration.keeper.status(),
      members: membership.members(),
      upstreams: upstreams.upstreams(),
      homes: grants.homes.summaries(),
      journalPartitions: journal.ownedPartitions(),
      leases: fleet.getLeases()?.held() ?? [],
      ownership: owners.history(),
      table: fleet.table.state(),
    };
  }

  configuration.onChange(applySettings);
  upstreams.onChange(update);
  membership.changes.listen(change => {
    const goneEntries = liveness.applyChange(change);
    for (const entry of goneEntries) grants.homes.entryGone(entry);
    // First the homes that fall to this process, then a look at their engines.
    update();
    if (goneEntries.length > 0) sweep.runNow();
  });

  await peerServer.listen(host.peerAddress);
  await front.listen(host.callerAddress);
  fleet.start();
  configuration.keeper.start();
  upstreams.start();
  grants.start();
  directory.start();
  const {hostId, callerAddress, peerAddress} = host;
  log.info('Serving.', {hostId, callerAddress, peerAddress});

  const stopSignals = listenToSignals(log, drain, DRAIN_BOUND_MS);
  const cutCount = await drain.ended;
  stopSignals();
  if (cutCount > 0) log.error('Requests were cut.', {count: cutCount});

  sweep.stop();
  upstreams.stop();
  grants.stop();
  directory.stop();
  await journal.stop();
  configuration.keeper.stop();
  await fleet.stop();
  front.server.closeAllConnections();
  await front.close();
  await peerServer.close();
  world.datagrams.close();
  log.info('Stopped.', {hostId});
  return cutCount > 0 ? EXIT_CUT : EXIT_DONE;
}
