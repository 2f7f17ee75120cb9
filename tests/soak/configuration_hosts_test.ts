import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import path from 'node:path';
import {test} from 'node:test';
import {playConfigurationHosts} from './configuration_hosts.js';
import {REACH_SCENARIOS} from './configuration_scenarios.js';

const HOST_COUNT = 4;
const PLAYED = [
  'links hold, applied at once',
  'dropped route, store away, applied at once',
  'dropped route, no datagrams, open and next connections silent',
];

test('real processes go by a new version in time though links fail beside the write', async () => {
  // Guards against retries that come too late once links and datagrams fail.
  const folder = path.resolve('build', 'soak', `reach-${process.pid}`);
  const bundle = `${folder}-bundle`;
  execFileSync(process.execPath, ['scripts/build_bundle.mjs', bundle]);
  const scenarios = [...REACH_SCENARIOS].filter(([name]) =>
    PLAYED.includes(name),
  );
  assert.equal(scenarios.length, PLAYED.length);
  await playConfigurationHosts(new Map(scenarios), {
    hostCount: HOST_COUNT,
    program: path.join(bundle, 'main.mjs'),
    folder,
    rounds: 1,
    seed: 1,
    onRound(name, {lateAnswers, inForceAfterMs}) {
      assert.deepEqual(lateAnswers, [], name);
      assert.equal(inForceAfterMs.size, HOST_COUNT, name);
    },
  });
});
