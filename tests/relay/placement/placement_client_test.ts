import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import type {
  PlacementOutcome,
  StreamNeed,
} from '../../../src/relay/placement/engine_scheduler.js';
import {createPlacementClient} from '../../../src/relay/placement/placement_client.js';
import {createPlacementDesk} from '../../../src/relay/placement/placement_desk.js';
import type {PlacementMessage} from '../../../src/relay/placement/placement_messages.js';
import {silentLog} from '../../support/silent_log.js';
import {makeEngine, makeLoneScheduler, makeService} from './lone_scheduler.js';
import {revisionAt} from '../../support/store_revisions.js';

const service = makeService(10_000);

const MESSAGE_MS = 3;

/** An entry and two placers whose messages take 3 ms or are lost. */
function makeGroup(engineIds: readonly string[] = ['p1', 'd1']) {
  const clock = createVirtualClock(1_000);
  const silent = new Set<string>();
  const sent: Array<{from: string; to: string; kind: string}> = [];
  let lostAnswers = 0;

  function makeHost(hostId: string) {
    const {registry, books, learning, scheduler} = makeLoneScheduler(
      clock,
      engineIds,
    );
    const tell = (to: string, message: PlacementMessage) =>
      deliver(hostId, to, message);
    const client = createPlacementClient({
      clock,
      log: silentLog,
      hostId,
      firstAskId: 100,
      scheduler,
      registry,
      placers: () => ['first', 'standby'],
      tell,
    });
    const desk = createPlacementDesk({
      clock,
      scheduler,
      learning,
      findService: () => service,
      tell,
    });
    return {hostId, registry, books, scheduler, client, desk};
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
    clock.setTimer(MESSAGE_MS, () => {
      const host = hosts.find(each => each.hostId === to);
      if (message.kind === 'ask' || message.kind === 'withdraw') {
        host?.desk.receive(from, message);
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

/** What a promise has come to so far. */
function watch(promise: Promise<PlacementOutcome>) {
  const state: {outcome?: PlacementOutcome} = {};
  void promise.then(outcome => {
    state.outcome = outcome;
  });
  return state;
}

const kindOf = ({outcome}: {readonly outcome?: PlacementOutcome}) =>
  outcome?.kind;

test('the placer chooses, the entry books, and the room counts once', async () => {
  const {clock, entry, first} = makeGroup();
  const need = makeNeed(clock.nowMs());
  const asked = watch(entry.client.place(need, createCancellation()));
  await clock.advance(10);
  assert.equal(asked.outcome?.kind, 'placed');
  assert.equal(entry.books.decodeLoad('d1').runs, 1);
  // Until the entry's announcement comes, the placer holds the room itself.
  assert.equal(first.books.decodeLoad('d1').runs, 1);
  first.books.setPeer('entry', entry.books.own());
  first.desk.adopted('entry', entry.client.adopted());
  assert.equal(first.books.decodeLoad('d1').runs, 1);
});

test('a lost answer is given again, for the same engines', async () => {
  const {clock, entry, first, loseAnswers} = makeGroup();
  loseAnswers(1);
  const need = makeNeed(clock.nowMs());
  const asked = watch(entry.client.place(need, createCancellation()));
  await clock.advance(100);
  assert.equal(asked.outcome?.kind, 'placed');
  assert.equal(first.books.decodeLoad('d1').runs, 1);
});

test('a placer that is frozen is passed over for its standby', async () => {
  // Streams start seconds late: the host that places for all froze, and the
  // others notice only after three of its repeats.
  const {clock, entry, silent, sent} = makeGroup();
  silent.add('first');
  const need = makeNeed(clock.nowMs());
  const asked = watch(entry.client.place(need, createCancellation()));
  await clock.advance(400);
  assert.equal(asked.outcome?.kind, 'placed');
  // The next stream does not wait for it again.
  sent.length = 0;
  void entry.client.place(makeNeed(clock.nowMs()), createCancellation());
  assert.equal(sent[0].to, 'standby');
});

test('an engine that leaves is not used on the word of a placer', async () => {
  // Prompts reach an engine that leaves, from a host that knows it: the host
  // that places for all has an older list.
  const {clock, entry} = makeGroup(['p1', 'p2', 'd1']);
  for (const leaving of ['p1', 'p2']) {
    const upstreams = ['p1', 'p2', 'd1'].map(id => ({
      ...makeEngine(id),
      isDraining: id === leaving,
    }));
    entry.registry.apply({revision: revisionAt(2), upstreams});
    const need = makeNeed(clock.nowMs());
    const asked = watch(entry.client.place(need, createCancellation()));
    await clock.advance(900);
    const {outcome} = asked;
    assert.ok(outcome?.kind === 'placed');
    assert.notEqual(outcome.prefill?.id, leaving);
    outcome.prefillBooking.end();
    entry.scheduler.release(outcome.run);
    await clock.advance(1_100);
  }
});

test('with no placer that answers the entry decides by itself', async () => {
  const {clock, entry, silent} = makeGroup();
  silent.add('first').add('standby');
  const need = makeNeed(clock.nowMs());
  const asked = watch(entry.client.place(need, createCancellation()));
  await clock.advance(700);
  assert.equal(asked.outcome?.kind, 'placed');
});

test('one that waits at the placer gets the room that another frees', async () => {
  const {clock, entry, first} = makeGroup();
  const run = first.books.startRun({
    engineId: 'd1',
    promptTokens: 8_000,
    expectedOutputTokens: 500,
  });
  const need = makeNeed(clock.nowMs());
  const asked = watch(entry.client.place(need, createCancellation()));
  await clock.advance(1_200);
  assert.equal(kindOf(asked), undefined);
  first.scheduler.release(run);
  await clock.advance(20);
  assert.equal(asked.outcome?.kind, 'placed');
});

test('a placer that dies with a queue is no end for those who wait in it', async () => {
  const {clock, entry, first, silent} = makeGroup();
  first.books.startRun({
    engineId: 'd1',
    promptTokens: 8_000,
    expectedOutputTokens: 500,
  });
  const need = makeNeed(clock.nowMs());
  const asked = watch(entry.client.place(need, createCancellation()));
  await clock.advance(400);
  silent.add('first');
  await clock.advance(900);
  assert.equal(asked.outcome?.kind, 'placed');
});

test('a caller that leaves takes its request out of the placer’s queue', async () => {
  const {clock, entry, first} = makeGroup();
  first.books.startRun({
    engineId: 'd1',
    promptTokens: 8_000,
    expectedOutputTokens: 500,
  });
  const cancellation = createCancellation();
  const need = makeNeed(clock.nowMs());
  const asked = watch(entry.client.place(need, cancellation));
  await clock.advance(100);
  assert.equal(first.scheduler.announcements().length, 1);
  cancellation.cancel();
  await clock.advance(20);
  assert.equal(asked.outcome?.kind, 'cancelled');
  assert.equal(first.scheduler.announcements().length, 0);
});

test('room that was given to an entry that died is free again', async () => {
  const {clock, entry, first} = makeGroup();
  void entry.client.place(makeNeed(clock.nowMs()), createCancellation());
  await clock.advance(10);
  assert.equal(first.books.decodeLoad('d1').runs, 1);
  await clock.advance(1_100);
  assert.equal(first.books.decodeLoad('d1').runs, 0);
});
