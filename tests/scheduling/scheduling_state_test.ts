import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createEngineReservations} from '../../src/core/scheduling/engine_reservations.js';
import {
  createEngineHealth,
  DEFAULT_HEALTH,
} from '../../src/core/scheduling/engine_health.js';
import {createLinkSchedule} from '../../src/core/scheduling/link_schedule.js';
import {
  createPrefixIndex,
  samplePrefixes,
} from '../../src/core/scheduling/prefix_index.js';
import {
  createWaitQueue,
  type QueueItem,
} from '../../src/core/scheduling/wait_queue.js';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import type {Grant} from '../../src/ports/grants.js';
import {createDispatcher} from '../../src/scheduling/dispatcher.js';

const SEED = 20261202;
const KV_BYTES = 10_000;
const SLOTS = 4;

test('no order of events makes a home reserve more than an engine has', () => {
  // With too many reservations, engines refuse imports after the prefill was
  // computed. Requests, progress, ends, expiry and the loss of entries come in
  // random order.
  const step = fc.record({
    what: fc.constantFrom('ask', 'done', 'start', 'end', 'entry', 'wait'),
    pick: fc.nat(50),
    tokens: fc.integer({min: 1, max: 400}),
  });
  const property = fc.property(fc.array(step, {maxLength: 80}), steps => {
    const clock = createVirtualClock();
    const dispatcher = createDispatcher(
      {clock, random: createSeededRandom(1)},
      {
        shardId: 's',
        homeEpoch: 1,
        service: 'brief-llm',
        targets: {ttftMs: 5_000, tokenIntervalMs: 60, waitMs: 60_000},
        wasteWeight: 0.2,
        maxQueued: 20,
        initialEstimates: {kvBytesPerToken: 10},
      },
    );
    dispatcher.setEngines(
      ['p1', 'd1', 'd2'].map(engineId => ({
        engineId,
        address: engineId,
        role: engineId === 'p1' ? ('prefill' as const) : ('decode' as const),
        failureDomain: 'bp-csepel',
        models: [],
        slots: SLOTS,
        kvBytes: KV_BYTES,
        linkBytesPerMs: 1_000,
      })),
    );
    const grants: Grant[] = [];
    let asked = 0;
    let answered = 0;
    steps.forEach(({what, pick, tokens}, i) => {
      const grant = grants[pick % Math.max(1, grants.length)];
      if (what === 'ask') {
        asked++;
        dispatcher.ask(
          {
            owner: {
              entry: `e${pick % 3}#1`,
              requestId: `${i}`,
              attemptId: `${i}`,
            },
            service: 'brief-llm',
            account: `account-${pick % 4}`,
            requestClass: 'interactive',
            promptTokenCount: tokens,
            maxTokens: tokens,
            prefixHashes: [],
            ttftLeftMs: 5_000,
            waitLeftMs: 60_000,
            resumeOffset: 0,
          },
          outcome => {
            answered++;
            if (outcome.kind === 'granted') grants.push(outcome);
          },
        );
      } else if (what === 'entry') {
        dispatcher.releaseEntry(`e${pick % 3}#1`);
      } else if (what === 'wait') {
        clock.advanceSync(tokens * 10);
      } else if (grant && what === 'done') {
        dispatcher.report(grant.grantId, {
          kind: 'prefill-done',
          kvSizeBytes: 10,
          cachedTokens: 0,
        });
      } else if (grant && what === 'start') {
        dispatcher.report(grant.grantId, {kind: 'decode-started'});
      } else if (grant) {
        dispatcher.report(grant.grantId, {
          kind: 'ended',
          result: 'whole',
          tokensDelivered: tokens,
          prefillWasted: false,
        });
      }
      for (const book of dispatcher.engineUsage()) {
        assert.ok(book.usedSlots <= SLOTS);
        assert.ok(book.usedKvBytes <= KV_BYTES);
      }
      assert.equal(asked - answered, dispatcher.summary().queued);
    });
    dispatcher.stop();
    assert.equal(asked, answered);
  });
  fc.assert(property, {seed: SEED, numRuns: 150});
});

test('the work ahead in the queue equals a plain sum', () => {
  const item = fc.record({
    account: fc.constantFrom('a', 'b'),
    orderMs: fc.integer({min: 0, max: 100_000}),
    prefillMs: fc.integer({min: 1, max: 100}),
    kvBytes: fc.integer({min: 1, max: 100}),
  });
  const property = fc.property(
    fc.array(item, {minLength: 1, maxLength: 60}),
    fc.nat(100_000),
    (items, atMs) => {
      const queue = createWaitQueue<QueueItem>();
      for (const each of items) queue.add(each);
      for (const each of items.slice(1).filter((_, i) => i % 3 === 0)) {
        assert.ok(queue.remove(each));
      }
      const left = queue.items();
      const sorted = [...left].sort((a, b) => a.orderMs - b.orderMs);
      assert.deepEqual(
        left.map(each => each.orderMs),
        sorted.map(each => each.orderMs),
      );
      const {count} = queue.workBefore(atMs);
      const binMs = 64;
      const within = (edgeMs: number) =>
        left.filter(each => each.orderMs <= edgeMs).length;
      assert.ok(count >= within(atMs));
      assert.ok(count <= within(atMs + binMs));
    },
  );
  fc.assert(property, {seed: SEED, numRuns: 150});
});

test('a short transfer fills the gap before a long one', () => {
  const link = createLinkSchedule();
  link.book('long', 100, 50);
  assert.equal(link.earliestStartMs(0, 40), 0);
  assert.equal(link.earliestStartMs(80, 40), 150);
  link.release('long');
  assert.equal(link.earliestStartMs(80, 40), 80);
});

test('use by others is computed correctly from a lagging load report', () => {
  // A report that is a second old still includes requests that have just ended.
  // Counted as use by others, they would needlessly reduce the free slots.
  const book = createEngineReservations(SLOTS, KV_BYTES);
  book.reserve('g1', 1_000, 0);
  book.release('g1');
  const report = {
    engineId: 'd1',
    role: 'decode' as const,
    models: [],
    slotsTotal: SLOTS,
    kvTotalBytes: KV_BYTES,
    queuedTokens: 0,
    leaving: false,
  };
  book.reconcile(
    {...report, sequence: 1, slotsUsed: 1, kvUsedBytes: 1_000},
    900,
  );
  assert.equal(book.freeSlots(), SLOTS);
  book.reconcile(
    {...report, sequence: 2, slotsUsed: 3, kvUsedBytes: 3_000},
    950,
  );
  assert.equal(book.freeSlots(), SLOTS - 2);
  const isNew = book.reconcile(
    {...report, sequence: 1, slotsUsed: 0, kvUsedBytes: 0},
    960,
  );
  assert.equal(isNew, false);
  assert.equal(book.freeSlots(), SLOTS - 2);
});

test('a slow engine is ejected, retried, and used again after recovery', () => {
  // An engine becomes five times slower without reporting an error. It must get
  // no requests until it has recovered, and then soon get them again.
  const health = createEngineHealth(DEFAULT_HEALTH);
  for (const engineId of ['a', 'b', 'c']) health.add(engineId, 'd', 0, true);
  for (let ms = 100; ms <= 500; ms += 100) {
    health.sample('a', 50, ms);
    health.sample('b', 50, ms);
    health.sample('c', 250, ms);
  }
  assert.equal(health.share('c', 500), 0);
  assert.ok(health.share('c', 2_500) > 0);
  health.recordUse('c', 2_500);
  assert.equal(health.share('c', 2_600), 0);
  health.sample('c', 50, 2_700);
  assert.ok(health.share('c', 2_700) > 0);
  assert.equal(health.share('c', 6_000), 1);
});

test('the prefix index corrects for lost events and stays bounded', () => {
  const index = createPrefixIndex(16);
  const hashes = Array.from({length: 12}, (_, i) => `block-${i}`);
  const sampled = samplePrefixes(hashes);
  index.recordComputed('p1', sampled);
  const before = index.expectedCachedTokens('p1', sampled, 64);
  assert.ok(before > 0.8 * 12 * 64);
  for (let i = 0; i < 10; i++) index.learn('p1', before, 0);
  assert.ok(index.expectedCachedTokens('p1', sampled, 64) < 0.5 * before);
  for (let i = 0; i < 100; i++) index.recordComputed('p1', [`other-${i}`]);
  assert.equal(index.entryCount(), 16);
  assert.equal(index.expectedCachedTokens('p1', sampled, 64), 0);
});
