import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {EngineRun} from '../../stand_ins/users_platform/engine_stand_in_types.js';
import {
  AMPLE_RETRIES,
  findPauseViolations,
  type PausedUpstream,
  type PauseEvidence,
} from './engine_pause_checks.js';
import type {CallRecord} from './soak_callers.js';

/** A stream that ended in the middle of a pause, at 3 s. */
const cutStream: CallRecord = {
  id: 'q1',
  kind: 'resumable',
  hostId: 'host-0',
  sentAtMs: 1_000,
  deadlineMs: 8_000,
  endedAtMs: 3_000,
  status: 200,
  body: '',
  isCut: true,
  hasDisconnected: false,
};

function runOf(requestId: string, changes: Partial<EngineRun> = {}): EngineRun {
  return {
    requestId,
    headers: {},
    method: 'POST',
    target: '/lisa/1',
    body: '',
    parts: [],
    stage: 'decode',
    startedAtMs: 1_100,
    wasDisconnected: false,
    ...changes,
  };
}

function upstreamOf(
  id: string,
  runs: EngineRun[],
  changes: Partial<PausedUpstream> = {},
): PausedUpstream {
  const stage = id.startsWith('p') ? 'prefill' : 'decode';
  const version = 'v1';
  const row = () => ({stage});
  return {
    service: 'drafts',
    state: 'ready',
    pauses: [],
    downtimes: [],
    standIn: {id, version, runs, arrivals: [], row},
    link: {disturbances: []},
    ...changes,
  };
}

const pauses = [{fromMs: 1_500, toMs: 3_500}];
const used = runOf('q0', {startedAtMs: 10, lastEventAtMs: 500});

function check(changes: Partial<PauseEvidence>): number {
  const evidence: PauseEvidence = {
    records: [cutStream],
    upstreams: [upstreamOf('d1', [runOf('q1')], {pauses})],
    disruptions: [],
    cuts: [],
    retrySlack: AMPLE_RETRIES,
    ...changes,
  };
  return findPauseViolations(evidence).length;
}

test('a request that is cut or fails while its engine pauses is found', () => {
  const failed = {...cutStream, status: 502, isCut: false};
  const refused = {...cutStream, status: 503, isCut: false};
  const whole = {...cutStream, isCut: false};
  assert.equal(check({}), 1);
  assert.equal(check({records: [failed]}), 1);
  assert.equal(check({records: [refused]}), 0);
  assert.equal(check({records: [whole]}), 0);
});

test('a request that ended for another reason than a pause is excused', () => {
  const away = {...cutStream, hasDisconnected: true};
  const late = {...cutStream, endedAtMs: 9_000};
  const stopped = {hostId: 'host-0', fromMs: 2_000, toMs: 2_100};
  const brokenOff = [runOf('q1', {brokenOffAtMs: 2_900})];
  const link = {disturbances: [{fromMs: 2_900, toMs: 2_900}]};
  assert.equal(check({records: [away]}), 0);
  assert.equal(check({records: [late]}), 0);
  assert.equal(check({disruptions: [{...stopped, isOfProcess: true}]}), 0);
  assert.equal(check({upstreams: [upstreamOf('d1', brokenOff)]}), 0);
  const paused = upstreamOf('d1', [runOf('q1')], {pauses});
  assert.equal(check({upstreams: [{...paused, link}]}), 0);
  // A request that is sent to an engine that has crashed leaves no run there.
  const crashed = upstreamOf('d2', [], {
    link: {disturbances: [{fromMs: 500, toMs: Infinity}]},
  });
  const gone = {...crashed, goneSinceMs: 900};
  assert.equal(check({upstreams: [paused, crashed]}), 0);
  assert.equal(check({upstreams: [paused, gone]}), 1);
  const endedAtMs = cutStream.endedAtMs ?? 0;
  /** Down from and until so long before the end of the stream. */
  const checkDown = (fromMs: number, untilMs: number) => {
    const downtimes = [{fromMs: endedAtMs - fromMs, toMs: endedAtMs - untilMs}];
    return check({upstreams: [paused, upstreamOf('d3', [], {downtimes})]});
  };
  assert.equal(checkDown(100, 50), 0);
  assert.equal(checkDown(1_000, -200), 0);
  assert.equal(checkDown(700, 600), 1);
  assert.equal(checkDown(-100, -200), 1);
  const body = 'The retries of the service are used up.';
  const noRetry = {...cutStream, status: 502, isCut: false, body};
  const checkNoRetry = (changes: Partial<CallRecord>, crashedAtMs: number) => {
    const downtimes = [{fromMs: crashedAtMs, toMs: crashedAtMs + 100}];
    const upstreams = [paused, upstreamOf('d3', [], {downtimes})];
    return check({records: [{...noRetry, ...changes}], upstreams});
  };
  assert.equal(checkNoRetry({}, endedAtMs - 1_000), 0);
  assert.equal(checkNoRetry({body: ''}, endedAtMs - 1_000), 1);
  assert.equal(checkNoRetry({}, cutStream.sentAtMs - 200), 1);
});

test('events of a run long after the next has begun are found', () => {
  const records = [{...cutStream, isCut: false}];
  const second = runOf('q1', {startedAtMs: 2_000, lastEventAtMs: 3_000});
  const upstreams = (lastEventAtMs: number) => [
    upstreamOf('d1', [runOf('q1', {lastEventAtMs})]),
    upstreamOf('d2', [second]),
  ];
  assert.equal(check({records, upstreams: upstreams(2_350)}), 0);
  assert.equal(check({records, upstreams: upstreams(2_450)}), 1);
});

test('a run that its engine begins after the next one is still the one before', () => {
  // Guards against a stream that is reported though the engine which it left
  // stopped in time.
  const records = [{...cutStream, isCut: false}];
  const sentWith = (leftMs: string, startedAtMs: number, toMs: number) =>
    runOf('q1', {
      headers: {'x-deadline-ms': leftMs},
      startedAtMs,
      lastEventAtMs: toMs,
    });
  const upstreams = (leftAtMs: number) => [
    upstreamOf('d1', [sentWith('3900', 2_020, leftAtMs)]),
    upstreamOf('d2', [sentWith('1800', 2_000, 2_600)]),
  ];
  assert.equal(check({records, upstreams: upstreams(2_170)}), 0);
  assert.equal(check({records, upstreams: upstreams(2_450)}), 1);
});

test('a run that was left before its engine read it is at no engine', () => {
  const records = [{...cutStream, isCut: false}];
  const unread = {startedAtMs: 2_000, disconnectedAtMs: 2_000};
  const upstreams = [
    upstreamOf('d1', [runOf('q1', {lastEventAtMs: 2_900})]),
    upstreamOf('d2', [runOf('q1', unread)]),
  ];
  assert.equal(check({records, upstreams}), 0);
});

test('a stream that stays on a connection silent for good is found', () => {
  const records = [{...cutStream, endedAtMs: 8_000, isCut: false}];
  const upstreams = (
    changes: Partial<EngineRun>,
    others: Partial<PausedUpstream> = {},
  ) => [
    upstreamOf('d1', [runOf('q1', {silencedAtMs: 2_000, ...changes})]),
    upstreamOf('d2', [used], others),
    upstreamOf('p1', [used]),
  ];
  assert.equal(check({records, upstreams: upstreams({})}), 1);
  const left = {disconnectedAtMs: 5_400};
  assert.equal(check({records, upstreams: upstreams(left)}), 0);
  // No engine could go on with it.
  assert.equal(check({records, upstreams: upstreams({}, {pauses})}), 0);
  assert.equal(check({records, upstreams: upstreams({}), retrySlack: 58}), 0);
});
