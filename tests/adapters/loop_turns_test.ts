import assert from 'node:assert/strict';
import {test} from 'node:test';
import {watchLoopTurns} from '../../src/adapters/loop_turns.js';

test('each turn of the loop is reported, and none is caused', async () => {
  // Guards against a loop that never waits, and against turns that are missed.
  let turns = 0;
  const stop = watchLoopTurns(() => turns++);
  const timers = 5;
  for (let i = 0; i < timers; i++) {
    await new Promise(resolve => setTimeout(resolve, 30));
  }
  stop();
  const before = turns;
  await new Promise(resolve => setTimeout(resolve, 30));
  assert.equal(turns, before);
  assert.ok(turns >= timers - 1 && turns < 50, String(turns));
});
