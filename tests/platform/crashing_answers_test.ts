import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {playCrashes} from './crashing_site.js';

const NAME = 'a request that crashes upstreams is stopped';

describe(NAME, {concurrency: 2}, () => {
  for (const path of ['/saldo/1', '/makse/1', '/lisa/1']) {
    test(`after the answer has begun, ${path}`, async () => {
      // Guards against answers that break off and count as complete runs, or
      // for nothing.
      const crash = {port: 'closed', answersFirst: true} as const;
      const result = await playCrashes({path, crash});
      const summary = JSON.stringify(result);
      assert.ok(result.lateRuns <= 3, summary);
      assert.equal(result.soundRefusals, 0, summary);
    });
  }

  test('though some of its runs fail with status 500', async () => {
    // Guards against failed runs that clear the losses recorded before them.
    const crash = {port: 'closed'} as const;
    const result = await playCrashes({path: '/makse/1', crash, failsEvery: 2});
    assert.ok(result.lateRuns <= 3, JSON.stringify(result));
  });
});
