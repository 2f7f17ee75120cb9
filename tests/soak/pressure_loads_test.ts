import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import path from 'node:path';
import {before, test} from 'node:test';
import {findPressureViolations} from './pressure_checks.js';
import {playPressure} from './pressure_play.js';
import {PRESSURE_SCENARIOS} from './pressure_scenarios.js';

/** That of the reported deployment. */
const MEMORY_MB = 200;
const PRESS_MS = 2_500;

/** The failure that each scenario guards against. */
const FAILURES: Readonly<Record<string, string>> = {
  '3,000 requests ahead of ten callers':
    'requests that many callers send ahead together',
  '800 idle connections, few descriptors':
    'idle connections that keep sound callers out',
  'several at once': 'bounds that hold for one load at a time',
};

const folder = path.resolve('build', 'soak', `loads-${process.pid}`);
const bundle = `${folder}-bundle`;

before(() => {
  execFileSync(process.execPath, ['scripts/build_bundle.mjs', bundle]);
});

for (const [name, failure] of Object.entries(FAILURES)) {
  test(`no process ends and no sound call is lost by ${failure}: ${name}`, async () => {
    const scenario = PRESSURE_SCENARIOS.get(name);
    assert.ok(scenario);
    const result = await playPressure(name, scenario, {
      hostCount: 2,
      program: path.join(bundle, 'main.mjs'),
      folder,
      memoryMb: MEMORY_MB,
      pressMs: PRESS_MS,
    });
    const violations = findPressureViolations(result, scenario, MEMORY_MB);
    assert.deepEqual(violations, []);
  });
}
