import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {playCrashes, type CrashScenario} from './crashing_site.js';

const SCENARIOS: Readonly<Record<string, CrashScenario>> = {
  'plain, the port is closed': {path: '/saldo/1', crash: {port: 'closed'}},
  'plain, the port resets': {path: '/saldo/1', crash: {port: 'resetting'}},
  'plain, the port is silent': {path: '/saldo/1', crash: {port: 'silent'}},
  'plain, another instance has the port at once': {
    path: '/saldo/1',
    crash: {port: 'closed'},
    restartMs: 5,
  },
  'plain, silent, the caller leaves first': {
    path: '/makse/1',
    crash: {port: 'silent'},
    patienceMs: 150,
  },
  'stream, the port is closed': {path: '/lisa/1', crash: {port: 'closed'}},
  'stream, the port resets': {path: '/lisa/1', crash: {port: 'resetting'}},
  'stream, the port is silent': {path: '/lisa/1', crash: {port: 'silent'}},
};

describe(
  'a request that crashes upstreams is stopped',
  {concurrency: 4},
  () => {
    for (const [name, scenario] of Object.entries(SCENARIOS)) {
      test(name, async () => {
        // Guards against upstreams that end one after the other, since their
        // ports do not show at once that they have ended.
        const result = await playCrashes(scenario);
        const {lateRuns, latePrefills, soundRefusals} = result;
        const summary = JSON.stringify(result);
        assert.ok(lateRuns <= 3, summary);
        assert.ok(latePrefills <= 3, summary);
        assert.equal(soundRefusals, 0, summary);
      });
    }

    test('sound requests are served beside upstreams that end', async () => {
      // Guards against requests that are sent often and are blamed for the
      // upstreams that ended while they ran there.
      const result = await playCrashes({crash: {port: 'closed'}});
      const summary = JSON.stringify(result);
      assert.equal(result.soundRefusals, 0, summary);
    });
  },
);
