import assert from 'node:assert/strict';
import {test} from 'node:test';
import {withOwnStop} from './soak_run.js';

test('a soak that broke while its player stood still says so and still fails', () => {
  // Guards against faults of the player that are taken for those of hosts.
  assert.deepEqual(withOwnStop(2_000, []), []);
  assert.deepEqual(withOwnStop(20, ['q1: lost']), ['q1: lost']);
  assert.deepEqual(withOwnStop(2_000, ['q1: lost']), [
    'q1: lost',
    'void: the player stood still for 2000 ms',
  ]);
});
