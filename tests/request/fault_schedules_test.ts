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
 * Seeds whose schedules cover two faults: an answer replayed before it was
 * durable, and an engine stand-in that kept running after its own crash.
 */
const REGRESSION_SEEDS = [20_977, 71_034];
/** The first seed tried for each injected defect, by the defect's name. */
const FIRST_SEEDS_BY_DEFECT: Readonly<Record<string, number>> = {
  'refusal after dispatch called not run': 29,
  'a call that may not be repeated is sent again when it broke': 29,
};

// Each schedule combines a few postings, drafts and look-ups with one to three
// faults: hosts die, pause or become unreachable, and the platform loses
// answers. The guarantees are then checked against the records of the
// stand-ins. `npm run fuzz` runs many more schedules.
test('fixed fault schedules violate no guarantee', async () => {
  const first = Array.from({length: FIXED_SEEDS}, (_, i) => i + 1);
  for (const seed of [...first, ...REGRESSION_SEEDS]) {
    const schedule = makeSchedule(seed);
    const result = await runSchedule(schedule);
    assert.deepEqual(result.violations, [], describeRun(schedule, result));
  }
});

test('a schedule gives the same trace on each run', async () => {
  const schedule = makeSchedule(7);
  const first = describeRun(schedule, await runSchedule(schedule));
  const second = describeRun(schedule, await runSchedule(schedule));
  assert.equal(first, second);
});

// Two defects of a call whose connection breaks after it was sent: the caller
// is told that it did not run, or it is sent again. The harness must detect
// both.
test('the harness detects defects in non-repeatable calls', async () => {
  for (const [name, seed] of Object.entries(FIRST_SEEDS_BY_DEFECT)) {
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
