import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import path from 'node:path';
import {before, test} from 'node:test';
import {findPressureViolations} from './pressure_checks.js';
import {playPressure} from './pressure_play.js';
import {PRESSURE_SCENARIOS} from './pressure_scenarios.js';

const MEMORY_MB = 200;
const NAME = '500 open calls, few descriptors';

const folder = path.resolve('build', 'soak', `descriptors-${process.pid}`);
const bundle = `${folder}-bundle`;

before(() => {
  execFileSync(process.execPath, ['scripts/build_bundle.mjs', bundle]);
});

test(`no sound call is lost by open calls that leave no descriptors for others: ${NAME}`, async () => {
  const scenario = PRESSURE_SCENARIOS.get(NAME);
  assert.ok(scenario);
  const result = await playPressure(NAME, scenario, {
    hostCount: 2,
    program: path.join(bundle, 'main.mjs'),
    folder,
    memoryMb: MEMORY_MB,
    pressMs: 2_500,
  });
  const violations = findPressureViolations(result, scenario, MEMORY_MB);
  assert.deepEqual(violations, []);
});
