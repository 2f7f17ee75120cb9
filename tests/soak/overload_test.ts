import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import path from 'node:path';
import {before, test} from 'node:test';
import {toOverloadOptions} from './overload_options.js';
import {runSoak} from './soak_run.js';

const SEED = 2;
const MIN_SHARE = 0.5;
const folder = path.resolve('build', 'soak', `overload-${process.pid}`);
const bundle = `${folder}-bundle`;

before(() => {
  execFileSync(process.execPath, ['scripts/build_bundle.mjs', bundle]);
});

test(`relay processes keep their guarantees and their limits under overload, seed ${SEED}`, async () => {
  // Guards against processes that end at their limits beside signals and faults.
  const {broken, servedShare} = await runSoak({
    ...toOverloadOptions(SEED, 8_000),
    hostCount: 3,
    callerCount: 8,
    kinds: [],
    program: path.join(bundle, 'main.mjs'),
    folder,
  });
  assert.deepEqual(broken, []);
  assert.ok(servedShare > MIN_SHARE, `${servedShare}`);
});
