/**
 * Compares ways to order waiting streams on the same seeds and prints a table:
 * `node build/tests/relay/placement/order_comparison.js [FIRST_SEED [SEEDS]]`.
 */

import {
  createStartOrder,
  type StartOrder,
} from '../../../src/relay/placement/start_order.js';
import {
  compareWaiting,
  isOnTime,
  type Waiting,
} from '../../../src/relay/placement/wait_rules.js';
import {simulatePriorities} from './priority_load.js';

/** An order without turns of the less urgent. */
function orderBy(compare: StartOrder['compare']): StartOrder {
  return {
    compare,
    findNext: () => 0,
    startsPerTurn: () => Infinity,
    recordStart: () => undefined,
  };
}

function withoutPriority(each: Waiting, laterMs: number): Waiting {
  return {
    arrivedAtMs: each.arrivedAtMs + laterMs,
    onTimeUntilMs: each.onTimeUntilMs + laterMs,
    giveUpAtMs: each.giveUpAtMs,
  };
}

/**
 * Requests that can be on time before late ones; within both, by times that are
 * later by `levelMs` for each level of priority.
 */
export function createShiftedOrder(levelMs: number): StartOrder {
  return orderBy((a, b, nowMs) => {
    const rank = Number(!isOnTime(a, nowMs)) - Number(!isOnTime(b, nowMs));
    if (rank !== 0) return rank;
    const [first, second] = [a, b].map(each =>
      withoutPriority(each, (each.priority ?? 0) * levelMs),
    );
    return isOnTime(a, nowMs)
      ? first.onTimeUntilMs - second.onTimeUntilMs
      : first.arrivedAtMs - second.arrivedAtMs;
  });
}

/** As by priority, but late requests of all priorities come last. */
function createOnTimeFirstOrder(): StartOrder {
  return orderBy((a, b, nowMs) => {
    const rank = Number(!isOnTime(a, nowMs)) - Number(!isOnTime(b, nowMs));
    return rank !== 0 ? rank : compareWaiting(a, b, nowMs);
  });
}

export const ORDERS: Readonly<Record<string, () => StartOrder>> = {
  'by time alone': () => createShiftedOrder(0),
  'latest start + 300 ms a level': () => createShiftedOrder(300),
  'latest start + 1,000 ms a level': () => createShiftedOrder(1_000),
  'on time first, then priority': createOnTimeFirstOrder,
  'strict priority': () => orderBy(compareWaiting),
  'priority, one of 8 to less urgent': createStartOrder,
};

async function compareOrders(first: number, count: number): Promise<void> {
  const seeds = Array.from({length: count}, (_, i) => first + i);
  const loads = [
    {engines: 24, burstFactor: 2},
    {engines: 24, burstFactor: 2.3},
    {engines: 20, burstFactor: 2.3},
    {engines: 16, burstFactor: 2.3},
  ];
  for (const {engines, burstFactor} of loads) {
    for (const [name, createOrder] of Object.entries(ORDERS)) {
      const runs = await Promise.all(
        seeds.map(seed =>
          simulatePriorities({
            seed,
            order: createOrder(),
            engines,
            burstFactor,
            burstMs: 6_000,
          }),
        ),
      );
      const columns = [0, 1, 2].map(index => {
        const sum = (field: 'onTime' | 'late' | 'refused') =>
          runs.reduce((total, {routes}) => total + routes[index][field], 0);
        const onTime = sum('onTime');
        const served = onTime + sum('late');
        const all = served + sum('refused');
        return `${(onTime / all).toFixed(3)} ${(served / all).toFixed(3)}`;
      });
      console.log(
        `| ${engines} | ${burstFactor} | ${name} | ${columns.join(' | ')} |`,
      );
    }
  }
}

if (process.argv[1]?.endsWith('order_comparison.js')) {
  const [first = 1, count = 8] = process.argv.slice(2).map(Number);
  await compareOrders(first, count);
}
