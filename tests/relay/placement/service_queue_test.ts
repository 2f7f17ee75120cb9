import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createStartOrder,
  type StartOrder,
} from '../../../src/relay/placement/start_order.js';
import {forecastWaitMs} from '../../../src/relay/placement/wait_forecast.js';
import type {Waiting} from '../../../src/relay/placement/wait_rules.js';
import {createShiftedOrder} from './order_comparison.js';
import {
  simulatePriorities,
  THREE_ROUTES,
  type RouteResult,
} from './priority_load.js';

const SEEDS = [1, 2, 3];
const burst = {engines: 20, burstFactor: 2.3, burstMs: 6_000};

const countAll = ({onTime, late, refused}: RouteResult) =>
  onTime + late + refused;

test('urgent streams are on time in a burst and others still start', async () => {
  // Guards against urgent streams that wait or are refused behind less urgent
  // ones, and against less urgent ones that starve behind urgent ones.
  for (const seed of SEEDS) {
    const byTime = await simulatePriorities({
      ...burst,
      seed,
      order: createShiftedOrder(0),
    });
    const {routes} = await simulatePriorities({
      ...burst,
      seed,
      order: createStartOrder(),
    });
    const shares = routes.map(each => each.onTime / countAll(each));
    const info = JSON.stringify({seed, routes, before: byTime.routes});
    assert.ok(shares[0] > 0.99, info);
    assert.ok(routes[0].onTime > byTime.routes[0].onTime, info);
    assert.ok(shares[2] > 0.5, info);
    assert.ok(routes[2].refused / countAll(routes[2]) < 0.1, info);
  }
});

test('with equal priorities the order and the starts are as without', async () => {
  // Guards against deployments without priorities that are served otherwise
  // than before: the reference compares the times alone.
  const withPriority = (priority?: number) =>
    THREE_ROUTES.map(route => ({...route, priority}));
  for (const seed of SEEDS) {
    const load = {...burst, seed};
    const reference = await simulatePriorities({
      ...load,
      routes: withPriority(),
      order: createShiftedOrder(0),
    });
    for (const priority of [undefined, 1]) {
      const {decisions} = await simulatePriorities({
        ...load,
        routes: withPriority(priority),
        order: createStartOrder(),
      });
      assert.deepEqual(decisions, reference.decisions);
    }
  }
});

test('accounts over their share start after those within it', async () => {
  // Guards against an account that sends most of the streams of a burst and
  // takes the engines from the others.
  const routes = [
    {perS: 8, goalMs: 1_000, account: 'usual'},
    {perS: 26, goalMs: 1_000, account: 'heavy'},
  ];
  for (const seed of SEEDS) {
    const {routes: results} = await simulatePriorities({
      ...burst,
      seed,
      routes,
      order: createStartOrder(),
      overShare: new Set(['heavy']),
    });
    const [usual, heavy] = results;
    const info = JSON.stringify({seed, results});
    assert.equal(usual.onTime, countAll(usual), info);
    assert.ok(heavy.late + heavy.refused > 0, info);
  }
});

const waitingOf = (priority: number): Waiting => ({
  priority,
  arrivedAtMs: 0,
  onTimeUntilMs: 500,
  giveUpAtMs: 2_000,
});

/** Starts the next of a queue that always holds all priorities. */
function startMany(order: StartOrder, count: number): readonly number[] {
  const inOrder = [0, 0, 1, 1, 2, 2].map(waitingOf);
  return Array.from({length: count}, () => {
    const next = inOrder[order.findNext(inOrder)];
    order.recordStart(next, inOrder);
    return next.priority ?? -1;
  });
}

test('one of eight starts goes to the less urgent, and to each of them', () => {
  // Guards against the least urgent requests that never start because those of
  // the middle priority take all starts of the less urgent.
  const starts = startMany(createStartOrder(), 64);
  const counts = [0, 1, 2].map(
    priority => starts.filter(each => each === priority).length,
  );
  assert.deepEqual(counts, [56, 4, 4]);
  for (let first = 0; first + 8 <= starts.length; first++) {
    assert.ok(starts.slice(first, first + 8).some(each => each > 0));
  }
});

test('with equal sizes the wait is the time until as many runs have ended', () => {
  const memory = {runs: 70, tokensAtEnd: 70 * 4_200, meanRunMs: 3_000};
  const ahead = {tokens: 6 * 4_200, requests: 3};
  assert.equal(forecastWaitMs(ahead, 4_200, memory), (10 * 3_000) / 70);
});

test('refused callers return one after another and are served', async () => {
  // Guards against callers that are refused together, return together and are
  // refused again.
  for (const seed of SEEDS) {
    const {routes} = await simulatePriorities({
      ...burst,
      engines: 16,
      seed,
      order: createStartOrder(),
    });
    const sum = (field: keyof RouteResult) =>
      routes.reduce((total, each) => total + each[field], 0);
    const info = JSON.stringify({seed, routes});
    assert.ok(sum('retries') > 20, info);
    assert.ok(sum('servedAgain') / sum('retries') > 0.7, info);
  }
});
