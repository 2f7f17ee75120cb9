import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import path from 'node:path';
import {before, test} from 'node:test';
import {toPauseOptions} from './engine_pauses.js';
import {ENGINE_PAUSE_SOAK_KINDS} from './fault_kinds.js';
import {runSoak} from './soak_run.js';

const folder = path.resolve('build', 'soak-pauses');
const program = path.join(folder, 'bundle', 'main.mjs');

before(() => {
  const bundle = path.dirname(program);
  execFileSync(process.execPath, ['scripts/build_bundle.mjs', bundle]);
});

/**
 * Seeds that guard against these failures:
 * 7004: runs of streams are ended on suspicion when their engines pause.
 * 7016: also calls to plain upstreams, while no retries are left.
 */
for (const seed of [7004, 7016]) {
  test(`no request is lost to a pause of its engine, seed ${seed}`, async () => {
    const {broken} = await runSoak({
      seed,
      durationMs: 8_000,
      hostCount: 3,
      callerCount: 12,
      kinds: ENGINE_PAUSE_SOAK_KINDS,
      program,
      folder,
      ...toPauseOptions(seed),
    });
    assert.deepEqual(broken, []);
  });
}
