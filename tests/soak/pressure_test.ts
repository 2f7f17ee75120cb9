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
  'comments without end': 'comments that are parsed without a break',
  'events without end': 'events that are forwarded without a break',
  '3,000 requests ahead': 'requests that are begun all at once',
  '80 uploads of 1 MB': 'uploads that are held all at once',
  '200 uploads that stop before their end': 'uploads that are held for ever',
  '30 uploads in chunks without end':
    'uploads that are read on after their refusal',
  '100 unread answers of 5 MB': 'answers that are held for slow callers',
};

const folder = path.resolve('build', 'soak', `pressure-${process.pid}`);
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
