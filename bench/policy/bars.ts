/**
 * Acceptance thresholds of the scheduling policy: goodput and wasted prefills
 * at several loads, without faults and under each kind of fault.
 */

import {
  domainLost,
  engineDeaths,
  FAULT_FROM_MS,
  FAULT_UNTIL_MS,
  NO_FAULT,
  slowEngine,
} from './faults.js';
import type {RunResult} from './metrics.js';
import {
  BASELINES,
  FULL_POLICY,
  FULL_POLICY_WITH_IMPORT_RETRIES,
  type SchedulerFactory,
} from './scheduler.js';
import type {FaultPlan, RunPlan} from './run_plan.js';
import {DEFAULT_PLAN, runOnce} from './simulation.js';
import {percent, printHeader, printRow} from './table.js';
import {SHAPES, type Shape} from './workload.js';

const LOADS = [0.9, 1.3, 2.0] as const;
export const FIRST_SEED = 100;

export function runSeeds(
  shape: Shape,
  factory: SchedulerFactory,
  seeds: number,
  changes: Partial<RunPlan>,
): readonly RunResult[] {
  const results: RunResult[] = [];
  for (let i = 0; i < seeds; i++) {
    const plan: RunPlan = {
      ...DEFAULT_PLAN,
      shape,
      seed: FIRST_SEED + i,
      load: 1,
      faults: NO_FAULT,
      ...changes,
    };
    results.push(runOnce(plan, factory));
  }
  assertAllRequestsEnded(results);
  return results;
}

/**
 * Fails the run when a request never ended or an engine still has
 * reservations: both are defects of the scheduler or the simulation.
 */
function assertAllRequestsEnded(results: readonly RunResult[]): void {
  for (const result of results) {
    if (result.lost !== 0 || result.enginesWithOpenReservations !== 0) {
      throw new Error(
        `Unbalanced run: ${result.lost} requests never ended, ` +
          `${result.enginesWithOpenReservations} engines still have reservations.`,
      );
    }
  }
}

interface Check {
  readonly name: string;
  readonly isMet: boolean;
  readonly figure: string;
}

function printChecks(verdicts: readonly Check[]): void {
  for (const verdict of verdicts) {
    const mark = verdict.isMet ? 'met ' : 'MISSED';
    console.log(`  ${mark} ${verdict.name}: ${verdict.figure}`);
  }
}

function checkGoodput(
  name: string,
  runs: readonly RunResult[],
  share: number,
): Check {
  const worst = Math.min(...runs.map(run => run.goodShare));
  return {
    name: `${name} goodput at least ${percent(share)} of the bound, each seed`,
    isMet: worst >= share,
    figure: `worst seed ${percent(worst)}`,
  };
}

function checkWastedPrefills(
  name: string,
  runs: readonly RunResult[],
  share: number,
): Check {
  const worst = Math.max(...runs.map(run => run.wastedShare));
  const total =
    runs.reduce((sum, run) => sum + run.wastedPrefills, 0) /
    runs.reduce((sum, run) => sum + run.prefills, 0);
  return {
    name: `${name} wasted prefills at most ${percent(share)}`,
    isMet: total <= share,
    figure: `all seeds ${percent(total)}, worst seed ${percent(worst)}`,
  };
}

/** Compares goodput at each load with the baselines on the same seeds. */
export function runBars(seeds: number): void {
  for (const shape of Object.values(SHAPES)) {
    const verdicts: Check[] = [];
    for (const load of LOADS) {
      printHeader(`${shape.name} at ${load} of capacity, ${seeds} seeds`);
      const whole = runSeeds(shape, FULL_POLICY, seeds, {load});
      printRow('corianderbend', whole);
      printRow(
        '+ forecast',
        runSeeds(shape, FULL_POLICY_WITH_IMPORT_RETRIES, seeds, {load}),
      );
      verdicts.push(checkGoodput(`${load}`, whole, load < 1 ? 0.95 : 0.9));
      if (load === 1.3) verdicts.push(checkWastedPrefills('1.3', whole, 0.01));
      for (const [name, factory] of BASELINES) {
        const runs = runSeeds(shape, factory, seeds, {load});
        printRow(name, runs);
        if (load < 1) continue;
        const beaten = runs.filter((run, i) => whole[i].good > run.good);
        verdicts.push({
          name: `${load} better than ${name} on each seed`,
          isMet: beaten.length === runs.length,
          figure: `${beaten.length} of ${runs.length} seeds`,
        });
      }
    }
    console.log(`\n${shape.name}`);
    printChecks(verdicts);
  }
}

const SETTLE_MS = 5_000;

/** Goodput as a share of the bound, within the given part of the run. */
export function goodShareInWindow(
  run: RunResult,
  fromMs: number,
  untilMs: number,
): number {
  let good = 0;
  let offered = 0;
  let capacity = 0;
  const first = Math.ceil(fromMs / 1_000);
  const last = Math.floor(untilMs / 1_000);
  for (let second = first; second < last; second++) {
    good += run.goodBySecond[second];
    offered += run.offeredBySecond[second];
    capacity += run.capacityBySecond[second];
  }
  return good / Math.min(offered, capacity);
}

interface FaultCase {
  readonly name: string;
  readonly changes: Partial<RunPlan>;
}

function faultCases(shape: Shape): readonly FaultCase[] {
  const [domain] = shape.domains.slice(-1);
  const fault = (name: string, faults: FaultPlan) => ({
    name,
    changes: {faults},
  });
  return [
    {name: 'reports 0.1 s late', changes: {reportLagMs: 100}},
    {name: 'reports 1 s late', changes: {reportLagMs: 1_000}},
    {name: 'reports 5 s late', changes: {reportLagMs: 5_000}},
    {name: '30% events lost', changes: {cacheLossShare: 0.3}},
    fault('decode 5x slow', slowEngine('decode', 5)),
    fault('prefill 5x slow', slowEngine('prefill', 5)),
    fault('domain lost', domainLost(domain)),
  ];
}

const FAULT_LOADS = [0.9, 1.3] as const;
const DEATH_EVERY_MS = 10_000;
const CANCEL_SHARE = 0.05;

/**
 * Checks goodput under each fault, from 5 s after its start and from 5 s after
 * its end, and the wasted prefills when engines die and callers cancel.
 */
export function runFaultBars(seeds: number): void {
  for (const shape of Object.values(SHAPES)) {
    const verdicts: Check[] = [];
    for (const load of FAULT_LOADS) {
      printHeader(`${shape.name} at ${load} with faults, ${seeds} seeds`);
      for (const each of faultCases(shape)) {
        const runs = runSeeds(shape, FULL_POLICY, seeds, {
          load,
          ...each.changes,
        });
        printRow(each.name, runs);
        const during = runs.map(run =>
          goodShareInWindow(run, FAULT_FROM_MS + SETTLE_MS, FAULT_UNTIL_MS),
        );
        const after = runs.map(run =>
          goodShareInWindow(
            run,
            FAULT_UNTIL_MS + SETTLE_MS,
            DEFAULT_PLAN.warmUpMs + DEFAULT_PLAN.durationMs,
          ),
        );
        const mean = (all: readonly number[]) =>
          all.reduce((a, b) => a + b, 0) / all.length;
        verdicts.push({
          name: `${load} ${each.name}: at least 85% within 5 s`,
          isMet: mean(during) >= 0.85 && mean(after) >= 0.85,
          figure:
            `during ${percent(mean(during))} (worst ${percent(Math.min(...during))}), ` +
            `after ${percent(mean(after))} (worst ${percent(Math.min(...after))})`,
        });
      }
    }
    const untilMs = DEFAULT_PLAN.warmUpMs + DEFAULT_PLAN.durationMs;
    const changes = {
      load: 1.3,
      cancelShare: CANCEL_SHARE,
      faults: engineDeaths(DEATH_EVERY_MS, untilMs),
    };
    printHeader(`${shape.name} at 1.3, a death each 10 s and 5% cancels`);
    const whole = runSeeds(shape, FULL_POLICY, seeds, changes);
    printRow('corianderbend', whole);
    verdicts.push(checkWastedPrefills('deaths and cancels:', whole, 0.03));
    for (const [name, factory] of BASELINES) {
      printRow(name, runSeeds(shape, factory, seeds, changes));
    }
    console.log(`\n${shape.name}`);
    printChecks(verdicts);
  }
}
