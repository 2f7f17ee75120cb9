/**
 * Seeded random schedules of up to three overlapping faults:
 * `npm run fuzz -- --runs 100000 --seed 1`. One seed gives one schedule.
 */

import {parseArgs} from 'node:util';
import {describeRun, makeSchedule, runSchedule} from './support/fault_run.js';

const PROGRESS_EVERY = 5_000;
const MAX_SHOWN = 5;

const {values} = parseArgs({
  options: {
    runs: {type: 'string', default: '1000'},
    seed: {type: 'string', default: '1'},
    trace: {type: 'boolean', default: false},
  },
});
const runs = Number(values.runs);
const firstSeed = Number(values.seed);
let failed = 0;
let sends = 0;
const said = new Map<string, number>();
const startedAtMs = performance.now();

for (let i = 0; i < runs; i++) {
  const schedule = makeSchedule(firstSeed + i);
  const result = await runSchedule(schedule);
  sends += result.records.length;
  for (const {outcomes} of result.records) {
    const outcome = outcomes[0];
    const name =
      outcome?.kind === 'failed' ? outcome.error.kind : (outcome?.kind ?? '-');
    said.set(name, (said.get(name) ?? 0) + 1);
  }
  if (result.violations.length > 0) failed++;
  const isShown = result.violations.length > 0 && failed <= MAX_SHOWN;
  if (isShown || values.trace) console.log(describeRun(schedule, result));
  if ((i + 1) % PROGRESS_EVERY === 0) console.log(`${i + 1} runs`);
}

const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(0);
console.log([...said].map(([name, count]) => `${name} ${count}`).join(', '));
console.log(
  `${runs} schedules from seed ${firstSeed}, ${sends} sends, ` +
    `${failed} with violations, ${seconds} s`,
);
process.exit(failed > 0 ? 1 : 0);
