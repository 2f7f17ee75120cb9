/** Chooses the faults of soaks of configurations. */

import {createSeededRandom} from '../../src/core/seeded_random.js';
import {
  CONFIGURATIONS_KIND,
  CONFIGURATIONS_SOAK_KINDS,
  type PlannedFault,
} from './fault_kinds.js';
import {planFaults} from './soak_faults.js';

/** Close seeds draw alike. */
const SEED_FACTOR = 0x9e3779b1;

/** Plans faults of all kinds beside two series of configurations. */
export function toConfigurationOptions(seed: number, durationMs: number) {
  const random = createSeededRandom(Math.imul(seed, SEED_FACTOR));
  // The first number is the same for all seeds.
  random.nextFloat();
  const kind = CONFIGURATIONS_KIND;
  const faults: readonly PlannedFault[] = [
    {kind, atMs: 0, forMs: durationMs},
    {kind, atMs: random.nextInt(durationMs), forMs: durationMs / 4},
    ...planFaults(random, durationMs, CONFIGURATIONS_SOAK_KINDS),
  ];
  return {seed, durationMs, faults};
}
