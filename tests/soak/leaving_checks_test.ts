import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {EngineRun} from '../../stand_ins/users_platform/engine_stand_in_types.js';
import type {DisruptedSpan} from './fault_kinds.js';
import {
  findUnansweredRequests,
  wasHeldByUpstreams,
  wasRefusedEarly,
} from './leaving_checks.js';
import type {CallRecord} from './soak_callers.js';
import type {ExitedProcess} from './soak_checks.js';
import type {SoakUpstream} from './soak_site.js';

const RECORD: CallRecord = {
  id: 'q1',
  kind: 'once',
  hostId: 'host-0',
  sentAtMs: 4_600,
  deadlineMs: 4_000,
  endedAtMs: 4_700,
  body: '',
  isCut: true,
  hasDisconnected: false,
};
const RUN = {requestId: 'q1', stage: 'whole'} as EngineRun;
const EXIT: ExitedProcess = {
  hostId: 'host-0',
  end: {code: 1, signal: null, hadOutput: true},
  fromMs: 1_000,
  toMs: 4_710,
};
const FREEZE: DisruptedSpan = {
  hostId: 'host-0',
  fromMs: 4_000,
  toMs: 4_500,
  isOfProcess: true,
};

function count(
  record: Partial<CallRecord>,
  run: Partial<EngineRun> = {},
  disruptions: readonly DisruptedSpan[] = [],
): number {
  const standIn = {runs: [{...RUN, ...run}]};
  const upstreams = [{standIn}] as unknown as readonly SoakUpstream[];
  const records = [{...RECORD, ...record}];
  return findUnansweredRequests(records, upstreams, [EXIT], disruptions).length;
}

test('a request that ran and that its leaving host cut is a violation', () => {
  assert.equal(count({}), 1);
  assert.equal(count({}, {}, [{...FREEZE, isPlanned: true}]), 1);
});

test('other ends of requests are no violation of a leaving host', () => {
  assert.equal(count({status: 503, isCut: false}), 0);
  assert.equal(count({hasDisconnected: true}), 0);
  assert.equal(count({hostId: 'host-1'}), 0);
  assert.equal(count({endedAtMs: 900}), 0);
  assert.equal(count({}, {requestId: 'q2'}), 0);
  assert.equal(count({}, {brokenOffAtMs: 4_650}), 0);
  assert.equal(count({}, {}, [FREEZE]), 0);
});

test('an abort is allowed only of streams that began and whose engine or connection held them up', () => {
  const GRACE_MS = 4_000;
  const pause = {fromMs: 2_200, toMs: 4_400};
  const stream: CallRecord = {
    ...RECORD,
    kind: 'stream',
    status: 200,
    sentAtMs: 2_000,
    endedAtMs: 4_690,
  };
  const isAllowed = (
    records: readonly CallRecord[],
    pauses: ReadonlyArray<{fromMs: number; toMs: number}> = [pause],
    run: Partial<EngineRun> = {},
  ) => {
    const standIn = {runs: [{...RUN, ...run}]};
    const upstreams = [{standIn, pauses}] as unknown as SoakUpstream[];
    return wasHeldByUpstreams(EXIT, records, upstreams, GRACE_MS);
  };
  assert.equal(isAllowed([stream]), true);
  assert.equal(isAllowed([]), false);
  assert.equal(isAllowed([stream], []), false);
  assert.equal(isAllowed([{...stream, sentAtMs: 2_600}]), false);
  const silenced = {silencedAtMs: 4_000};
  assert.equal(isAllowed([{...stream, sentAtMs: 3_600}], [], silenced), true);
  assert.equal(isAllowed([{...stream, status: undefined}]), false);
  assert.equal(isAllowed([stream, {...stream, id: 'q2'}]), false);
});

test('a refusal is early if the request reached its host in time to end', () => {
  // Guards against blaming a refusal on the time at which the request was sent.
  const GRACE_MS = 4_000;
  const at = (afterMs: number) => ({afterMs, refusedAfterMs: afterMs});
  const call = {...at(1_900), deadlineMs: 1_500, longestMs: 180};
  assert.equal(wasRefusedEarly(call, GRACE_MS), true);
  assert.equal(wasRefusedEarly({...call, ...at(2_050)}, GRACE_MS), false);
  assert.equal(wasRefusedEarly({...call, deadlineMs: 1_700}, GRACE_MS), false);
  const stream = {...at(1_440), deadlineMs: 14_000, longestMs: 538};
  assert.equal(wasRefusedEarly(stream, GRACE_MS), true);
  assert.equal(wasRefusedEarly({...stream, ...at(1_460)}, GRACE_MS), false);
  const waited = {...stream, refusedAfterMs: 1_460};
  assert.equal(wasRefusedEarly(waited, GRACE_MS), false);
  assert.equal(wasRefusedEarly({...stream, longestMs: 1_100}, GRACE_MS), false);
});
