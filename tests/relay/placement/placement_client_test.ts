import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import type {
  PlacementOutcome,
  StreamNeed,
} from '../../../src/relay/placement/placement_types.js';
import {createPlacementClient} from '../../../src/relay/placement/placement_client.js';
import {createPlacementServer} from '../../../src/relay/placement/placement_server.js';
import type {PlacementMessage} from '../../../src/relay/placement/placement_messages.js';
import {silentLog} from '../../support/silent_log.js';
import {createFreezableClock} from '../fleet/fleet_network.js';
import {makeEngine, makeLoneScheduler, makeService} from './lone_scheduler.js';
import {revisionAt} from '../../support/store_revisions.js';

const service = makeService(10_000);

const MESSAGE_MS = 3;

/** A requesting host and two placers; messages take 3 ms or are lost. */
function makeGroup(engineIds: readonly string[] = ['p1', 'd1']) {
  const clock = createVirtualClock(1_000);
  const entryClock = createFreezableClock(clock);
  const silent = new Set<string>();
  const sent: Array<{from: string; to: string; kind: string}> = [];
  let lostAnswers = 0;

  function makeHost(hostId: string) {
    const {registry, engineLoads, statistics, scheduler} = makeLoneScheduler(
      clock,
      engineIds,
    );
    const send = (to: string, message: PlacementMessage) =>
      deliver(hostId, to, message);
    const client = createPlacementClient({
      clock: hostId === 'entry' ? entryClock.host : clock,
      log: silentLog,
      hostId,
      firstAskId: 100,
      scheduler,
      registry,
      placers: () => ['first', 'standby'],
      send,
    });
    const server = createPlacementServer({
      clock,
      scheduler,
      statistics,
      findService: () => service,
      send,
    });
    return {hostId, registry, engineLoads, scheduler, client, server};
  }

  const hosts = ['entry', 'first', 'standby'].map(makeHost);
  const [entry, first, standby] = hosts;

  function deliver(from: string, to: string, message: PlacementMessage): void {
    sent.push({from, to, kind: message.kind});
    if (silent.has(from) || silent.has(to)) return;
    if (message.kind === 'placed' && lostAnswers > 0) {
      lostAnswers--;
      return;
    }
    clock.setTimer(MESSAGE_MS, function receive() {
      if (to === 'entry' && entryClock.isStopped()) {
        clock.setTimer(1, receive);
        return;
      }
      const host = hosts.find(each => each.hostId === to);
      if (message.kind === 'ask' || message.kind === 'withdraw') {
        host?.server.receive(from, message);
      } else {
        host?.client.receive(from, message);
      }
    });
  }

  return {
    clock,
    entry,
    first,
    standby,
    silent,
    sent,
    suspendEntry: entryClock.stop,
    loseAnswers(count: number) {
      lostAnswers = count;
    },
  };
}

function makeNeed(nowMs: number): StreamNeed {
  return {
    requestId: 'r',
    service,
    promptTokens: 6_000,
    expectedOutputTokens: 1_000,
    startMs: 250,
    waiting: {
      arrivedAtMs: nowMs,
      onTimeUntilMs: nowMs + 600,
      giveUpAtMs: nowMs + 3_000,
    },
    callerLeftMs: 14_000,
  };
}

/** Exposes the outcome of a promise once it has settled. */
function watch(promise: Promise<PlacementOutcome>) {
  const state: {outcome?: PlacementOutcome} = {};
  void promise.then(outcome => {
    state.outcome = outcome;
  });
  return state;
}

const kindOf = ({outcome}: {readonly outcome?: PlacementOutcome}) =>
  outcome?.kind;

test('a placement counts once in the load of placer and requesting host', async () => {
  const {clock, entry, first} = makeGroup();
  const need = makeNeed(clock.nowMs());
  const request = watch(entry.client.place(need, createCancellation()));
  await clock.advance(10);
  assert.equal(request.outcome?.kind, 'placed');
  assert.equal(entry.engineLoads.decodeLoad('d1').runs, 1);
  // Until the requesting host announces the run, the placer counts it in its
  // own load.
  assert.equal(first.engineLoads.decodeLoad('d1').runs, 1);
  first.engineLoads.setPeerLoad('entry', entry.engineLoads.ownLoad());
  first.server.releaseAdopted('entry', entry.client.adoptedAskIds());
  assert.equal(first.engineLoads.decodeLoad('d1').runs, 1);
});

test('a lost answer is repeated with the same engines', async () => {
  const {clock, entry, first, loseAnswers} = makeGroup();
  loseAnswers(1);
  const need = makeNeed(clock.nowMs());
  const request = watch(entry.client.place(need, createCancellation()));
  await clock.advance(100);
  assert.equal(request.outcome?.kind, 'placed');
  assert.equal(first.engineLoads.decodeLoad('d1').runs, 1);
});

test('a frozen placer is skipped and its standby is asked', async () => {
  // Guards against streams that start seconds late because the placer froze:
  // its peers notice only after three missed announcements.
  const {clock, entry, silent, sent} = makeGroup();
  silent.add('first');
  const need = makeNeed(clock.nowMs());
  const request = watch(entry.client.place(need, createCancellation()));
  await clock.advance(400);
  assert.equal(request.outcome?.kind, 'placed');
  // The next stream skips the silent placer.
  sent.length = 0;
  void entry.client.place(makeNeed(clock.nowMs()), createCancellation());
  assert.equal(sent[0].to, 'standby');
});

test('an engine that is leaving is not used even if the placer chooses it', async () => {
  // Guards against prompts sent to an engine that is leaving, by a host that
  // knows it, because the placer has an older list.
  const {clock, entry} = makeGroup(['p1', 'p2', 'd1']);
  for (const leaving of ['p1', 'p2']) {
    const upstreams = ['p1', 'p2', 'd1'].map(id => ({
      ...makeEngine(id),
      isDraining: id === leaving,
    }));
    entry.registry.apply({revision: revisionAt(2), upstreams});
    const need = makeNeed(clock.nowMs());
    const request = watch(entry.client.place(need, createCancellation()));
    await clock.advance(900);
    const {outcome} = request;
    assert.ok(outcome?.kind === 'placed');
    assert.notEqual(outcome.prefill?.id, leaving);
    outcome.prefillReservation.end();
    entry.scheduler.release(outcome.run);
    await clock.advance(1_100);
  }
});

test('a host decides by itself when no placer answers', async () => {
  const {clock, entry, silent} = makeGroup();
  silent.add('first').add('standby');
  const need = makeNeed(clock.nowMs());
  const request = watch(entry.client.place(need, createCancellation()));
  await clock.advance(700);
  assert.equal(request.outcome?.kind, 'placed');
});

test('a request that waits at the placer gets the room that another frees', async () => {
  const {clock, entry, first} = makeGroup();
  const run = first.engineLoads.startRun({
    engineId: 'd1',
    promptTokens: 8_000,
    expectedOutputTokens: 500,
  });
  const need = makeNeed(clock.nowMs());
  const request = watch(entry.client.place(need, createCancellation()));
  await clock.advance(1_200);
  assert.equal(kindOf(request), undefined);
  first.scheduler.release(run);
  await clock.advance(20);
  assert.equal(request.outcome?.kind, 'placed');
});

test('requests in the queue of a placer that dies are placed elsewhere', async () => {
  const {clock, entry, first, silent} = makeGroup();
  first.engineLoads.startRun({
    engineId: 'd1',
    promptTokens: 8_000,
    expectedOutputTokens: 500,
  });
  const need = makeNeed(clock.nowMs());
  const request = watch(entry.client.place(need, createCancellation()));
  await clock.advance(400);
  silent.add('first');
  await clock.advance(900);
  assert.equal(request.outcome?.kind, 'placed');
});

test('the standby orders requests of a dead placer by age and priority', async () => {
  // Guards against urgent requests that lose their place when the placer dies.
  const {clock, entry, first, standby, silent} = makeGroup();
  const load = {engineId: 'd1', promptTokens: 8_000, expectedOutputTokens: 500};
  for (const {engineLoads} of [first, standby]) engineLoads.startRun(load);
  const need = makeNeed(clock.nowMs());
  const waiting = {...need.waiting, priority: 0};
  const urgent = {...need, waiting, promptTokens: 3_000};
  void entry.client.place(urgent, createCancellation());
  await clock.advance(400);
  silent.add('first');
  await clock.advance(700);
  const [moved] = standby.scheduler.waitingRequests();
  assert.equal(moved.waiting.priority, 0);
  assert.ok(Math.abs(moved.waiting.arrivedAtMs - need.waiting.arrivedAtMs) < 5);
  const counts = {scheduledRetries: 0, earlyRefusals: 0};
  assert.deepEqual(standby.scheduler.queueCounts(), counts);
});

test('invalid fields of a request cost it its priority and nothing else', async () => {
  // Guards against requests that are lost because another build fills in the
  // new fields otherwise; a host of the older build sends none.
  const {clock, entry, first, sent} = makeGroup();
  const {promptTokens, expectedOutputTokens, startMs, callerLeftMs} = makeNeed(
    clock.nowMs(),
  );
  first.server.receive('entry', {
    ...{kind: 'ask', askId: 7, requestId: 'r', service: service.name},
    ...{promptTokens, expectedOutputTokens, startMs, callerLeftMs},
    ...{ageMs: 0, onTimeMs: 600, giveUpMs: 3_000},
    ...{priority: 'high' as unknown as number, account: 5 as unknown as string},
  });
  await clock.advance(10);
  assert.ok(sent.some(({kind, to}) => kind === 'placed' && to === 'entry'));
  assert.equal(entry.scheduler.waitingRequests().length, 0);
});

test('a caller that leaves takes its request out of the placer’s queue', async () => {
  const {clock, entry, first} = makeGroup();
  first.engineLoads.startRun({
    engineId: 'd1',
    promptTokens: 8_000,
    expectedOutputTokens: 500,
  });
  const cancellation = createCancellation();
  const need = makeNeed(clock.nowMs());
  const request = watch(entry.client.place(need, cancellation));
  await clock.advance(100);
  assert.equal(first.scheduler.waitingRequests().length, 1);
  cancellation.cancel();
  await clock.advance(20);
  assert.equal(request.outcome?.kind, 'cancelled');
  assert.equal(first.scheduler.waitingRequests().length, 0);
});

test('room reserved for a host that died is freed', async () => {
  const {clock, entry, first} = makeGroup();
  void entry.client.place(makeNeed(clock.nowMs()), createCancellation());
  await clock.advance(10);
  assert.equal(first.engineLoads.decodeLoad('d1').runs, 1);
  await clock.advance(1_100);
  assert.equal(first.engineLoads.decodeLoad('d1').runs, 0);
});

test('a request of a host that was suspected is not refused by its placer', async () => {
  // Guards against callers that are refused because their host was silent for
  // a moment, though it went on and the request had time left.
  const {clock, entry, first} = makeGroup();
  const run = first.engineLoads.startRun({
    engineId: 'd1',
    promptTokens: 8_000,
    expectedOutputTokens: 500,
  });
  const need = makeNeed(clock.nowMs());
  const request = watch(entry.client.place(need, createCancellation()));
  await clock.advance(100);
  first.server.forget('entry');
  await clock.advance(100);
  assert.equal(kindOf(request), undefined);
  await clock.advance(400);
  assert.equal(first.scheduler.waitingRequests().length, 1);
  first.scheduler.release(run);
  await clock.advance(20);
  assert.equal(kindOf(request), 'placed');
});

test('a host that was suspended takes the answers that arrived meanwhile', async () => {
  // Guards against streams placed by old data, and placers passed over, since
  // the asking host did not run.
  for (const suspendedAtMs of [1, 200]) {
    const {clock, entry, sent, suspendEntry, loseAnswers} = makeGroup();
    if (suspendedAtMs > 1) loseAnswers(2);
    const need = makeNeed(clock.nowMs());
    const request = watch(entry.client.place(need, createCancellation()));
    await clock.advance(suspendedAtMs);
    suspendEntry(700);
    await clock.advance(900);
    assert.equal(kindOf(request), 'placed');
    const others = sent.filter(
      ({to, kind}) => to !== 'first' && kind === 'ask',
    );
    assert.deepEqual(others, [], `suspended at ${suspendedAtMs} ms`);
  }
});
