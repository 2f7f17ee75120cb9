import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createShortLease} from '../../src/coordination/short_lease.js';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import type {TablePort, TableRow, WriteOutcome} from '../../src/ports/table.js';
import {silentLog} from '../support/silent_log.js';

/** One table, whose answers to writes can be lost. */
function makeTable() {
  const rows = new Map<string, TableRow>();
  let version = 10;
  let losesAnswers = false;
  const table: TablePort = {
    read: keys =>
      Promise.resolve({
        kind: 'read',
        value: keys.flatMap(key => rows.get(key) ?? []),
      }),
    scan: () => Promise.resolve({kind: 'failed', reason: 'not here'}),
    transact({conditions, writes}): Promise<WriteOutcome> {
      const holds = conditions.every(condition => {
        const row = rows.get(condition.key);
        if (condition.kind === 'absent') return row === undefined;
        return (
          condition.kind === 'version' && row?.version === condition.version
        );
      });
      if (!holds) return Promise.resolve({kind: 'rejected', failedKeys: []});
      version += 7;
      for (const write of writes) {
        if (write.kind !== 'put') continue;
        rows.set(write.key, {key: write.key, version, value: write.value});
      }
      return Promise.resolve(
        losesAnswers ? {kind: 'unknown', reason: 'lost'} : {kind: 'applied'},
      );
    },
  };
  return {
    table,
    loseAnswers() {
      losesAnswers = true;
    },
  };
}

function makeHosts() {
  const clock = createVirtualClock(1_000);
  const store = makeTable();
  const lease = (hostId: string, seed: number) =>
    createShortLease(
      {
        clock,
        random: createSeededRandom(seed),
        table: store.table,
        log: silentLog,
      },
      {
        hostId,
        name: 'orders',
        leaseMs: 3_000,
        clockRateError: 0.01,
        useMs: 900,
        callTimeoutMs: 500,
      },
    );
  return {clock, store, a: lease('a', 1), b: lease('b', 2)};
}

test('a second host waits a whole lease, and its fence is higher', async () => {
  // Two hosts give orders to one engine in turn: the second took the lease
  // while the first's orders were still on their way.
  const {clock, a, b} = makeHosts();
  const first = await a.acquire();
  assert.equal(first?.fence.epoch, 1);
  assert.equal(await b.acquire(), undefined);
  await clock.advance(2_900);
  assert.equal(await b.acquire(), undefined);
  await clock.advance(200);
  const second = await b.acquire();
  assert.equal(second?.fence.epoch, 2);
  assert.equal(await a.acquire(), undefined);
});

test('the holder takes it again at once, under a new fence', async () => {
  const {a} = makeHosts();
  assert.equal((await a.acquire())?.fence.epoch, 1);
  assert.equal((await a.acquire())?.fence.epoch, 2);
});

test('orders may go out in the first part of a lease only', async () => {
  const {clock, a} = makeHosts();
  const term = await a.acquire();
  assert.ok(term);
  assert.equal(term.untilMs, clock.nowMs() + 900);
});

test('a lease whose answer was lost is known by reading it back', async () => {
  const {store, a, b} = makeHosts();
  store.loseAnswers();
  assert.equal((await a.acquire())?.fence.epoch, 1);
  assert.equal(await b.acquire(), undefined);
});
