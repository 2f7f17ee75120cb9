import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createShortLease} from '../../src/coordination/short_lease.js';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import type {TablePort, TableRow, WriteOutcome} from '../../src/ports/table.js';
import {silentLog} from '../support/silent_log.js';

/** A table whose answers to writes can be lost. */
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
    /** Restores an older copy, so that versions are reused. */
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
  /** Time that the hosts' monotonic clocks have not counted. */
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

test('a second host waits a whole lease duration and gets a higher fence', async () => {
  // Guards against a second host that acquires the lease while orders of the
  // first are still in flight.
  const {clock, a, b} = makeHosts();
  const first = await a.acquire();
  assert.equal(first?.fence.epoch, 1);
  assert.equal(await b.acquire(), undefined);
  await clock.advance(2_900);
  assert.equal(await b.acquire(), undefined);
  // The first host's last order may be sent 0.9 s after its acquisition and
  // arrive 0.8 s later; a whole lease duration must follow.
  await clock.advance(1_700);
  assert.equal(await b.acquire(), undefined);
  await clock.advance(200);
  const second = await b.acquire();
  assert.equal(second?.fence.epoch, 2);
  assert.equal(await a.acquire(), undefined);
});

test('the holder can acquire it again at once, with a new fence', async () => {
  const {a} = makeHosts();
  assert.equal((await a.acquire())?.fence.epoch, 1);
  assert.equal((await a.acquire())?.fence.epoch, 2);
});

test('a term ends after the use time', async () => {
  const {clock, a} = makeHosts();
  const term = await a.acquire();
  assert.ok(term);
  assert.equal(term.untilMs, clock.nowMs() + 900);
});

test('an acquisition whose answer was lost is detected by read-back', async () => {
  const {store, a, b} = makeHosts();
  store.loseAnswers();
  assert.equal((await a.acquire())?.fence.epoch, 1);
  assert.equal(await b.acquire(), undefined);
});

test("a term expires by the table's clock after a suspension", async () => {
  // Guards against an order sent after the term by a host that was suspended
  // for 2 s, since its monotonic clock stops during a suspension.
  const {a, suspend} = makeHosts();
  const term = await a.acquire();
  assert.ok(term);
  assert.equal(await a.confirm(term), 'valid');
  suspend(2_000);
  assert.equal(await a.confirm(term), 'expired');
});

test('a wall clock step does not hide a suspension or end a term', async () => {
  // A wall clock step on a running host must not block its orders. A step back
  // by the length of a suspension hides it from the wall clock, but not from
  // the table's clock.
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

test('a suspension during the read is detected by the wall clock', async () => {
  // The answer was unread while the host was suspended, so the table's clock
  // in it is from before the suspension.
  const {store, a, suspend} = makeHosts();
  const term = await a.acquire();
  assert.ok(term);
  store.whileReading(() => suspend(1_000));
  assert.equal(await a.confirm(term), 'suspended');
  store.whileReading(() => undefined);
});

test('a term is lost after another host has acquired the lease', async () => {
  const {clock, a, b} = makeHosts();
  const term = await a.acquire();
  assert.ok(term);
  assert.equal(await b.acquire(), undefined);
  await clock.advance(4_800);
  assert.ok(await b.acquire());
  assert.equal(await a.confirm(term), 'lost');
});

/** Time from an acquisition until another host may acquire the lease. */
const TAKEOVER_MS = 4_800;

test('a lease missing from a restored table cannot be acquired at once', async () => {
  // Guards against two hosts that send orders at the same time.
  const {clock, store, a, b} = makeHosts();
  const empty = store.copy();
  assert.ok(await a.acquire());
  store.restore(empty);
  assert.equal(await b.acquire(), undefined);
  await clock.advance(TAKEOVER_MS - 300);
  assert.equal(await b.acquire(), undefined);
  await clock.advance(300);
  assert.ok(await b.acquire());
});

test('a host cannot reacquire by its own older row after a restore', async () => {
  // Guards against two holders if the older copy names a former holder.
  const {clock, store, a, b} = makeHosts();
  assert.ok(await b.acquire());
  const copy = store.copy();
  await a.acquire();
  await clock.advance(TAKEOVER_MS);
  assert.ok(await a.acquire());
  store.restore(copy);
  assert.equal(await b.acquire(), undefined);
  await clock.advance(TAKEOVER_MS);
  assert.ok(await b.acquire());
});

test('a term is lost after the table was restored from an older copy', async () => {
  // Guards against orders under a lease that other hosts cannot see.
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

test('fences increase after the table was restored from an older copy', async () => {
  // Guards against engines that reject all orders because of a higher fence.
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
  await clock.advance(TAKEOVER_MS);
  const next = (await a.acquire())?.fence.epoch ?? 0;
  assert.ok(next > highest, `${next}`);
  assert.equal((await a.acquire())?.fence.epoch, next + 1);
});
