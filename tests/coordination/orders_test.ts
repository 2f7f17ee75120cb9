import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import {
  createVirtualClock,
  type VirtualClock,
} from '../../src/core/virtual_clock.js';
import {
  createSpendLimit,
  shareFairly,
} from '../../src/coordination/fair_share.js';
import {createLeaseKeeper} from '../../src/coordination/lease.js';
import {createOrderGiver} from '../../src/coordination/orders.js';
import {createTableClient} from '../../src/coordination/table_client.js';
import type {EngineOrder, OrderOutcome} from '../../src/ports/engine.js';
import {createFakeTable, type FakeTable} from './fake_table.js';

/** An engine that receives orders after `latencyMs` and runs them at once. */
function createEngine(clock: VirtualClock, checksFences: boolean) {
  const engine = {
    role: 'prefill' as 'prefill' | 'decode',
    highestFence: 0,
    fenced: 0,
    /** Fences of the orders run, in order. */
    ran: [] as number[],
    latencyMs: 5,
    async order(order: EngineOrder): Promise<OrderOutcome> {
      await new Promise<void>(resolve => {
        clock.setTimer(engine.latencyMs, resolve);
      });
      if (checksFences && order.fence < engine.highestFence) {
        engine.fenced++;
        return {kind: 'fenced', highestFence: engine.highestFence};
      }
      engine.highestFence = Math.max(engine.highestFence, order.fence);
      engine.ran.push(order.fence);
      if (order.action.kind === 'change-role') engine.role = order.action.role;
      return {kind: 'accepted'};
    },
  };
  return engine;
}

type Engine = ReturnType<typeof createEngine>;

function createOrderer(
  hostId: string,
  clock: VirtualClock,
  table: FakeTable,
  engine: Engine,
  enginesCheckFences: boolean,
) {
  const random = createSeededRandom(hostId.charCodeAt(0));
  const client = createTableClient(
    {clock, random, table},
    {
      hostCount: () => 9,
      fleetWritesPerSecond: 300,
      fleetReadsPerSecond: 2_000,
      callTimeoutMs: 300,
    },
  );
  const leases = createLeaseKeeper(
    {clock, random, table: client},
    {hostId, leaseMs: 3_000, clockRateError: 0.01},
  );
  leases.start();
  const state = {wanted: 'prefill' as 'prefill' | 'decode', sendDelayMs: 0};
  const giver = createOrderGiver(
    {
      clock,
      random,
      leases,
      desired: () => [
        {
          engineId: 'e0',
          action: {kind: 'change-role', role: state.wanted},
          costBytes: 0,
        },
      ],
      observed: () => ({
        engineId: 'e0',
        askedAtMs: clock.nowMs(),
        leaving: false,
        isDone: action =>
          action.kind === 'change-role' && action.role === engine.role,
      }),
      async order(_engineId, order) {
        // Simulates a pause of the process after its check, before the send.
        await new Promise<void>(resolve => {
          clock.setTimer(state.sendDelayMs, resolve);
        });
        return engine.order(order);
      },
      weightBytesPerSecond: () => 1,
    },
    {
      leaseName: 'orders/s',
      intervalMs: 100,
      orderTimeoutMs: 1_000,
      orderLifeMs: 1_000,
      clockRateError: 0.01,
      effectWaitMs: 2_000,
      enginesCheckFences,
    },
  );
  giver.start();
  return {giver, leases, state};
}

/** Pauses the first orderer for 10 s between its check and its send. */
async function pauseBeforeSend(checksFences: boolean): Promise<Engine> {
  const clock = createVirtualClock();
  const table = createFakeTable();
  const engine = createEngine(clock, checksFences);
  const old = createOrderer('a', clock, table, engine, checksFences);
  await clock.advance(2_000);
  old.state.sendDelayMs = 10_000;
  old.state.wanted = 'decode';
  await clock.advance(150);
  old.giver.stop();
  await old.leases.stop();
  const next = createOrderer('b', clock, table, engine, checksFences);
  next.state.wanted = 'decode';
  await clock.advance(5_000);
  next.state.wanted = 'prefill';
  await clock.advance(10_000);
  return engine;
}

// Guards against an engine in the wrong role: the first orderer is paused
// between its check and the send, so its order arrives after its successor's.
test('engines that check fences reject the order of a paused orderer', async () => {
  const engine = await pauseBeforeSend(true);
  assert.equal(engine.fenced, 1);
  assert.deepEqual(
    engine.ran,
    [...engine.ran].sort((a, b) => a - b),
  );
  assert.equal(engine.role, 'prefill');
});

// The same with an engine that ignores fences: the late order runs, and the
// successor observes the wrong role and corrects it.
test('without fence checks the late order runs and is corrected', async () => {
  const engine = await pauseBeforeSend(false);
  assert.equal(engine.fenced, 0);
  assert.notDeepEqual(
    engine.ran,
    [...engine.ran].sort((a, b) => a - b),
  );
  assert.equal(engine.role, 'prefill');
});

test('a new orderer waits for the longest validity of older orders', async () => {
  const clock = createVirtualClock();
  const table = createFakeTable();
  const engine = createEngine(clock, false);
  const {giver, state} = createOrderer('a', clock, table, engine, false);
  state.wanted = 'decode';
  await clock.advance(950);
  assert.equal(giver.state().isOrderer, true);
  assert.equal(giver.state().sent, 0);
  await clock.advance(300);
  assert.equal(engine.role, 'decode');
});

test('a limited rate is divided max-min fairly', () => {
  const shares = shareFairly(100, [
    {name: 'a', wanted: 10},
    {name: 'b', wanted: 80},
    {name: 'c', wanted: 500},
  ]);
  assert.deepEqual(
    [shares.get('a'), shares.get('b'), shares.get('c')],
    [10, 45, 45],
  );
});

test('spending stays within the rate over time, also in large amounts', () => {
  const clock = createVirtualClock();
  const limit = createSpendLimit(clock, () => 10);
  let spent = 0;
  for (let i = 0; i < 1_000; i++) {
    if (limit.spend(50)) spent += 50;
    clock.advanceSync(100);
  }
  assert.ok(Math.abs(spent - 1_000) <= 50, `${spent}`);
});
