/**
 * Compares rules for the choice of decode engines of uneven speed on the same
 * seeds: `node scripts/run_compiled.mjs bench/speed_rules.js`. The figures are
 * in docs/design/engine_speeds.md.
 */

import {
  simulateSpeeds,
  unevenSpeed,
  type SpeedLoad,
} from '../tests/relay/placement/speed_load.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
/** Whether the pace of runs depends on their number. */
const LOAD_EXPONENTS = [0, 0.5];
const BURSTS_PER_S = [20, 28, 34, 40];

const RULES: Readonly<Record<string, Partial<SpeedLoad>>> = {
  'speeds ignored': {ignoresSpeeds: true},
  'free memory': {speedPower: 0},
  'free memory x speed': {speedPower: 1},
  'free memory x speed^2': {speedPower: 2},
  'fastest first': {speedPower: 40},
};

function quantile(sorted: readonly number[], share: number): number {
  return Math.round(sorted[Math.floor(sorted.length * share)]);
}

async function compare(load: Omit<SpeedLoad, 'seed'>): Promise<string> {
  const total = {onTime: 0, late: 0, refused: 0};
  const totalsMs: number[] = [];
  for (const seed of SEEDS) {
    const result = await simulateSpeeds({...load, seed});
    total.onTime += result.onTime;
    total.late += result.late;
    total.refused += result.refused;
    totalsMs.push(...result.totalsMs);
  }
  const sorted = [...totalsMs].sort((a, b) => a - b);
  const sum = sorted.reduce((all, each) => all + each, 0);
  const meanMs = Math.round(sum / sorted.length);
  const {onTime, late, refused} = total;
  const counts = `${onTime} / ${late} / ${refused}`;
  return `${counts} | ${meanMs} | ${quantile(sorted, 0.95)}`;
}

console.log(
  'load exponent | burst/s | rule | on time / late / refused | mean ms | p95 ms',
);
for (const loadExponent of LOAD_EXPONENTS) {
  for (const burstPerS of BURSTS_PER_S) {
    for (const [rule, changes] of Object.entries(RULES)) {
      const figures = await compare({
        speedAt: unevenSpeed,
        loadExponent,
        calmPerS: 14,
        burstPerS,
        durationMs: 14_000,
        ...changes,
      });
      console.log(`${loadExponent} | ${burstPerS} | ${rule} | ${figures}`);
    }
  }
}
