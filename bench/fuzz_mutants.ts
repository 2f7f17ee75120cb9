/**
 * `npm run fuzz:mutants -- --runs 6000 --seed 1`: checks that the fuzz harness
 * detects each deliberate defect.
 */

import {parseArgs} from 'node:util';
import {makeSchedule, runSchedule, type Schedule} from './support/fault_run.js';
import type {Mutant} from './support/site_entry.js';
import {hasEntryFault} from './support/site_faults.js';
import {mutants} from './support/mutants.js';

const {values} = parseArgs({
  options: {
    runs: {type: 'string', default: '6000'},
    seed: {type: 'string', default: '1'},
  },
});
const runs = Number(values.runs);
const firstSeed = Number(values.seed);
let missedCount = 0;

/** Whether the same schedule has no violation without the defect. */
async function passesWithoutDefect(
  mutant: Mutant,
  schedule: Schedule,
): Promise<boolean> {
  const hasNoSweep = mutant.needsLivingEntries && mutant.hasNoSweep;
  const control: Mutant = {name: 'control', hasNoSweep};
  return (await runSchedule(schedule, control)).violations.length === 0;
}

for (const mutant of mutants) {
  let caught: string | undefined;
  let tried = 0;
  while (!caught && tried < runs) {
    const seed = firstSeed + tried++;
    const schedule = makeSchedule(seed);
    if (mutant.needsLivingEntries && hasEntryFault(schedule.faults)) continue;
    const {violations} = await runSchedule(schedule, mutant);
    const first = violations[0];
    if (first && (await passesWithoutDefect(mutant, schedule)))
      caught = `seed ${seed}: ${first.promise}: ${first.what}`;
  }
  if (!caught) missedCount++;
  console.log(`${caught ? 'caught' : 'MISSED'}  ${mutant.name}`);
  console.log(`        ${caught ?? `not in ${tried} schedules`}`);
}
console.log(
  `${mutants.length - missedCount} of ${mutants.length} defects caught`,
);
process.exit(missedCount > 0 ? 1 : 0);
