import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createStoreEra} from '../../../src/relay/store/store_era.js';
import {createRecordingLog} from '../../support/recording_log.js';

test('a new era of the store is told once, with the one before', async () => {
  const clock = createVirtualClock(1_000);
  const log = createRecordingLog();
  const era = createStoreEra({clock, log});
  const heard: number[] = [];
  era.onChange(each => heard.push(each));
  era.note(1);
  await clock.advance(500);
  for (const told of [2, 1, 2]) era.note(told);
  assert.equal(era.current(), 2);
  assert.deepEqual(heard, [1, 2]);
  assert.deepEqual(log.lines.at(-1)?.fields, {era: 2, before: 1, knownMs: 500});
  assert.equal(log.lines.length, 2);
});
