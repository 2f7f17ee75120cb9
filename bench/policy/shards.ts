/**
 * Simulates four shards, one in each failure domain, and entries that choose
 * among their homes by delayed summaries. Most callers use the same entry.
 */

import type {ShardWeights} from '../../src/core/scheduling/shard_score.js';
import {
  createShardHome,
  type ShardHome,
} from '../../src/scheduling/shard_home.js';
import {
  createShardChoice,
  type ShardChoice,
  type ShardView,
} from '../../src/scheduling/shard_choice.js';
import type {ShardSummary} from '../../src/scheduling/dispatcher_types.js';
import {FIRST_SEED} from './bars.js';
import {NO_FAULT} from './faults.js';
import type {RunResult} from './metrics.js';
import {INITIAL_ESTIMATES, type SchedulerFactory} from './scheduler.js';
import {DEFAULT_PLAN, runOnceAsync} from './simulation.js';
import {percent, printHeader, printRow} from './table.js';
import {SHAPES, type Shape} from './workload.js';

const SHARDS = 4;
const SUMMARY_EVERY_MS = 1_000;
const SUMMARY_LAG_MS = 500;
/** Share of all callers that use the first entry. */
const FIRST_ENTRY_SHARE = 0.55;
const DURATION_MS = 60_000;
const silentLog = {error() {}, warn() {}, info() {}, debug() {}};

const SHAPE: Shape = {
  ...SHAPES.bekejel,
  engines: SHARDS * SHAPES.bekejel.engines,
  prefillStep: SHARDS,
};

interface ChoiceCase {
  readonly name: string;
  readonly weights?: Partial<ShardWeights>;
  readonly otherDomainScoreMs?: number;
  readonly maxBusyHomes?: number;
  /** Whether an entry of `ownDomain` considers the shard. */
  readonly isVisible: (view: ShardView, ownDomain: string) => boolean;
}

const everyShard = () => true;

const CASES: readonly ChoiceCase[] = [
  {name: 'as it ships', isVisible: everyShard},
  {
    name: 'own domain only',
    isVisible: (view, own) => view.failureDomain === own,
  },
  {name: 'summaries alone', weights: {shortSlotMs: 0}, isVisible: everyShard},
  {
    name: 'no preference',
    weights: {crossDomainMs: 0},
    otherDomainScoreMs: -1e6,
    isVisible: everyShard,
  },
  {name: 'one ask', maxBusyHomes: 1, isVisible: everyShard},
  {name: 'four asks', maxBusyHomes: 4, isVisible: everyShard},
];

interface Published {
  readonly summary: ShardSummary;
  readonly atMs: number;
}

function createSchedulerFactory(choiceCase: ChoiceCase): SchedulerFactory {
  return (clock, random, shape) => {
    const host = {clock, random, log: silentLog};
    const homes: ShardHome[] = shape.domains.map(domain =>
      createShardHome(host, {
        shardId: domain,
        homeEpoch: 1,
        service: shape.service,
        targets: {
          ttftMs: shape.ttftMs.interactive,
          tokenIntervalMs: shape.tokenIntervalMs,
          waitMs: shape.waitMs.patient,
        },
        wasteWeight: shape.wasteWeight,
        maxQueued: 2_000,
        initialEstimates: INITIAL_ESTIMATES,
      }),
    );
    const published = new Map<string, Published>();
    const publish = () => {
      homes.forEach((home, i) => {
        const summary = home.summary();
        const atMs = clock.nowMs();
        clock.setTimer(SUMMARY_LAG_MS, () =>
          published.set(shape.domains[i], {summary, atMs}),
        );
      });
      if (clock.nowMs() < DEFAULT_PLAN.warmUpMs + DURATION_MS) {
        clock.setTimer(SUMMARY_EVERY_MS, publish);
      }
    };
    publish();

    const views = (): ShardView[] =>
      homes.map((home, i) => {
        const domain = shape.domains[i];
        const publishedSummary = published.get(domain);
        return {
          shardId: domain,
          failureDomain: domain,
          grantPort: home,
          summary: publishedSummary?.summary,
          ageMs: publishedSummary ? clock.nowMs() - publishedSummary.atMs : 0,
        };
      });
    const entries: ShardChoice[] = shape.domains.map(ownFailureDomain =>
      createShardChoice(host, {
        ownFailureDomain,
        shards: () =>
          views().filter(view => choiceCase.isVisible(view, ownFailureDomain)),
        weights: choiceCase.weights,
        otherDomainScoreMs: choiceCase.otherDomainScoreMs,
        maxBusyHomes: choiceCase.maxBusyHomes,
      }),
    );
    const grantsById = new Map<string, Parameters<ShardChoice['report']>[0]>();
    const entriesByGrantId = new Map<string, ShardChoice>();

    function pickEntry(): ShardChoice {
      if (random.nextFloat() < FIRST_ENTRY_SHARE) return entries[0];
      return entries[1 + random.nextInt(entries.length - 1)];
    }

    return {
      ask(request, reply) {
        const controller = new AbortController();
        const entry = pickEntry();
        void entry.request(request, controller.signal).then(outcome => {
          if (outcome.kind === 'granted') {
            grantsById.set(outcome.grantId, outcome);
            entriesByGrantId.set(outcome.grantId, entry);
          }
          reply(outcome);
        });
        return {cancel: () => controller.abort()};
      },
      report(grantId, progress) {
        const grant = grantsById.get(grantId);
        if (!grant) return;
        entriesByGrantId.get(grantId)!.report(grant, progress);
        if (progress.kind !== 'ended') return;
        grantsById.delete(grantId);
        entriesByGrantId.delete(grantId);
      },
      setEngines(engines) {
        homes.forEach((home, i) =>
          home.setEngines(
            engines.filter(each => each.failureDomain === shape.domains[i]),
          ),
        );
      },
      applyLoadReport(report) {
        for (const home of homes) home.applyLoadReport(report);
      },
      applyCacheEvents(engineId, events) {
        for (const home of homes) home.applyCacheEvents(engineId, events);
      },
      removeEngine(engineId) {
        for (const home of homes) home.removeEngine(engineId);
      },
      engineUsage: () => homes.flatMap(home => home.engineUsage()),
      stop() {
        for (const home of homes) home.stop();
      },
    };
  };
}

export async function runShards(seeds: number): Promise<void> {
  for (const load of [0.9, 1.3]) {
    printHeader(
      `4 shards of 13 engines at ${load}, ${percent(FIRST_ENTRY_SHARE)} of callers at one entry`,
    );
    for (const each of CASES) {
      const runs: RunResult[] = [];
      for (let i = 0; i < seeds; i++) {
        const plan = {
          ...DEFAULT_PLAN,
          durationMs: DURATION_MS,
          shape: SHAPE,
          seed: FIRST_SEED + i,
          load,
          faults: NO_FAULT,
        };
        runs.push(await runOnceAsync(plan, createSchedulerFactory(each)));
      }
      printRow(each.name, runs);
    }
  }
}
