/**
 * Runs the production shard home in the fault harness, for
 * `npm run fuzz -- --home real`.
 */

import {createSeededRandom} from '../../src/core/seeded_random.js';
import type {Clock} from '../../src/ports/clock.js';
import type {EnginePortFactory} from '../../src/ports/engine.js';
import {
  createShardHome,
  type ShardHome,
} from '../../src/scheduling/shard_home.js';
import type {EngineCore} from '../../stand_ins/engine_core.js';
import type {SmallHome} from './small_home.js';

export interface DispatcherHomeHost {
  readonly clock: Clock;
  readonly enginePort: EnginePortFactory;
  readonly engines: ReadonlyMap<string, EngineCore>;
}

const POLL_INTERVAL_MS = 250;
const POLL_TIMEOUT_MS = 150;
const FAILURES_UNTIL_REMOVED = 2;
const REBUILD_MS = 300;

export function createDispatcherHome(host: DispatcherHomeHost): SmallHome {
  const {clock} = host;
  const unreachable = new Set<string>();
  const leaving = new Set<string>();
  const failures = new Map<string, number>();
  let homeEpoch = 0;
  let home = startHome();

  function startHome(): ShardHome {
    homeEpoch++;
    const log = {error() {}, warn() {}, info() {}, debug() {}};
    return createShardHome(
      {clock, random: createSeededRandom(homeEpoch), log},
      {
        shardId: 'drafts/1',
        homeEpoch,
        service: 'drafts',
        targets: {ttftMs: 2_000, tokenIntervalMs: 200, waitMs: 2_500},
        wasteWeight: 0.5,
        maxQueued: 100,
        initialEstimates: {
          prefillOverheadMs: 12,
          prefillMsPerToken: 0.5,
          answerTokens: 18,
          tokenIntervalMs: 12,
        },
        rebuildMs: homeEpoch > 1 ? REBUILD_MS : 0,
      },
    );
  }

  function setEngines(): void {
    home.setEngines(
      [...host.engines]
        .filter(([address]) => !unreachable.has(address))
        .map(([address, {options}]) => ({
          engineId: options.engineId,
          address,
          role: options.role,
          failureDomain: 'd1',
          models: options.models,
          slots: options.slots,
          kvBytes: options.kvTotalBytes,
          linkBytesPerMs: options.linkBytesPerMs,
        })),
    );
  }

  async function poll(address: string, engine: EngineCore): Promise<void> {
    const report = await engine.load(POLL_TIMEOUT_MS);
    if (!('kind' in report)) {
      failures.delete(address);
      if (unreachable.delete(address)) setEngines();
      home.applyLoadReport(report);
    } else {
      const count = (failures.get(address) ?? 0) + 1;
      failures.set(address, count);
      if (count === FAILURES_UNTIL_REMOVED) {
        unreachable.add(address);
        home.removeEngine(engine.options.engineId);
      }
    }
    clock.setTimer(POLL_INTERVAL_MS, () => void poll(address, engine));
  }

  setEngines();
  for (const [address, engine] of host.engines) void poll(address, engine);
  return {
    request: (request, signal) => home.request(request, signal),
    report: (grant, progress) => {
      if (grant.homeEpoch === homeEpoch) home.report(grant, progress);
    },
    markLeaving(engineId) {
      leaving.add(engineId);
      home.markLeaving(engineId);
    },
    releaseEntry: entry => home.releaseEntry(entry),
    restartHome() {
      home.stop();
      home = startHome();
      setEngines();
      leaving.forEach(engineId => home.markLeaving(engineId));
    },
    openGrantCount: () =>
      home.engineUsage().reduce((sum, usage) => sum + usage.usedSlots, 0),
    expiredGrantCount: () => 0,
  };
}
