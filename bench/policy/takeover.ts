/**
 * Simulates a shard that changes its home under load. The new home starts
 * some time after the old one stopped, or both run at once for a while.
 */

import type {Clock} from '../../src/ports/clock.js';
import type {GrantProgress, GrantRequest} from '../../src/ports/grants.js';
import type {
  AnnouncedGrant,
  Dispatcher,
  GrantReply,
  GrantTicket,
} from '../../src/scheduling/dispatcher_types.js';
import {bestSplit} from './capacity_bound.js';
import {ENGINE} from './engine_fakes.js';
import {FAULT_FROM_MS} from './faults.js';
import {runSeeds, goodShareInWindow} from './bars.js';
import {
  dispatcherFactory,
  type Scheduler,
  type SchedulerFactory,
} from './scheduler.js';
import {percent, printHeader, printRow} from './table.js';
import {SHAPES} from './workload.js';

export interface TakeoverPlan {
  /** Time between the stop of the old home and the start of the new one. */
  readonly withoutHomeMs: number;
  /** Time for which both homes issue grants. */
  readonly overlapMs: number;
  /** Time for which the new home grants conservatively. */
  readonly rebuildMs: number;
  /** Time after its start at which entries announce their grants to it. */
  readonly announceAfterMs: number;
}

export interface MaxExcess {
  /** Largest number of slots granted by both homes beyond an engine's slots. */
  mostExcessSlots: number;
  /** Largest KV memory granted beyond an engine's own, as a share of it. */
  mostExcessKvShare: number;
}

const SAMPLE_INTERVAL_MS = 20;
const SAMPLE_UNTIL_MS = FAULT_FROM_MS + 20_000;

interface TrackedGrant {
  readonly announced: AnnouncedGrant;
  home: Dispatcher;
}

/** A scheduler that changes the shard's home at `FAULT_FROM_MS`. */
export function takeoverFactory(
  plan: TakeoverPlan,
  maxExcess: MaxExcess,
): SchedulerFactory {
  return (clock, random, shape) => {
    const createHome = (homeEpoch: number, rebuildMs: number) =>
      dispatcherFactory({grantFromForecast: false}, {homeEpoch, rebuildMs})(
        clock,
        random,
        shape,
      ) as Scheduler & Dispatcher;
    const oldHome = createHome(1, 0);
    let homes: (Scheduler & Dispatcher)[] = [oldHome];
    let descriptions: Parameters<Scheduler['setEngines']>[0] = [];
    const trackedGrants = new Map<string, TrackedGrant>();

    clock.setTimer(FAULT_FROM_MS, () => {
      if (plan.overlapMs === 0) stopOldHome();
      clock.setTimer(plan.withoutHomeMs, startNewHome);
    });

    function stopOldHome(): void {
      oldHome.stop();
      homes = homes.filter(each => each !== oldHome);
    }

    function startNewHome(): void {
      const newHome = createHome(2, plan.rebuildMs);
      newHome.setEngines(descriptions);
      homes.push(newHome);
      clock.setTimer(plan.announceAfterMs, () => {
        for (const tracked of trackedGrants.values()) {
          if (tracked.home !== oldHome) continue;
          newHome.adopt(tracked.announced);
          if (plan.overlapMs === 0) tracked.home = newHome;
        }
      });
      clock.setTimer(plan.overlapMs, () => {
        if (plan.overlapMs === 0) return;
        stopOldHome();
        for (const tracked of trackedGrants.values()) {
          if (tracked.home !== oldHome) continue;
          newHome.adopt(tracked.announced);
          tracked.home = newHome;
        }
      });
    }

    sampleExcess(
      clock,
      trackedGrants,
      bestSplit(shape).decodeKvBytes,
      maxExcess,
    );

    return {
      ask(request: GrantRequest, reply: GrantReply): GrantTicket {
        if (homes.length === 0) {
          reply({kind: 'refused', reason: 'unreachable', retryAfterMs: 1_000});
          return {cancel() {}};
        }
        const home = homes[random.nextInt(homes.length)];
        return home.ask(request, outcome => {
          if (outcome.kind === 'granted') {
            const announced = {
              grant: outcome,
              request,
              isDecoding: false,
              tokensDelivered: request.resumeOffset,
            };
            trackedGrants.set(outcome.grantId, {announced, home});
          }
          reply(outcome);
        });
      },
      report(grantId: string, progress: GrantProgress): void {
        const tracked = trackedGrants.get(grantId);
        if (!tracked) return;
        // The old home may have stopped; a new one has the announced grants.
        tracked.home.report(grantId, progress);
        for (const home of homes) {
          if (home !== tracked.home) home.report(grantId, progress);
        }
        if (progress.kind === 'ended') trackedGrants.delete(grantId);
        if (progress.kind !== 'decode-started') return;
        const announced = {...tracked.announced, isDecoding: true};
        trackedGrants.set(grantId, {announced, home: tracked.home});
      },
      setEngines(engines) {
        descriptions = engines;
        for (const home of homes) home.setEngines(engines);
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

interface GrantedResources {
  slots: number;
  kvBytes: number;
}

/** Samples the resources of each decode engine granted by both homes. */
function sampleExcess(
  clock: Clock,
  trackedGrants: ReadonlyMap<string, TrackedGrant>,
  kvBytes: number,
  maxExcess: MaxExcess,
): void {
  const sample = () => {
    const byEngine = new Map<string, GrantedResources>();
    for (const {announced} of trackedGrants.values()) {
      const {grant, request} = announced;
      const granted = byEngine.get(grant.decodeEngineId) ?? {
        slots: 0,
        kvBytes: 0,
      };
      const tokens =
        request.promptTokenCount + request.resumeOffset + request.maxTokens;
      granted.slots++;
      granted.kvBytes += tokens * ENGINE.kvBytesPerToken;
      byEngine.set(grant.decodeEngineId, granted);
    }
    for (const granted of byEngine.values()) {
      const excessSlots = granted.slots - ENGINE.decodeSlots;
      const excessKv = granted.kvBytes / kvBytes - 1;
      maxExcess.mostExcessSlots = Math.max(
        maxExcess.mostExcessSlots,
        excessSlots,
      );
      maxExcess.mostExcessKvShare = Math.max(
        maxExcess.mostExcessKvShare,
        excessKv,
      );
    }
    if (clock.nowMs() < SAMPLE_UNTIL_MS)
      clock.setTimer(SAMPLE_INTERVAL_MS, sample);
  };
  clock.setTimer(FAULT_FROM_MS, sample);
}

interface TakeoverCase extends TakeoverPlan {
  readonly name: string;
}

const CASES: readonly TakeoverCase[] = [
  {
    name: 'hand-over, no gap',
    withoutHomeMs: 0,
    overlapMs: 0,
    rebuildMs: 1_500,
    announceAfterMs: 50,
  },
  {
    name: 'home dies, 2 s gap',
    withoutHomeMs: 2_000,
    overlapMs: 0,
    rebuildMs: 2_000,
    announceAfterMs: 200,
  },
  {
    name: 'home dies, 5 s gap',
    withoutHomeMs: 5_000,
    overlapMs: 0,
    rebuildMs: 2_000,
    announceAfterMs: 200,
  },
  {
    name: 'two homes for 3 s',
    withoutHomeMs: 0,
    overlapMs: 3_000,
    rebuildMs: 3_500,
    announceAfterMs: 200,
  },
  {
    name: 'two, no rebuilding',
    withoutHomeMs: 0,
    overlapMs: 3_000,
    rebuildMs: 0,
    announceAfterMs: 200,
  },
  {
    name: 'two homes for 10 s',
    withoutHomeMs: 0,
    overlapMs: 10_000,
    rebuildMs: 10_500,
    announceAfterMs: 200,
  },
];

const LOADS = [0.9, 1.3] as const;
const WINDOW_MS = 20_000;

/** Prints excess grants, refused imports and goodput around a takeover. */
export function runTakeovers(seeds: number): void {
  const shape = SHAPES.tammeoja;
  for (const load of LOADS) {
    printHeader(`${shape.name} at ${load}: the home changes at 60 s`);
    for (const each of CASES) {
      const maxExcess = {mostExcessSlots: 0, mostExcessKvShare: 0};
      const runs = runSeeds(shape, takeoverFactory(each, maxExcess), seeds, {
        load,
      });
      printRow(each.name, runs);
      const window = runs.map(run =>
        goodShareInWindow(run, FAULT_FROM_MS, FAULT_FROM_MS + WINDOW_MS),
      );
      const worst = Math.min(...window);
      console.log(
        `    most excess ${maxExcess.mostExcessSlots} slots, ` +
          `${percent(Math.max(0, maxExcess.mostExcessKvShare))} of an engine's KV; ` +
          `goodput of the 20 s after: worst seed ${percent(worst)}; ` +
          `refused imports ${runs.map(run => run.refusedImports).join(' ')}`,
      );
    }
  }
}
