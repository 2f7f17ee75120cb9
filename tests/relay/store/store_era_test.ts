import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createStoreEra} from '../../../src/relay/store/store_era.js';
import {createRecordingLog} from '../../support/recording_log.js';

test('a new era of the store is reported and logged once', async () => {
  const clock = createVirtualClock(1_000);
  const log = createRecordingLog();
  const era = createStoreEra({clock, log});
  const reported: number[] = [];
  era.onChange(each => reported.push(each));
  era.note(1);
  await clock.advance(500);
  for (const each of [2, 1, 2]) era.note(each);
  assert.equal(era.current(), 2);
  assert.deepEqual(reported, [1, 2]);
  assert.deepEqual(log.lines.at(-1)?.fields, {era: 2, before: 1, knownMs: 500});
  assert.equal(log.lines.length, 2);
});
