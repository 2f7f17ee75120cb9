/** Prints the results of several seeds as a table row: means and worst seed. */

import type {RunResult} from './metrics.js';

function mean(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0) / values.length;
}

export function percent(value: number): string {
  return `${(100 * value).toFixed(1)}%`;
}

interface Column {
  readonly title: string;
  readonly width: number;
  readonly cell: (runs: readonly RunResult[]) => string;
}

const average =
  (read: (run: RunResult) => number, digits = 0) =>
  (runs: readonly RunResult[]) =>
    mean(runs.map(read)).toFixed(digits);

const averagePercent =
  (read: (run: RunResult) => number) => (runs: readonly RunResult[]) =>
    percent(mean(runs.map(read)));

function summarizeOtherOutcomes(runs: readonly RunResult[]): string {
  const totals = new Map<string, number>();
  for (const run of runs) {
    for (const [outcome, count] of run.outcomes) {
      if (outcome === 'whole') continue;
      totals.set(outcome, (totals.get(outcome) ?? 0) + count);
    }
  }
  return [...totals]
    .sort((a, b) => b[1] - a[1])
    .map(([name, count]) => {
      const short = name.replace('refused:', '').replace('failed:', '!');
      return `${short} ${Math.round(count / runs.length)}`;
    })
    .join(', ');
}

const columns: readonly Column[] = [
  {
    title: 'good/bound',
    width: 11,
    cell: averagePercent(run => run.goodShare),
  },
  {
    title: 'worst',
    width: 8,
    cell: runs => percent(Math.min(...runs.map(run => run.goodShare))),
  },
  {
    title: 'tok good',
    width: 9,
    cell: averagePercent(run => run.goodTokenShare),
  },
  {
    title: 'wasted',
    width: 8,
    cell: averagePercent(run => run.wastedShare),
  },
  {
    title: 'w.tok',
    width: 8,
    cell: averagePercent(run => run.wastedTokenShare),
  },
  {
    title: 'ttft p50/p95/p99',
    width: 20,
    cell: runs =>
      ['p50', 'p95', 'p99']
        .map(each =>
          average(run => run.ttftMs[each as 'p50' | 'p95' | 'p99'])(runs),
        )
        .join('/'),
  },
  {
    title: 'itl p50/95/99',
    width: 14,
    cell: runs =>
      ['p50', 'p95', 'p99']
        .map(each =>
          average(run => run.tokenIntervalMs[each as 'p50' | 'p95' | 'p99'])(
            runs,
          ),
        )
        .join('/'),
  },
  {
    title: 'int/pat',
    width: 11,
    cell: runs =>
      `${Math.round(100 * mean(runs.map(run => run.goodShareByClass.interactive)))}/` +
      `${Math.round(100 * mean(runs.map(run => run.goodShareByClass.patient)))}%`,
  },
  {title: 'jain', width: 7, cell: average(run => run.jain, 3)},
  {
    title: 'late f/p',
    width: 10,
    cell: runs =>
      `${average(run => run.lateFirst)(runs)}/${average(run => run.latePace)(runs)}`,
  },
  {
    title: 'lost',
    width: 5,
    cell: average(run => run.lost + run.enginesWithOpenReservations),
  },
];

const NAME_WIDTH = 18;

export function printHeader(title: string): void {
  console.log(`\n${title}`);
  console.log(
    ''.padEnd(NAME_WIDTH) +
      columns.map(each => each.title.padStart(each.width)).join('') +
      '  others (mean a run)',
  );
}

export function printRow(name: string, runs: readonly RunResult[]): void {
  console.log(
    name.padEnd(NAME_WIDTH) +
      columns.map(each => each.cell(runs).padStart(each.width)).join('') +
      `  ${summarizeOtherOutcomes(runs)}`,
  );
}
