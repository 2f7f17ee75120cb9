/** Prompts whose prefill engines fall silent while decode engines go on. */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {
  createSilentSite,
  pause,
  RESUMABLE,
  RUNS_ONCE,
  STREAM_COUNT,
  type SilentSite,
} from './silent_site.js';

let silent: SilentSite;

beforeEach(async () => {
  silent = await createSilentSite({retrySlack: 0, retryRatio: 0});
});

afterEach(() => silent.site.close());

for (const path of [RESUMABLE, RUNS_ONCE]) {
  test(`prompts wait for prefill engines that pause, ${path}`, async () => {
    // Guards against prompts that are sent to one paused engine after the
    // other, and refused once no retry is left.
    const {prefillEngines, startStreams, assertSound} = silent;
    const paused = pause(prefillEngines, 2_000);
    const results = await startStreams(path);
    await paused;
    assertSound(results);
    const prompts = prefillEngines.flatMap(({runs}) => runs);
    assert.equal(prompts.length, STREAM_COUNT);
  });
}
