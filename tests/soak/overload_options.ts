/** Chooses the faults and limits of soaks under overload. */

import {createSeededRandom} from '../../src/core/seeded_random.js';
import {OVERLOAD_KIND, OVERLOAD_SOAK_KINDS} from './fault_kinds.js';
import {USUAL_DESCRIPTORS} from './pressure_scenarios.js';
import {planFaults} from './soak_faults.js';

const MEMORY_MB = 200;
const DESCRIPTORS = [700, USUAL_DESCRIPTORS];
/** Close seeds draw alike. */
const SEED_FACTOR = 0x9e3779b1;

/** Plans loads that overlap with one another and with other faults. */
export function toOverloadOptions(seed: number, durationMs: number) {
  const random = createSeededRandom(Math.imul(seed, SEED_FACTOR));
  // The first number is the same for all seeds.
  random.nextFloat();
  const maxDescriptors = DESCRIPTORS[random.nextInt(DESCRIPTORS.length)];
  const faults = [
    ...planFaults(random, durationMs, [OVERLOAD_KIND]),
    ...planFaults(random, durationMs, OVERLOAD_SOAK_KINDS),
  ];
  const limits = {memoryMb: MEMORY_MB, maxDescriptors};
  return {seed, durationMs, faults, limits};
}
