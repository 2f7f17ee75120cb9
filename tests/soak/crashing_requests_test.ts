import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import path from 'node:path';
import {before, describe, test} from 'node:test';
import {CRASHING_KIND, type CrashScenario} from './fault_kinds.js';
import {runSoak} from './soak_run.js';

/**
 * Guards against a request that ends one upstream after the other, since
 * nothing shows at once that they have ended, since its answers had begun, or
 * since some of its runs fail; and against sound requests that are refused.
 */
const SCENARIOS: Readonly<Record<string, CrashScenario>> = {
  'plain, the port is closed': {kind: 'crashing', port: 'closed'},
  'plain, the port resets': {kind: 'crashing', port: 'resetting'},
  'plain, the port is silent': {kind: 'crashing', port: 'silent'},
  'plain, another instance has the port at once': {
    kind: 'crashing',
    port: 'closed',
    restartMs: 5,
  },
  'plain, silent, the caller leaves first': {
    kind: 'crashing-once',
    port: 'silent',
    patienceMs: 150,
  },
  'plain, some runs fail with status 500': {
    kind: 'crashing-once',
    port: 'closed',
    failsEvery: 2,
  },
  'plain, the answer has begun': {
    kind: 'crashing',
    port: 'closed',
    answersFirst: true,
  },
  'once, the answer has begun': {
    kind: 'crashing-once',
    port: 'closed',
    answersFirst: true,
  },
  'stream, the answer has begun': {
    kind: 'crashing-stream',
    port: 'closed',
    answersFirst: true,
  },
  'stream, the port is closed': {kind: 'crashing-stream', port: 'closed'},
  'stream, the port resets': {kind: 'crashing-stream', port: 'resetting'},
  'stream, the port is silent': {kind: 'crashing-stream', port: 'silent'},
  'no request, upstreams end for other reasons': {port: 'closed'},
};

const folder = path.resolve('build', 'soak-crashes');
const program = path.join(folder, 'bundle', 'main.mjs');

before(() => {
  const bundle = path.dirname(program);
  execFileSync(process.execPath, ['scripts/build_bundle.mjs', bundle]);
});

describe('requests that crash upstreams are stopped', {concurrency: 3}, () => {
  Object.entries(SCENARIOS).forEach(([name, crash], i) => {
    test(name, async () => {
      const {broken} = await runSoak({
        seed: i,
        durationMs: 0,
        hostCount: 3,
        callerCount: 6,
        kinds: [],
        faults: [{kind: CRASHING_KIND, atMs: 0, forMs: 0, crash}],
        program,
        folder,
      });
      assert.deepEqual(broken, []);
    });
  });
});
