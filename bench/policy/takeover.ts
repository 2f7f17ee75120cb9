/**
 * A shard that changes its home while engines run: the old home may be gone
 * for a while before the new one starts, or may go on beside it.
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
import {runSeeds, windowShare} from './bars.js';
import {
  homeFactory,
  type Scheduler,
  type SchedulerFactory,
} from './scheduler.js';
import {percent, printHeader, printRow} from './table.js';
import {SHAPES} from './workload.js';

export interface TakeoverPlan {
  /** Time with no home at all. */
  readonly gapMs: number;
  /** Time for which both homes give grants. */
  readonly doubleMs: number;
  /** Conservative time of the new home. */
  readonly rebuildMs: number;
  /** Entries announce their grants again this long after the start. */
  readonly announceAfterMs: number;
}

export interface TakeoverWatch {
  /** Most slots promised by both homes beyond an engine's own number. */
  mostExcessSlots: number;
  /** Most KV bytes promised by both beyond an engine's own, as a share. */
  mostExcessKvShare: number;
}

const WATCH_EVERY_MS = 20;
const WATCH_UNTIL_MS = FAULT_FROM_MS + 20_000;

interface HeldGrant {
  readonly announced: AnnouncedGrant;
  home: Dispatcher;
}

/** A scheduler that hands the shard over at `FAULT_FROM_MS`. */
export function takeoverFactory(
  plan: TakeoverPlan,
  watch: TakeoverWatch,
): SchedulerFactory {
  return (clock, random, shape) => {
    const make = (homeEpoch: number, rebuildMs: number) =>
      homeFactory({grantFromForecast: false}, {homeEpoch, rebuildMs})(
        clock,
        random,
        shape,
      ) as Scheduler & Dispatcher;
    const old = make(1, 0);
    let homes: (Scheduler & Dispatcher)[] = [old];
    let descriptions: Parameters<Scheduler['setEngines']>[0] = [];
    const held = new Map<string, HeldGrant>();

    clock.setTimer(FAULT_FROM_MS, () => {
      if (plan.doubleMs === 0) stopOld();
      clock.setTimer(plan.gapMs, startNew);
    });

    function stopOld(): void {
      old.stop();
      homes = homes.filter(each => each !== old);
    }

    function startNew(): void {
      const fresh = make(2, plan.rebuildMs);
      fresh.setEngines(descriptions);
      homes.push(fresh);
      clock.setTimer(plan.announceAfterMs, () => {
        for (const own of held.values()) {
          if (own.home !== old) continue;
          fresh.adopt(own.announced);
          if (plan.doubleMs === 0) own.home = fresh;
        }
      });
      clock.setTimer(plan.doubleMs, () => {
        if (plan.doubleMs === 0) return;
        stopOld();
        for (const own of held.values()) {
          if (own.home !== old) continue;
          fresh.adopt(own.announced);
          own.home = fresh;
        }
      });
    }

    watchExcess(clock, held, bestSplit(shape).decodeKvBytes, watch);

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
            held.set(outcome.grantId, {announced, home});
          }
          reply(outcome);
        });
      },
      report(grantId: string, progress: GrantProgress): void {
        const own = held.get(grantId);
        if (!own) return;
        // The old home may be gone; a new one knows what was announced.
        own.home.report(grantId, progress);
        for (const home of homes) {
          if (home !== own.home) home.report(grantId, progress);
        }
        if (progress.kind === 'ended') held.delete(grantId);
        if (progress.kind !== 'decode-started') return;
        const announced = {...own.announced, isDecoding: true};
        held.set(grantId, {announced, home: own.home});
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

interface Promised {
  slots: number;
  kvBytes: number;
}

/** Adds up what both homes have promised of each decode engine. */
function watchExcess(
  clock: Clock,
  held: ReadonlyMap<string, HeldGrant>,
  kvBytes: number,
  watch: TakeoverWatch,
): void {
  const look = () => {
    const byEngine = new Map<string, Promised>();
    for (const {announced} of held.values()) {
      const {grant, request} = announced;
      const promised = byEngine.get(grant.decodeEngineId) ?? {
        slots: 0,
        kvBytes: 0,
      };
      const tokens =
        request.promptTokenCount + request.resumeOffset + request.maxTokens;
      promised.slots++;
      promised.kvBytes += tokens * ENGINE.kvBytesPerToken;
      byEngine.set(grant.decodeEngineId, promised);
    }
    for (const promised of byEngine.values()) {
      const excessSlots = promised.slots - ENGINE.decodeSlots;
      const excessKv = promised.kvBytes / kvBytes - 1;
      watch.mostExcessSlots = Math.max(watch.mostExcessSlots, excessSlots);
      watch.mostExcessKvShare = Math.max(watch.mostExcessKvShare, excessKv);
    }
    if (clock.nowMs() < WATCH_UNTIL_MS) clock.setTimer(WATCH_EVERY_MS, look);
  };
  clock.setTimer(FAULT_FROM_MS, look);
}

interface TakeoverCase extends TakeoverPlan {
  readonly name: string;
}

const CASES: readonly TakeoverCase[] = [
  {
    name: 'hand-over, no gap',
    gapMs: 0,
    doubleMs: 0,
    rebuildMs: 1_500,
    announceAfterMs: 50,
  },
  {
    name: 'home dies, 2 s gap',
    gapMs: 2_000,
    doubleMs: 0,
    rebuildMs: 2_000,
    announceAfterMs: 200,
  },
  {
    name: 'home dies, 5 s gap',
    gapMs: 5_000,
    doubleMs: 0,
    rebuildMs: 2_000,
    announceAfterMs: 200,
  },
  {
    name: 'two homes for 3 s',
    gapMs: 0,
    doubleMs: 3_000,
    rebuildMs: 3_500,
    announceAfterMs: 200,
  },
  {
    name: 'two, no rebuilding',
    gapMs: 0,
    doubleMs: 3_000,
    rebuildMs: 0,
    announceAfterMs: 200,
  },
  {
    name: 'two homes for 10 s',
    gapMs: 0,
    doubleMs: 10_000,
    rebuildMs: 10_500,
    announceAfterMs: 200,
  },
];

const LOADS = [0.9, 1.3] as const;
const WINDOW_MS = 20_000;

/** Excess of promises, refused imports and goodput around a takeover. */
export function runTakeovers(seeds: number): void {
  const shape = SHAPES.tammeoja;
  for (const load of LOADS) {
    printHeader(`${shape.name} at ${load}: the home changes at 60 s`);
    for (const each of CASES) {
      const watch = {mostExcessSlots: 0, mostExcessKvShare: 0};
      const runs = runSeeds(shape, takeoverFactory(each, watch), seeds, {load});
      printRow(each.name, runs);
      const window = runs.map(run =>
        windowShare(run, FAULT_FROM_MS, FAULT_FROM_MS + WINDOW_MS),
      );
      const worst = Math.min(...window);
      console.log(
        `    most excess ${watch.mostExcessSlots} slots, ` +
          `${percent(Math.max(0, watch.mostExcessKvShare))} of an engine's KV; ` +
          `goodput of the 20 s after: worst seed ${percent(worst)}; ` +
          `refused imports ${runs.map(run => run.refusedImports).join(' ')}`,
      );
    }
  }
}
