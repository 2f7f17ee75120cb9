/**
 * Measures each feature of the policy by itself on top of the minimal policy,
 * and the full policy without that feature.
 */

import {runSeeds} from './bars.js';
import {
  BASELINES,
  SINGLE_FEATURES,
  FULL_POLICY,
  FULL_POLICY_WITH_IMPORT_RETRIES,
  WITHOUT_ONE_FEATURE,
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
    for (const [name, factory] of SINGLE_FEATURES) {
      printRow(name, runSeeds(shape, factory, seeds, {load: LOAD}));
    }
    printRow('whole', runSeeds(shape, FULL_POLICY, seeds, {load: LOAD}));
    printRow(
      'whole+forecast',
      runSeeds(shape, FULL_POLICY_WITH_IMPORT_RETRIES, seeds, {load: LOAD}),
    );
    for (const [name, factory] of WITHOUT_ONE_FEATURE) {
      printRow(name, runSeeds(shape, factory, seeds, {load: LOAD}));
    }
  }
}
