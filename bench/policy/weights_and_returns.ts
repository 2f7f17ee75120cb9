/**
 * Measures the effect of a service's waste weight, and whether callers that
 * return at the advised retry time are served.
 */

import {runSeeds} from './bars.js';
import {engineDeaths} from './faults.js';
import {dispatcherFactory, FULL_POLICY} from './scheduler.js';
import {DEFAULT_PLAN} from './simulation.js';
import {percent, printHeader, printRow} from './table.js';
import {SHAPES} from './workload.js';

export const WASTE_WEIGHTS = [0, 0.2, 0.4, 0.6, 0.8, 1] as const;
const LOAD = 1.3;
const DEATH_EVERY_MS = 10_000;

export function runWeights(seeds: number): void {
  const untilMs = DEFAULT_PLAN.warmUpMs + DEFAULT_PLAN.durationMs;
  for (const shape of Object.values(SHAPES)) {
    printHeader(`${shape.name} at ${LOAD}: waste weight, no fault`);
    for (const wasteWeight of WASTE_WEIGHTS) {
      const factory = dispatcherFactory(
        {},
        {wasteWeight, hasImportRetries: true},
      );
      printRow(
        `weight ${wasteWeight}`,
        runSeeds(shape, factory, seeds, {load: LOAD}),
      );
    }
    printHeader(`${shape.name} at ${LOAD}: waste weight, deaths and cancels`);
    for (const wasteWeight of WASTE_WEIGHTS) {
      const factory = dispatcherFactory(
        {},
        {wasteWeight, hasImportRetries: true},
      );
      const runs = runSeeds(shape, factory, seeds, {
        load: LOAD,
        cancelShare: 0.05,
        faults: engineDeaths(DEATH_EVERY_MS, untilMs),
      });
      printRow(`weight ${wasteWeight}`, runs);
    }
  }
}

const RETURN_LOADS = [1.05, 1.3, 2] as const;
const RETURNS = 3;

/** Runs in which refused callers retry at the time advised by the refusal. */
export function runReturns(seeds: number): void {
  for (const shape of Object.values(SHAPES)) {
    printHeader(
      `${shape.name}: refused callers come back, up to ${RETURNS} times`,
    );
    for (const load of RETURN_LOADS) {
      const runs = runSeeds(shape, FULL_POLICY, seeds, {
        load,
        returns: RETURNS,
      });
      printRow(`load ${load}`, runs);
      const returned = runs.reduce((sum, run) => sum + run.returned, 0);
      const served = runs.reduce((sum, run) => sum + run.returnedServed, 0);
      console.log(
        `    of ${returned} that came back, ` +
          `${percent(served / Math.max(1, returned))} were then served`,
      );
    }
  }
}
