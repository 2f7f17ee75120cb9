import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findLostRequests} from './overload.js';
import {findPressureViolations} from './pressure_checks.js';
import type {PressureResult} from './pressure_play.js';
import type {PressureScenario} from './pressure_scenarios.js';
import type {SoundCall} from './pressure_sound.js';
import type {CallRecord} from './soak_callers.js';

const served: SoundCall = {
  hostId: 'host-0',
  kind: 'once',
  end: 'served',
  status: 200,
  tookMs: 100,
};
const calls = Array.from({length: 100}, () => served);
const sound: PressureResult = {
  peakMb: [199, 120],
  ended: [],
  calls,
  pressing: [
    {
      opened: 1,
      open: 1,
      closed: 0,
      answers: {},
      mostBytes: 100,
      longestOpenMs: 10,
    },
  ],
  latenessMs: [],
};
const scenario: PressureScenario = {
  pressing: [{kind: 'chunks', perHost: 1, maxSentBytes: 100, maxOpenMs: 10}],
};
const find = (changes: Partial<PressureResult>) =>
  findPressureViolations({...sound, ...changes}, scenario, 200);

test('pressure: a sound play has no violations, and each bound has its own', () => {
  // Guards against a check that no play can break.
  assert.deepEqual(find({}), []);
  assert.deepEqual(find({peakMb: [201, 120]}), ['a process took 201 MB']);
  assert.deepEqual(
    find({ended: [{hostId: 'host-1', how: 'code 0, signal null'}]}),
    ['host-1 ended code 0, signal null'],
  );
  assert.deepEqual(find({calls: [...calls, {...served, end: 'lost'}]}), [
    '1 of 101 calls were lost',
  ]);
  assert.deepEqual(find({calls: [...calls, {...served, end: 'failed'}]}), [
    '1 of 101 calls failed',
  ]);
  const refused = Array.from({length: 6}, (): SoundCall => ({
    ...served,
    end: 'refused',
  }));
  assert.deepEqual(find({calls: [...calls, ...refused]}), [
    '100 of 106 calls were served',
  ]);
  const [pressing] = sound.pressing;
  assert.deepEqual(find({pressing: [{...pressing, mostBytes: 101}]}), [
    '101 bytes were taken from one connection',
  ]);
  assert.deepEqual(find({pressing: [{...pressing, longestOpenMs: 11}]}), [
    'a connection was open for 11 ms',
  ]);
});

const unanswered: CallRecord = {
  id: 'q1',
  kind: 'once',
  hostId: 'host-0',
  sentAtMs: 10_000,
  deadlineMs: 4_000,
  endedAtMs: 10_500,
  body: '',
  isCut: true,
  hasDisconnected: false,
};

test('overload: a request without an answer is lost unless its process was stopped or its caller left', () => {
  // Guards against requests that end with no word while their process lives.
  const isLost = (
    changes: Partial<CallRecord>,
    spans = [{fromMs: 0, toMs: 0}],
  ) =>
    findLostRequests(
      [{...unanswered, ...changes}],
      spans.map(span => ({...span, hostId: 'host-0', isOfProcess: true})),
    ).length > 0;
  assert.ok(isLost({}));
  assert.ok(isLost({endedAtMs: 15_000, hasDisconnected: true}));
  assert.ok(!isLost({hasDisconnected: true}));
  assert.ok(!isLost({status: 503}));
  assert.ok(!isLost({}, [{fromMs: 10_200, toMs: 11_000}]));
  assert.ok(!isLost({}, [{fromMs: 7_000, toMs: 8_000}]));
  assert.ok(isLost({}, [{fromMs: 6_000, toMs: 6_500}]));
});
