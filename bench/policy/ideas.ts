/** Each policy idea switched on by itself, and off by itself. */

import {runSeeds} from './bars.js';
import {
  BASELINES,
  SINGLE_IDEAS,
  WHOLE,
  WITH_FORECAST,
  WITHOUT_ONE,
} from './scheduler.js';
import {printHeader, printRow} from './table.js';
import {SHAPES} from './workload.js';

const LOAD = 1.3;

export function runIdeas(seeds: number): void {
  for (const shape of Object.values(SHAPES)) {
    printHeader(`${shape.name} at ${LOAD}: ideas one by one, ${seeds} seeds`);
    printRow(
      'fifo',
      runSeeds(shape, BASELINES.get('fifo')!, seeds, {load: LOAD}),
    );
    for (const [name, factory] of SINGLE_IDEAS) {
      printRow(name, runSeeds(shape, factory, seeds, {load: LOAD}));
    }
    printRow('whole', runSeeds(shape, WHOLE, seeds, {load: LOAD}));
    printRow(
      'whole+forecast',
      runSeeds(shape, WITH_FORECAST, seeds, {load: LOAD}),
    );
    for (const [name, factory] of WITHOUT_ONE) {
      printRow(name, runSeeds(shape, factory, seeds, {load: LOAD}));
    }
  }
}
