import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createShortLease} from '../../src/coordination/short_lease.js';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import type {TablePort, TableRow, WriteOutcome} from '../../src/ports/table.js';
import {silentLog} from '../support/silent_log.js';

/** One table, whose answers to writes can be lost. */
function makeTable(tableNowMs: () => number) {
  const rows = new Map<string, TableRow>();
  let version = 10;
  let era = 0;
  let losesAnswers = false;
  let whileReading = () => undefined as void;
  const table: TablePort = {
    read(keys) {
      const outcome = {
        kind: 'read',
        value: keys.flatMap(key => rows.get(key) ?? []),
        tableNowMs: tableNowMs(),
        tableEra: era,
      } as const;
      whileReading();
      return Promise.resolve(outcome);
    },
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
        losesAnswers
          ? {kind: 'unknown', reason: 'lost'}
          : {kind: 'applied', tableNowMs: tableNowMs(), tableEra: era},
      );
    },
  };
  return {
    table,
    copy: () => ({rows: new Map(rows), version}),
    /** Comes back from an older copy; its numbers are given out again. */
    restore(copy: {rows: Map<string, TableRow>; version: number}) {
      rows.clear();
      for (const [key, row] of copy.rows) rows.set(key, row);
      version = copy.version;
      era++;
    },
    loseAnswers() {
      losesAnswers = true;
    },
    whileReading(action: () => void) {
      whileReading = action;
    },
  };
}

function makeHosts() {
  const steady = createVirtualClock(1_000);
  /** What the hosts' steady clocks have not counted. */
  let suspendedMs = 0;
  let steppedMs = 0;
  const clock = {
    ...steady,
    wallMs: () => steady.nowMs() + suspendedMs + steppedMs,
  };
  const store = makeTable(() => steady.nowMs() + suspendedMs);
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
        settleMs: 800,
        callTimeoutMs: 500,
      },
    );
  return {
    clock,
    store,
    a: lease('a', 1),
    b: lease('b', 2),
    suspend: (durationMs: number) => void (suspendedMs += durationMs),
    step: (byMs: number) => void (steppedMs += byMs),
  };
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
  // The first's last order may have been sent 0.9 s after its take and have
  // arrived 0.8 s later; a whole lease lies between that and the second's.
  await clock.advance(1_700);
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

test("a term ends by the store's clock where the holder was suspended", async () => {
  // A host is suspended for 2 s with a lease in its hands. Its steady clock
  // stood still, so it goes on to give an order that is no longer its right.
  const {a, suspend} = makeHosts();
  const term = await a.acquire();
  assert.ok(term);
  assert.equal(await a.confirm(term), 'valid');
  suspend(2_000);
  assert.equal(await a.confirm(term), 'expired');
});

test('a step of the time of day hides no suspension and ends no term', async () => {
  // The time of day jumps by seconds either way on a host that runs on: its
  // orders must go out. Where it jumps back by just as much as the host was
  // suspended, the time of day shows nothing; the store's clock does.
  const {a, step, suspend} = makeHosts();
  const term = await a.acquire();
  assert.ok(term);
  step(4_000);
  assert.equal(await a.confirm(term), 'valid');
  step(-9_000);
  assert.equal(await a.confirm(term), 'valid');
  suspend(2_000);
  step(-2_000);
  assert.equal(await a.confirm(term), 'expired');
});

test('a suspension while the store answers is seen by the time of day', async () => {
  // The store answered in time, but the answer lay unread while the host was
  // suspended: the store's clock in it is from before.
  const {store, a, suspend} = makeHosts();
  const term = await a.acquire();
  assert.ok(term);
  store.whileReading(() => suspend(1_000));
  assert.equal(await a.confirm(term), 'suspended');
  store.whileReading(() => undefined);
});

test('a term that another host has taken over is lost', async () => {
  const {clock, a, b} = makeHosts();
  const term = await a.acquire();
  assert.ok(term);
  assert.equal(await b.acquire(), undefined);
  await clock.advance(4_800);
  assert.ok(await b.acquire());
  assert.equal(await a.confirm(term), 'lost');
});

/** From the first act of a holder until another host may act. */
const TURN_MS = 4_800;

test('a lease that the table lost is not taken while its holder may act', async () => {
  // Guards against two hosts that give orders at once.
  const {clock, store, a, b} = makeHosts();
  const empty = store.copy();
  assert.ok(await a.acquire());
  store.restore(empty);
  assert.equal(await b.acquire(), undefined);
  await clock.advance(TURN_MS - 300);
  assert.equal(await b.acquire(), undefined);
  await clock.advance(300);
  assert.ok(await b.acquire());
});

test('an older row of its own does not let a host take what another has', async () => {
  // Guards against a host that was the last holder as of the older copy.
  const {clock, store, a, b} = makeHosts();
  assert.ok(await b.acquire());
  const copy = store.copy();
  await a.acquire();
  await clock.advance(TURN_MS);
  assert.ok(await a.acquire());
  store.restore(copy);
  assert.equal(await b.acquire(), undefined);
  await clock.advance(TURN_MS);
  assert.ok(await b.acquire());
});

test('a holder stops where the table comes back from an older copy', async () => {
  // Guards against orders under a lease that nobody else can see.
  const {store, a} = makeHosts();
  const empty = store.copy();
  const term = await a.acquire();
  assert.ok(term);
  const copy = store.copy();
  store.restore(empty);
  assert.equal(await a.confirm(term), 'lost');
  store.restore(copy);
  assert.equal(await a.confirm(term), 'lost');
});

test('fences rise though the table goes back', async () => {
  // Guards against engines that refuse all orders, having seen a higher fence.
  const {clock, store, a} = makeHosts();
  assert.ok(await a.acquire());
  const copy = store.copy();
  let highest = 0;
  for (let i = 0; i < 5; i++) {
    highest = (await a.acquire())?.fence.epoch ?? 0;
  }
  assert.equal(highest, 6);
  store.restore(copy);
  await a.acquire();
  await clock.advance(TURN_MS);
  const next = (await a.acquire())?.fence.epoch ?? 0;
  assert.ok(next > highest, `${next}`);
  assert.equal((await a.acquire())?.fence.epoch, next + 1);
});
