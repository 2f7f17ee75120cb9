/**
 * Runs one process of the system: creates its components, connects them, starts
 * them and stops them in order after the drain.
 */

import {hasValidKey} from '../adapters/peer_connection.js';
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
import {createOwnerStateLookup} from './owner_state_lookup.js';
import {createRequestObserver, meterGrants} from './metered_requests.js';
import {addPeerServices} from './peer_services.js';
import {createPeerServer} from './peer_server.js';
import {createPlainUpstreams} from './plain_upstreams.js';
import {createQuarantineFacts} from './quarantine_facts.js';
import {getHostListIntervalMs, listenToSignals} from './startup.js';
import {createUpstreamWatch} from './upstream_watch.js';
import {createProcessAdapters} from './process_adapters.js';

export interface ServeOptions {
  /** Creates the logger of a part, with its level and format. */
  readonly createLogger: (part: string) => Logger;
}

const DRAIN_BOUND_MS = 600_000;
const RETRY_BURST = 20;
const MAX_PREFIX_BLOCKS = 64;
const EXIT_DONE = 0;
const EXIT_REQUESTS_ABORTED = 1;

/** Runs until the process has drained; returns the exit code. */
export async function runServe(
  host: HostSettings,
  options: ServeOptions,
): Promise<number> {
  const adapters = await createProcessAdapters(host, options.createLogger);
  const {clock, metrics, createLogger} = adapters;
  const log = createLogger('serve');
  const fleet = createFleet(adapters);
  const {membership, owners, liveness} = fleet;
  const {facts} = membership;

  const configuration = createConfigurationHost(adapters, fleet);
  const {getSettings} = configuration;
  const findService = (name: string) =>
    getSettings()?.services.find(service => service.name === name);

  const upstreams = createUpstreamWatch(
    {
      ...adapters,
      log: createLogger('upstreams'),
      getSettings,
      onHostsRead: fleet.applyHostList,
    },
    {readIntervalMs: () => getHostListIntervalMs(fleet.countUsableMembers())},
  );
  const plainBalancer = createPlainUpstreams(
    createPlainBalancer(adapters, {ownFailureDomain: host.failureDomain}),
    upstreams.markLeaving,
  );
  const grants = createGrantsHost(adapters, fleet, {
    getSettings,
    getUpstreams: upstreams.upstreams,
    onEngineLeaving: upstreams.markLeaving,
  });
  const journal = createJournalHost(adapters, fleet, getSettings);
  const answers = createAnswersHost(adapters, fleet, getSettings, key =>
    journal.getExpectedOwner(key),
  );

  const quarantineFacts = createQuarantineFacts(facts, host.hostId);
  const quarantine = createQuarantine({
    clock,
    broadcast: quarantineFacts.publish,
  });
  quarantineFacts.deliverTo(quarantine);
  const runner = createRequestRunner({
    ...adapters,
    log: createLogger('request'),
    entry: liveness.selfTag(),
    grants: meterGrants(adapters, grants.choice),
    journal: journal.journal,
    plainBalancer,
    quarantine,
    keptAnswers: answers.keptAnswers,
    observer: createRequestObserver(metrics),
    retryBudget: createRetryBudget({
      burst: () => RETRY_BURST,
      ratioOf: name => findService(name)?.retryBudget ?? 0,
    }),
    prefixHashes: tokens => hashPrefixes(tokens, MAX_PREFIX_BLOCKS),
    ttftTargetMs: name => findService(name)?.targets.ttftMs,
  });

  // The home of an engine frees memory whose owner no longer runs the request.
  const ownerStates = createOwnerStateLookup(adapters, fleet, runner.isRunning);
  const sweep = createSweep({
    ...adapters,
    log: createLogger('sweep'),
    addresses: grants.homes.engineAddresses,
    ownerState: ownerStates.ownerState,
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
  const directory = createEntryDirectory(adapters, membership, {
    getSettings,
    openCount: () => front.openCount(),
  });
  const front = createHttpFront({
    ...adapters,
    log: createLogger('entry'),
    runner,
    limits: createAccountLimits({clock, entryCount: fleet.countUsableMembers}),
    getSettings: configuration.getFrontSettings,
    getEntries: directory.answer,
    isOperator: authorization =>
      hasValidKey(authorization ?? null, host.operatorKey),
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
    metrics.setMembersAlive(fleet.countUsableMembers());
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
    const goneEntries = liveness.getGoneEntries(change);
    for (const entry of goneEntries) grants.homes.releaseEntry(entry);
    // The update starts the homes that this process now owns, and the sweep
    // then covers their engines.
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
  const abortedCount = await drain.ended;
  stopSignals();
  if (abortedCount > 0) log.error('Requests were cut.', {count: abortedCount});

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
  adapters.datagrams.close();
  log.info('Stopped.', {hostId});
  return abortedCount > 0 ? EXIT_REQUESTS_ABORTED : EXIT_DONE;
}
