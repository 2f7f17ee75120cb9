import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  describeRun,
  makeSchedule,
  runSchedule,
} from '../../bench/support/fault_run.js';
import {mutants} from '../../bench/support/mutants.js';

const FIXED_SEEDS = 300;
/**
 * Schedules that once broke a promise: an answer replayed before it was
 * durable; an engine stand-in that ran on after its own crash.
 */
const FOUND_SEEDS = [20_977, 71_034];
/** A seed whose schedule shows the defect, by the defect's name. */
const BITING_SEEDS: Readonly<Record<string, number>> = {
  'refusal after dispatch called not run': 29,
  'a call that may not be repeated is sent again when it broke': 29,
};

// A bookkeeper posts, drafts and looks up while hosts die, pause and fall
// silent and the platform loses answers. Each schedule lays one to three such
// faults over a few calls; the promises are then checked from the books of the
// stand-ins. `npm run fuzz` runs many more of these.
test('fixed fault schedules break no promise', async () => {
  const first = Array.from({length: FIXED_SEEDS}, (_, i) => i + 1);
  for (const seed of [...first, ...FOUND_SEEDS]) {
    const schedule = makeSchedule(seed);
    const result = await runSchedule(schedule);
    assert.deepEqual(result.violations, [], describeRun(schedule, result));
  }
});

test('a schedule gives the same trace each time', async () => {
  const schedule = makeSchedule(7);
  const first = describeRun(schedule, await runSchedule(schedule));
  const second = describeRun(schedule, await runSchedule(schedule));
  assert.equal(first, second);
});

// A ledger call breaks after it was sent, and the caller is told that it was
// not run, or it is sent once more. The harness has to see both.
test('the harness catches defects in calls that may not be repeated', async () => {
  for (const [name, seed] of Object.entries(BITING_SEEDS)) {
    const mutant = mutants.find(known => known.name === name)!;
    const caught: boolean[] = [];
    for (let i = 0; i < 200; i++) {
      const result = await runSchedule(makeSchedule(seed + i), mutant);
      caught.push(result.violations.length > 0);
      if (caught.at(-1)) break;
    }
    assert.ok(caught.includes(true), name);
  }
});
