import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {forecastWaitMs} from '../../../src/relay/placement/wait_forecast.js';
import {
  compareWaiting,
  type Waiting,
} from '../../../src/relay/placement/wait_rules.js';
import {compareTimes} from './order_comparison.js';
import {
  simulatePriorities,
  THREE_ROUTES,
  type RouteResult,
} from './priority_load.js';

const SEEDS = [1, 2, 3];
const burst = {engines: 20, burstFactor: 2.3, burstMs: 6_000};

const countAll = ({onTime, late, refused}: RouteResult) =>
  onTime + late + refused;

const servedShare = (result: RouteResult) =>
  (result.onTime + result.late) / countAll(result);
const onTimeShare = (result: RouteResult) => result.onTime / countAll(result);

function sumResults(results: readonly RouteResult[]): RouteResult {
  const sum = (field: keyof RouteResult) =>
    results.reduce((total, each) => total + each[field], 0);
  return {
    onTime: sum('onTime'),
    late: sum('late'),
    refused: sum('refused'),
    servedAgain: sum('servedAgain'),
    retries: sum('retries'),
  };
}

test('urgent streams are served first in a burst and none starve', async () => {
  // Guards against urgent streams that wait or are refused behind less urgent
  // ones, and against less urgent ones that starve behind urgent ones. The
  // shares are those of all seeds: one seed has some 140 urgent streams, and its
  // shares differ by a few hundredths from those of another.
  for (const engines of [24, 20, 16]) {
    const runs: (readonly RouteResult[])[] = [];
    for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
      const {routes} = await simulatePriorities({...burst, engines, seed});
      assert.ok(servedShare(routes[0]) > 0.99, JSON.stringify({seed, routes}));
      assert.ok(servedShare(routes[2]) > 0.8, JSON.stringify({seed, routes}));
      runs.push(routes);
    }
    const routes = [0, 1, 2].map(i => sumResults(runs.map(run => run[i])));
    const info = JSON.stringify({engines, routes});
    for (const shareOf of [servedShare, onTimeShare]) {
      const [first, second, third] = routes.map(shareOf);
      assert.ok(first > 0.99, info);
      assert.ok(first >= second - 0.02, info);
      assert.ok(second >= third - 0.02, info);
    }
    assert.ok(onTimeShare(routes[2]) > 0.5, info);
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
      compare: compareTimes,
    });
    for (const priority of [undefined, 1]) {
      const {decisions} = await simulatePriorities({
        ...load,
        routes: withPriority(priority),
      });
      assert.deepEqual(decisions, reference.decisions);
    }
  }
});

test('requests of equal priority compare exactly by their times', () => {
  // Guards against an order that changes by rounding where no priority differs.
  const random = createSeededRandom(1);
  const nowMs = 1.7e12;
  const makeWaiting = (priority?: number): Waiting => ({
    arrivedAtMs: nowMs - random.nextFloat() * 3_000,
    onTimeUntilMs: nowMs + (random.nextFloat() - 0.5) * 3_000,
    giveUpAtMs: nowMs + 3_000,
    priority,
    isOverShare: random.nextFloat() < 0.5 ? false : undefined,
  });
  for (const priority of [undefined, 0, 2, 1e308]) {
    for (let i = 0; i < 1_000; i++) {
      const [a, b] = [makeWaiting(priority), makeWaiting(priority)];
      const order = compareWaiting(a, b, nowMs);
      assert.equal(order, compareTimes(a, b, nowMs), JSON.stringify({a, b}));
    }
  }
});

test('accounts over their share start after those within it', async () => {
  // Guards against an account that sends most of the streams of a burst, even
  // urgent ones, and takes the engines from the others.
  const routes = [
    {priority: 2, perS: 8, goalMs: 1_000, account: 'usual'},
    {priority: 0, perS: 26, goalMs: 1_000, account: 'heavy'},
  ];
  for (const seed of SEEDS) {
    const {routes: results} = await simulatePriorities({
      ...burst,
      engines: 16,
      seed,
      routes,
      overShare: new Set(['heavy']),
    });
    const [usual, heavy] = results;
    const info = JSON.stringify({seed, results});
    assert.equal(usual.onTime, countAll(usual), info);
    assert.ok(heavy.late + heavy.refused > 0, info);
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
    const {routes} = await simulatePriorities({...burst, engines: 16, seed});
    const {retries, servedAgain} = sumResults(routes);
    const info = JSON.stringify({seed, routes});
    assert.ok(retries > 20, info);
    assert.ok(servedAgain / retries > 0.7, info);
  }
});
