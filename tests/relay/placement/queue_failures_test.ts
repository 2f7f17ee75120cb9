import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Route, Routing} from '../../../src/core/routing_types.js';
import {toLocalWaiting} from '../../../src/relay/fleet/peer_datagrams.js';
import type {
  Placement,
  StreamNeed,
} from '../../../src/relay/placement/placement_types.js';
import {createRequestPriorities} from '../../../src/relay/placement/request_priority.js';
import {createServiceQueue} from '../../../src/relay/placement/service_queue.js';
import {
  compareWaiting,
  type Waiting,
} from '../../../src/relay/placement/wait_rules.js';
import {makeService} from './lone_scheduler.js';

/** A queue at time 0 in front of engines that complete a run each 100 ms. */
function makeQueue(canWait = true) {
  const state = {meanRunMs: 1_000, hasRoom: false, atPeers: [] as Waiting[]};
  const queue = createServiceQueue({
    compare: compareWaiting,
    waitingAtPeers: () => state.atPeers,
    runningMemory: () => ({
      runs: 10,
      tokensAtEnd: 40_000,
      meanRunMs: state.meanRunMs,
    }),
    leastUrgentPriority: () => 2,
    isOverShare: account => account === 'heavy',
    onPlaced: () => undefined,
    retrySpread: () => 0,
    isServed: () => true,
    // Room for one request, as seen by every host.
    tryPlace: (_, ahead) =>
      state.hasRoom && ahead === 0
        ? ({kind: 'placed'} as Placement)
        : undefined,
  });
  const add = (priority?: number, account?: string) =>
    queue.add(makeNeed(canWait ? 1_000 : 50, priority, account), 0);
  return {queue, state, add};
}

function makeNeed(
  giveUpAtMs: number,
  priority?: number,
  account?: string,
): StreamNeed {
  return {
    account,
    requestId: 'r',
    service: makeService(10_000),
    promptTokens: 3_000,
    expectedOutputTokens: 1_000,
    startMs: 250,
    callerLeftMs: 14_000,
    waiting: {arrivedAtMs: 0, onTimeUntilMs: 600, giveUpAtMs, priority},
  };
}

test('a forecast that is wrong for a moment refuses no waiting request', () => {
  // Guards against callers sent away by one announcement that shows fewer runs
  // than there are.
  const {queue, state, add} = makeQueue();
  for (let i = 0; i < 3; i++) assert.equal(add().kind, 'waiting');
  const refusedAt = (nowMs: number) =>
    queue.process(nowMs).map(({outcome}) => outcome.kind).length;
  state.meanRunMs = 9_000;
  assert.equal(refusedAt(100), 0);
  state.meanRunMs = 1_000;
  assert.equal(refusedAt(160), 0);
  state.meanRunMs = 9_000;
  assert.equal(refusedAt(220), 0);
  assert.equal(refusedAt(270), 0);
  // The first request is kept: the next run that ends may make room for it.
  assert.equal(refusedAt(320), 2);
  assert.equal(queue.waiters().length, 1);
});

test('a less urgent request starts although peers hold more urgent ones', () => {
  // Guards against less urgent requests that starve on a host without urgent
  // ones while its peers receive urgent ones all the time.
  const {queue, state, add} = makeQueue();
  assert.equal(add(1).kind, 'waiting');
  const {waiting} = makeNeed(3_000, 0);
  const arrivedLaterBy = (laterMs: number): Waiting => ({
    ...waiting,
    arrivedAtMs: laterMs,
    onTimeUntilMs: waiting.onTimeUntilMs + laterMs,
  });
  state.hasRoom = true;
  state.atPeers = [arrivedLaterBy(299), arrivedLaterBy(400)];
  assert.equal(queue.process(450).length, 0);
  state.atPeers = [arrivedLaterBy(301), arrivedLaterBy(400)];
  assert.equal(queue.process(451)[0].outcome.kind, 'started');
});

test('refused callers get successive times, and urgent ones the first', () => {
  const {queue, add} = makeQueue(false);
  const times = [1, 1, 0, undefined].map(priority => {
    const outcome = add(priority);
    return outcome.kind === 'refused' ? outcome.refusal.retryAfterMs : -1;
  });
  // Retries are at least 150 ms away.
  assert.deepEqual(times, [150, 250, 150, 450]);
  assert.equal(queue.scheduledRetries(200), 2);
  assert.equal(queue.scheduledRetries(1_000), 0);
});

test('refused callers over their share delay none within it', () => {
  // Guards against requests that are refused because of the scheduled retries of
  // an account over its share.
  const {queue, add} = makeQueue(false);
  for (let i = 0; i < 20; i++) assert.equal(add(0, 'heavy').kind, 'refused');
  assert.equal(queue.scheduledRetries(0), 20);
  assert.equal(queue.add(makeNeed(120, 1, 'usual'), 0).kind, 'waiting');
  const heavy = queue.add(makeNeed(120, 0, 'heavy'), 0);
  assert.equal(heavy.kind, 'refused');
});

test('records without a valid priority are the least urgent', () => {
  // Guards against announcements that are lost, or requests that come first,
  // because of a field that an older or faulty host filled in otherwise.
  const record = {service: 's', ageMs: 10, onTimeMs: 500, giveUpMs: 900};
  for (const value of [undefined, 'first', Number.NaN, -1, null]) {
    const received = {...record, priority: value as number};
    const waiting = toLocalWaiting(received, 100);
    assert.equal(waiting.priority, undefined);
    assert.equal(waiting.arrivedAtMs, 90);
  }
  assert.equal(toLocalWaiting({...record, priority: 0}, 100).priority, 0);
});

test('only services with routes of unequal priority have priorities', () => {
  // Guards against headers and an order that change where nothing calls for it.
  const route = (service: string, priority: number) =>
    ({priority, targets: [{service, weight: 1}]}) as unknown as Route;
  const routes = [
    ...[route('equal', 1), route('equal', 1)],
    ...[route('mixed', 0), route('mixed', 2), route('mixed', 7)],
  ];
  const account = {name: 'a', keyDigests: [], priority: 0};
  const other = {name: 'b', keyDigests: []};
  const accounts = [account, other];
  const routing = {routes, accounts} as unknown as Routing;
  const priorities = createRequestPriorities({routing: () => routing});
  assert.equal(priorities.ofRequest('equal', routes[0], account), undefined);
  assert.equal(priorities.forEngine('equal', undefined), undefined);
  // All requests of the urgent account come before those of the other.
  const levels = [account, other].flatMap(each =>
    routes.slice(2).map(of => priorities.ofRequest('mixed', of, each)),
  );
  assert.deepEqual(levels, [0, 1, 2, 0, 3, undefined]);
  const sent = levels.map(each => priorities.forEngine('mixed', each));
  assert.deepEqual(sent, [1, 2, 3, 1, 4, 5]);
});

test('a begun stream that is served first puts no new stream behind those of peers', () => {
  // Guards against new streams that wait for requests of peers that come after
  // them, as the begun stream does.
  const {queue, state, add} = makeQueue();
  const need = makeNeed(1_000);
  const late = (onTimeUntilMs: number) => ({...need.waiting, onTimeUntilMs});
  add();
  queue.add({...need, version: 'v1', waiting: late(950)}, 0);
  state.atPeers = [late(900)];
  state.hasRoom = true;
  assert.equal(queue.process(10).length, 2);
});
