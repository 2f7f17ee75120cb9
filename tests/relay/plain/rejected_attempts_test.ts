import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PAUSED, play} from './plain_site.js';

for (const retries of [1, 5, 20, 40]) {
  test(`calls whose silent upstream goes on are answered while the other one rejects them, with ${retries} retries`, async () => {
    // Guards against a silent attempt that is given up before another is accepted.
    const upstreams = {a: PAUSED, b: {isFull: true}};
    const {ends} = await play({upstreams, retries});
    const lost = ends.filter(
      ({outcome, status}) => outcome.upstreams.length > 0 && status !== 200,
    );
    assert.deepEqual(lost, []);
  });
}
