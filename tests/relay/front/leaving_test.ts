import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {ErrorKind} from '../../../src/core/error_kinds.js';
import type {
  Route,
  RouteKind,
  Service,
} from '../../../src/core/routing_types.js';
import type {Clock} from '../../../src/ports/clock.js';
import type {RecentDurations} from '../../../src/relay/front/call_durations.js';
import {createLeaving} from '../../../src/relay/front/leaving.js';
import {silentLog} from '../../support/silent_log.js';
import {createFreezableClock} from '../fleet/fleet_network.js';

const GRACE_MS = 8_000;

interface LeavingState {
  hasEnded: boolean;
  hasOtherEntry: boolean;
  graceMs: number;
  recent?: RecentDurations;
  /** The refusal of a waiting call, if it is refused. */
  waitingRefusal?: ErrorKind;
  /** Requests that are ended are no longer open a moment later. */
  isAnswerSoon: boolean;
  /** How many requests were open at the end. */
  openAtEnd?: number;
  /** The refusal of requests that no upstream ran, once all are ended. */
  endedWith?: ErrorKind;
}

function startLeaving({
  openCount = 0,
  lateMs = 0,
  waitedMs = 0,
  handledAgoMs = 0,
  graceMs = GRACE_MS,
} = {}) {
  const clock = createVirtualClock(1_000);
  const ownClock = createFreezableClock(clock);
  const host: Clock = {
    ...ownClock.host,
    setTimer: (delayMs, callback) =>
      ownClock.host.setTimer(delayMs + lateMs, callback),
  };
  const state: LeavingState = {
    hasEnded: false,
    hasOtherEntry: true,
    graceMs: GRACE_MS,
    isAnswerSoon: false,
  };
  let isAnswerWritten = false;
  const toRequest = (kind: RouteKind, waitMs: number, isPipelined = false) => ({
    request: {requestId: 'q1'},
    caller: {isPipelined},
    route: {kind} as Route,
    service: {name: 'ledger'} as Service,
    deadlineAtMs: clock.nowMs() + waitMs,
  });
  const leaving = createLeaving({
    clock: host,
    log: silentLog,
    graceMs: () => state.graceMs,
    openCount: () => (isAnswerWritten ? 0 : openCount),
    cutCount: () => (isAnswerWritten ? 0 : openCount),
    lastRequestAtMs: () => 1_000,
    durations: {recent: () => state.recent},
    signalsHandledUntilMs: () => 1_000 - handledAgoMs,
    hasOtherEntry: () => state.hasOtherEntry,
    refuseWaiting(find) {
      state.waitingRefusal = find(toRequest('idempotent', 3_000))?.kind;
    },
    endUnanswered({kind}) {
      state.endedWith ??= kind;
      // An answer is written once the process gets to it.
      clock.setTimer(0, () => (isAnswerWritten = state.isAnswerSoon));
    },
    onLeave: () => undefined,
  });
  void leaving.ended.then(count => {
    state.hasEnded = true;
    state.openAtEnd = count;
  });
  state.graceMs = graceMs;
  leaving.start(waitedMs);
  const refuse = (kind: RouteKind, waitMs: number, isPipelined?: boolean) =>
    leaving.refuse(toRequest(kind, waitMs, isPipelined));
  return {clock, state, suspend: ownClock.stop, refuse};
}

test('a leaving host that was suspended reads what arrived meanwhile before it ends', async () => {
  // Guards against callers whose connections are reset although the host has
  // time left to serve them.
  const {clock, state, suspend} = startLeaving();
  await clock.advance(2_000);
  suspend(1_000);
  await clock.advance(1_300);
  assert.equal(state.hasEnded, false);
  await clock.advance(200);
  assert.equal(state.hasEnded, true);
});

test('a leaving host ends before it is killed, however long it was suspended', async () => {
  const {clock, state, suspend} = startLeaving();
  await clock.advance(2_000);
  suspend(5_800);
  await clock.advance(5_810);
  assert.equal(state.hasEnded, true);
});

test('a host that is suspended until its end writes the answers that it then makes', async () => {
  // Guards against connections that are closed before the last answers are written.
  const {clock, state, suspend} = startLeaving({openCount: 1});
  state.isAnswerSoon = true;
  await clock.advance(7_000);
  suspend(800);
  await clock.advance(850);
  assert.equal(state.endedWith, 'shutting-down');
  assert.equal(state.hasEnded, true);
  assert.equal(state.openAtEnd, 0);
});

test('a leaving host takes a call as long as its deadline is before the end', async () => {
  // Guards against calls that begin too late to be answered, and against early refusals.
  const {clock, state, refuse} = startLeaving();
  state.recent = {count: 50, longestMs: 300};
  await clock.advance(4_500);
  assert.equal(refuse('non-idempotent', 3_000), undefined);
  await clock.advance(100);
  assert.equal(refuse('non-idempotent', 3_000)?.kind, 'shutting-down');
  await clock.advance(2_700);
  assert.equal(refuse('idempotent', 200), undefined);
  await clock.advance(100);
  assert.equal(refuse('idempotent', 200)?.kind, 'shutting-down');
});

test('a leaving host begins a stream that others may follow only if it ends in time', async () => {
  // Guards against requests behind a stream that is cut at the end.
  const {refuse} = startLeaving();
  assert.equal(refuse('stream', 14_000, true)?.kind, 'shutting-down');
  assert.equal(refuse('stream', 7_000, true), undefined);
  assert.equal(refuse('idempotent', 14_000, true), undefined);
  assert.equal(refuse('stream', 14_000, false), undefined);
});

test('a leaving host begins no request late because recent ones were short', async () => {
  // Guards against streams that take longer than all before, and are cut at the end.
  const {clock, state, refuse} = startLeaving();
  state.recent = {count: 500, longestMs: 50};
  for (const kind of ['stream', 'idempotent', 'non-idempotent'] as const) {
    assert.equal(refuse(kind, 14_000), undefined);
  }
  await clock.advance(2_950);
  assert.equal(refuse('stream', 14_000), undefined);
  await clock.advance(100);
  for (const hasOtherEntry of [true, false]) {
    state.hasOtherEntry = hasOtherEntry;
    for (const kind of ['stream', 'idempotent', 'non-idempotent'] as const) {
      assert.equal(refuse(kind, 14_000)?.kind, 'shutting-down');
    }
  }
});

test('a leaving host takes no stream that is as long as a recent one and cannot end', async () => {
  // Guards against streams that are cut at the end since they are longer than most.
  const {clock, state, refuse} = startLeaving();
  state.recent = {count: 200, longestMs: 4_000};
  await clock.advance(2_700);
  assert.equal(refuse('stream', 14_000), undefined);
  await clock.advance(100);
  assert.equal(refuse('stream', 14_000)?.kind, 'shutting-down');
  state.recent = {count: 20, longestMs: 1_000};
  assert.equal(refuse('stream', 14_000), undefined);
  await clock.advance(300);
  assert.equal(refuse('stream', 14_000)?.kind, 'shutting-down');
});

test('a leaving host that has just started takes calls of unknown length', async () => {
  // Guards against a fresh host that refuses all calls from SIGTERM on.
  const {clock, state, refuse} = startLeaving();
  await clock.advance(2_000);
  assert.equal(refuse('idempotent', 60_000), undefined);
  await clock.advance(1_000);
  assert.equal(refuse('idempotent', 60_000)?.kind, 'shutting-down');
  state.recent = {count: 5, longestMs: 200};
  assert.equal(refuse('idempotent', 60_000)?.kind, 'shutting-down');
  assert.equal(refuse('idempotent', 4_500), undefined);
});

test('a leaving host without another entry takes requests that may be too long', async () => {
  // Guards against refusing all calls of a site whose hosts all leave.
  const {clock, state, refuse} = startLeaving();
  state.recent = {count: 50, longestMs: 9_000};
  assert.equal(refuse('stream', 14_000)?.kind, 'shutting-down');
  state.hasOtherEntry = false;
  await clock.advance(2_900);
  assert.equal(refuse('stream', 14_000), undefined);
  await clock.advance(200);
  assert.equal(refuse('stream', 14_000)?.kind, 'shutting-down');
});

test('a leaving host goes by the deadline of a call while few calls have ended', async () => {
  const {clock, refuse} = startLeaving();
  await clock.advance(4_000);
  assert.equal(refuse('idempotent', 3_000), undefined);
  await clock.advance(1_000);
  assert.equal(refuse('idempotent', 3_000)?.kind, 'shutting-down');
});

test('a refused caller returns at once to another entry, else to the next process', async () => {
  const {clock, state, refuse} = startLeaving();
  await clock.advance(7_900);
  assert.equal(refuse('stream', 14_000)?.retryAfterMs, 20);
  state.hasOtherEntry = false;
  assert.equal(refuse('stream', 14_000)?.retryAfterMs, 1_100);
});

test('a leaving host answers all requests before it closes their connections', async () => {
  // Guards against connections that are closed without a word.
  const {clock, state} = startLeaving({openCount: 1});
  await clock.advance(4_000);
  assert.equal(state.waitingRefusal, undefined);
  await clock.advance(3_500);
  assert.equal(state.waitingRefusal, 'shutting-down');
  assert.equal(state.endedWith, undefined);
  await clock.advance(150);
  assert.equal(state.endedWith, 'shutting-down');
  assert.equal(state.hasEnded, false);
  await clock.advance(150);
  assert.equal(state.hasEnded, true);
});

test('a leaving host ends before it is killed although all its checks are late', async () => {
  // Guards against a busy host that puts its end off and is killed.
  const {clock, state} = startLeaving({openCount: 1, lateMs: 110});
  await clock.advance(GRACE_MS - 10);
  assert.equal(state.endedWith, 'shutting-down');
  assert.equal(state.hasEnded, true);
});

test('a leaving host counts from the earliest time at which the signal may have come', async () => {
  // Guards against streams that a late host takes over 3 s after SIGTERM, and against its being killed.
  for (const late of [{handledAgoMs: 600}, {waitedMs: 600}]) {
    const {clock, state, refuse} = startLeaving({openCount: 1, ...late});
    await clock.advance(2_350);
    assert.equal(refuse('stream', 14_000), undefined);
    await clock.advance(100);
    assert.equal(refuse('stream', 14_000)?.kind, 'shutting-down');
    await clock.advance(GRACE_MS - 600 - 2_450);
    assert.equal(state.hasEnded, true);
  }
  const {clock, refuse} = startLeaving({handledAgoMs: 5_000});
  await clock.advance(1_950);
  assert.equal(refuse('stream', 14_000), undefined);
});

for (const graceMs of [4_000, 12_000]) {
  test(`a host leaves by the grace in force at the signal, ${graceMs} ms, whatever it was before or is later`, async () => {
    // Guards against requests that are cut as a host goes by an earlier grace.
    const {clock, state} = startLeaving({openCount: 1, graceMs});
    state.graceMs = GRACE_MS;
    await clock.advance(graceMs - 400);
    assert.equal(state.hasEnded, false);
    await clock.advance(200);
    assert.equal(state.hasEnded, true);
  });
}
