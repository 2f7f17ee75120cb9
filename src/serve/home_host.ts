/**
 * Runs the homes of the shards that this process owns: starts a home when the
 * process becomes the owner of a shard, stops it when the owner changes, and
 * forwards the reports of the engines to it.
 */

import type {AccountLimits} from '../core/scheduling/account_shares.js';
import type {EngineDescription} from '../core/scheduling/engine_reservations.js';
import type {ModelServiceSettings, Settings} from '../core/settings_types.js';
import type {Shard, ShardEngine} from '../core/shard_map.js';
import type {Clock} from '../ports/clock.js';
import type {EngineLoadReport, EnginePortFactory} from '../ports/engine.js';
import type {Logger} from '../ports/log.js';
import type {Random} from '../ports/random.js';
import {
  createShardHome,
  type ShardHome,
  type ShardSummary,
} from '../scheduling/shard_home.js';
import {startEnginePoll, type EnginePoll} from './engine_poll.js';

const POLL_OPTIONS = {
  intervalMs: 500,
  timeoutMs: 1000,
  failureLimit: 2,
} as const;
/** Used for all engines, since load reports do not contain the link rate. */
const DEFAULT_LINK_BYTES_PER_MS = 10_000_000;
/**
 * Time in which entries report their grants to a new home. The home limits
 * admission meanwhile.
 */
const REBUILD_MS = 1000;

export interface HomeHostPorts {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly enginePort: EnginePortFactory;
  /** Called when an engine reports that it is leaving. */
  onEngineLeaving(engineId: string): void;
}

export interface HomeHost {
  /** Applies a change of shards, owners, leaving engines or settings. */
  update(plan: HomePlan): void;
  find(shardId: string): ShardHome | undefined;
  summaries(): readonly ShardSummary[];
  /** Addresses of the engines of all homes in this process. */
  engineAddresses(): readonly string[];
  /** Frees the grants and queued requests of an entry that has ended. */
  releaseEntry(entryTag: string): void;
  stop(): void;
}

/** The homes that should run in this process, and their settings. */
export interface HomePlan {
  readonly settings: Settings;
  readonly ownShards: readonly Shard[];
  readonly leavingEngineIds: ReadonlySet<string>;
}

interface RunningEngine {
  readonly engine: ShardEngine;
  readonly poll: EnginePoll;
  report: EngineLoadReport | undefined;
}

interface RunningHome {
  readonly home: ShardHome;
  readonly engines: Map<string, RunningEngine>;
}

function findModelService(
  settings: Settings,
  name: string,
): ModelServiceSettings | undefined {
  const service = settings.services.find(item => item.name === name);
  return service?.kind === 'model' ? service : undefined;
}

function createAccountLimitMap(
  settings: Settings,
): ReadonlyMap<string, AccountLimits> {
  return new Map(
    settings.accounts.map(({name, weight, maxConcurrent}) => [
      name,
      {weight, maxConcurrent},
    ]),
  );
}

function createEngineDescription(
  engine: ShardEngine,
  report: EngineLoadReport,
): EngineDescription {
  return {
    engineId: engine.engineId,
    address: engine.address,
    role: report.role,
    failureDomain: engine.failureDomain,
    models: report.models,
    slots: report.slotsTotal,
    kvBytes: report.kvTotalBytes,
    linkBytesPerMs: DEFAULT_LINK_BYTES_PER_MS,
  };
}

export function createHomeHost(ports: HomeHostPorts): HomeHost {
  const {clock, random, log} = ports;
  const homes = new Map<string, RunningHome>();

  function startHome(
    shard: Shard,
    settings: Settings,
  ): RunningHome | undefined {
    const service = findModelService(settings, shard.service);
    if (!service) return undefined;
    const home = createShardHome(
      {clock, random, log},
      {
        shardId: shard.shardId,
        // In milliseconds: with seconds, two takeovers within one second would
        // create grants with the same ids, and one home would free grants of
        // the other.
        homeEpoch: Math.floor(clock.wallMs()),
        service: service.name,
        targets: service.targets,
        wasteWeight: service.wasteWeight,
        maxQueued: service.maxQueued,
        accounts: createAccountLimitMap(settings),
        rebuildMs: REBUILD_MS,
      },
    );
    log.info('Shard home started.', {shardId: shard.shardId});
    const running = {home, engines: new Map<string, RunningEngine>()};
    homes.set(shard.shardId, running);
    return running;
  }

  /** Sets the engines of a home that have reported their size. */
  function updateKnownEngines({home, engines}: RunningHome): void {
    const reportedEngines: EngineDescription[] = [];
    for (const {engine, report} of engines.values()) {
      if (report) reportedEngines.push(createEngineDescription(engine, report));
    }
    home.setEngines(reportedEngines);
  }

  function onLoad(
    running: RunningHome,
    runningEngine: RunningEngine,
    report: EngineLoadReport,
  ): void {
    const before = runningEngine.report;
    runningEngine.report = report;
    const isChanged =
      before?.role !== report.role || before?.slotsTotal !== report.slotsTotal;
    if (isChanged) updateKnownEngines(running);
    running.home.applyLoadReport(report);
    if (report.leaving) {
      running.home.markLeaving(report.engineId);
      ports.onEngineLeaving(report.engineId);
    }
  }

  function startEngine(running: RunningHome, engine: ShardEngine): void {
    const {engineId, address} = engine;
    const poll = startEnginePoll(
      {
        clock,
        engine: ports.enginePort(address),
        onLoad: report => onLoad(running, runningEngine, {...report, engineId}),
        onCacheEvents: events =>
          running.home.applyCacheEvents(engineId, events),
        onUnreachable() {
          if (!runningEngine.report) return;
          runningEngine.report = undefined;
          running.home.removeEngine(engineId);
        },
      },
      POLL_OPTIONS,
    );
    const runningEngine: RunningEngine = {engine, poll, report: undefined};
    running.engines.set(engineId, runningEngine);
  }

  function syncEngines(running: RunningHome, shard: Shard): void {
    const wanted = new Map(shard.engines.map(item => [item.engineId, item]));
    for (const [engineId, {poll, engine}] of running.engines) {
      if (wanted.get(engineId)?.address === engine.address) continue;
      poll.stop();
      running.engines.delete(engineId);
    }
    for (const engine of shard.engines) {
      if (!running.engines.has(engine.engineId)) startEngine(running, engine);
    }
    updateKnownEngines(running);
  }

  function stopHome(shardId: string, running: RunningHome): void {
    for (const {poll} of running.engines.values()) poll.stop();
    running.home.stop();
    homes.delete(shardId);
    log.info('Shard home stopped.', {shardId});
  }

  function updateShard(shard: Shard, plan: HomePlan): void {
    const running = homes.get(shard.shardId) ?? startHome(shard, plan.settings);
    if (!running) return;
    const service = findModelService(plan.settings, shard.service);
    if (service) {
      const {targets, wasteWeight} = service;
      const limits = createAccountLimitMap(plan.settings);
      running.home.applySettings(targets, wasteWeight, limits);
    }
    syncEngines(running, shard);
    for (const {engineId} of shard.engines) {
      if (plan.leavingEngineIds.has(engineId))
        running.home.markLeaving(engineId);
    }
  }

  return {
    update(plan) {
      const wanted = new Set(plan.ownShards.map(shard => shard.shardId));
      for (const [shardId, running] of homes) {
        if (!wanted.has(shardId)) stopHome(shardId, running);
      }
      for (const shard of plan.ownShards) updateShard(shard, plan);
    },
    find: shardId => homes.get(shardId)?.home,
    summaries: () => [...homes.values()].map(({home}) => home.summary()),
    engineAddresses: () =>
      [...homes.values()].flatMap(({engines}) =>
        [...engines.values()].map(({engine}) => engine.address),
      ),
    releaseEntry(entryTag) {
      for (const {home} of homes.values()) home.releaseEntry(entryTag);
    },
    stop() {
      for (const [shardId, running] of homes) stopHome(shardId, running);
    },
  };
}
