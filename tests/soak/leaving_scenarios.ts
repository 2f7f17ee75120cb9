/** Declares a test for each of some scenarios of leaving hosts. */

import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import path from 'node:path';
import {before, test} from 'node:test';
import {wasRefusedEarly} from './leaving_checks.js';
import {playLeavingHosts, type LeavingScenario} from './leaving_hosts.js';
import {EXIT_REQUESTS_ABORTED} from './soak_checks.js';
import {LEAVE_GRACE_MS} from './soak_site.js';

/** How long calls take that take no longer than usual, in ms. */
export const SHORT_WORK_MS = {least: 20, most: 150};

export function testLeavingHosts(
  title: string,
  scenarios: Readonly<Record<string, LeavingScenario>>,
): void {
  const folder = path.resolve('build', 'soak');
  const bundle = path.join(folder, `leaving-bundle-${process.pid}`);

  before(() => {
    execFileSync(process.execPath, ['scripts/build_bundle.mjs', bundle]);
  });

  for (const [name, scenario] of Object.entries(scenarios)) {
    test(`${title}: ${name}`, async () => {
      const result = await playLeavingHosts(
        name,
        scenario,
        folder,
        path.join(bundle, 'main.mjs'),
      );
      assert.deepEqual(result.cut, []);
      const bad = result.exits.filter(
        ({hostId, end: {code, signal}}) =>
          code !== 0 &&
          !(
            code === EXIT_REQUESTS_ABORTED && result.excusedHosts.has(hostId)
          ) &&
          // A host that was suspended may have too little time left to exit.
          !(scenario.suspension && signal === 'SIGKILL'),
      );
      assert.deepEqual(bad, []);
      if (scenario.suspension) return;
      const {graceMs = LEAVE_GRACE_MS} = scenario;
      const early = result.refusals.filter(each =>
        wasRefusedEarly(each, graceMs),
      );
      assert.deepEqual(early, []);
    });
  }
}
