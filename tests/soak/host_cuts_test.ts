import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import path from 'node:path';
import {before, describe, test} from 'node:test';
import {HOST_CUT_KIND} from './fault_kinds.js';
import type {CutScenario} from './host_cuts.js';
import {runSoak, type SoakOptions} from './soak_run.js';

/**
 * Guards against a host that refuses its callers, or lets them wait, since it
 * has lost its links to all upstreams while other hosts reach them.
 */
const SCENARIOS: Readonly<Record<string, CutScenario>> = {
  'one, links hang': {hostCount: 1, how: 'hang'},
  'some, from one service': {hostCount: 2, how: 'hang', part: 'service'},
  'some, from one domain': {hostCount: 2, how: 'hang', part: 'domain'},
  'some, links hang': {hostCount: 2, how: 'hang'},
  'most, links hang': {hostCount: 4, how: 'hang'},
  'some, links are reset': {hostCount: 2, how: 'reset'},
  'most, links are reset': {hostCount: 4, how: 'reset'},
  'some, old connections live on': {hostCount: 2, how: 'refuse-new'},
  'some, cut off again': {hostCount: 2, how: 'reset', isRepeated: true},
};

const folder = path.resolve('build', 'soak-cuts');
const program = path.join(folder, 'bundle', 'main.mjs');

/** A run that can't be judged for lack of processors is repeated. */
const MAX_RUNS = 3;

before(() => {
  const bundle = path.dirname(program);
  execFileSync(process.execPath, ['scripts/build_bundle.mjs', bundle]);
});

describe(
  'callers of hosts without upstreams are served',
  {concurrency: 2},
  () => {
    Object.entries(SCENARIOS).forEach(([name, cut], i) => {
      test(name, async () => {
        const options: SoakOptions = {
          seed: i,
          durationMs: 0,
          hostCount: 5,
          callerCount: 4,
          kinds: [],
          faults: [
            {
              kind: HOST_CUT_KIND,
              atMs: 0,
              forMs: 4_000,
              cut: {isRepeated: false, ...cut},
            },
          ],
          program,
          folder,
        };
        for (let run = 1; ; run++) {
          const {broken, unjudged} = await runSoak(options);
          assert.deepEqual(broken, []);
          if (unjudged.length === 0) return;
          assert.ok(run < MAX_RUNS, unjudged.join('\n'));
        }
      });
    });
  },
);
