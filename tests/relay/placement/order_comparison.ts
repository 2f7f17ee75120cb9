/**
 * Compares ways to order waiting streams on the same seeds and prints a table:
 * `node build/tests/relay/placement/order_comparison.js [FIRST_SEED [SEEDS]]`.
 */

import type {CompareWaiting} from '../../../src/relay/placement/queue_forecasts.js';
import {
  compareWaiting,
  isOnTime,
  type Waiting,
} from '../../../src/relay/placement/wait_rules.js';
import {simulatePriorities} from './priority_load.js';

const priorityOf = ({priority}: Waiting) => priority ?? 0;

const compareOnTime = (a: Waiting, b: Waiting, nowMs: number) =>
  Number(!isOnTime(a, nowMs)) - Number(!isOnTime(b, nowMs));

/** The order of service without priorities and shares. */
export function compareTimes(a: Waiting, b: Waiting, nowMs: number): number {
  const rank = compareOnTime(a, b, nowMs);
  if (rank !== 0) return rank;
  return isOnTime(a, nowMs)
    ? a.onTimeUntilMs - b.onTimeUntilMs
    : a.arrivedAtMs - b.arrivedAtMs;
}

/** As `compareWaiting`, with another time for each level of priority. */
function shiftBy(levelMs: number): CompareWaiting {
  return (a, b, nowMs) =>
    compareOnTime(a, b, nowMs) ||
    compareTimes(a, b, nowMs) + (priorityOf(a) - priorityOf(b)) * levelMs;
}

const compareStrictly: CompareWaiting = (a, b, nowMs) =>
  priorityOf(a) - priorityOf(b) || compareTimes(a, b, nowMs);

const compareOnTimeFirst: CompareWaiting = (a, b, nowMs) =>
  compareOnTime(a, b, nowMs) || compareStrictly(a, b, nowMs);

const ORDERS: Readonly<Record<string, CompareWaiting>> = {
  'by time alone': compareTimes,
  'latest start + 300 ms a level (built)': compareWaiting,
  'latest start + 1,000 ms a level': shiftBy(1_000),
  'on time first, then priority': compareOnTimeFirst,
  'strict priority': compareStrictly,
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
    for (const [name, compare] of Object.entries(ORDERS)) {
      const runs = await Promise.all(
        seeds.map(seed =>
          simulatePriorities({
            seed,
            compare,
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
