/**
 * The fault matrix: each fault at each step of each request kind, single and
 * in pairs, with the promises checked from the stand-ins' books after each
 * cell. `npm run matrix` prints it and writes docs/FAULT_MATRIX.md;
 * `npm run matrix -- --processes` runs the chosen set with real processes.
 */

import {writeFileSync} from 'node:fs';
import {describeRun} from './support/fault_run.js';
import {
  matrixColumns,
  matrixFaults,
  runCell,
  secondFaults,
  type CellResult,
  type MatrixColumn,
} from './support/matrix_cells.js';
import {renderMatrix, type MatrixRow} from './support/matrix_page.js';
import type {MachineName} from './support/step_watch.js';

const PAGE = 'docs/FAULT_MATRIX.md';
const MAX_SHOWN = 5;
let shown = 0;

function showRed(name: string, cell: CellResult): void {
  if (shown >= MAX_SHOWN) return;
  shown++;
  const broken = cell.runs.find(run => run.violations.length > 0)!;
  console.log(`RED ${name}`);
  console.log(describeRun({seed: 0, calls: [], faults: []}, broken));
}

async function runPairs(column: MatrixColumn, fault: MatrixRow['fault']) {
  let count = 0;
  let red = 0;
  for (const second of secondFaults) {
    const cell = await runCell(column, fault, second);
    count++;
    if (!cell.runs.some(run => run.violations.length > 0)) continue;
    red++;
    showRed(`${column.machine} ${column.step}: ${fault} + ${second}`, cell);
  }
  return {count, red};
}

async function runRow(
  machine: MachineName,
  fault: MatrixRow['fault'],
  withPairs: boolean,
): Promise<MatrixRow> {
  const cells = [];
  for (const column of matrixColumns) {
    if (column.machine !== machine) continue;
    const cell = await runCell(column, fault);
    const isRed = cell.runs.some(run => run.violations.length > 0);
    if (isRed) showRed(`${machine} ${column.step}: ${fault}`, cell);
    const pairs = withPairs
      ? await runPairs(column, fault)
      : {count: 0, red: 0};
    cells.push({step: column.step, isReached: cell.isReached, isRed, pairs});
  }
  return {machine, fault, cells};
}

async function main(): Promise<void> {
  const withPairs = !process.argv.includes('--single');
  const rows: MatrixRow[] = [];
  for (const machine of ['model', 'plain', 'single'] as const) {
    for (const fault of matrixFaults) {
      rows.push(await runRow(machine, fault, withPairs));
    }
  }
  const page = renderMatrix(rows);
  console.log(page.text);
  writeFileSync(PAGE, page.text);
  process.exit(page.redCount > 0 ? 1 : 0);
}

if (process.argv.includes('--processes')) {
  const file = './process_faults.js';
  const processes = (await import(file)) as {
    runProcessFaults(args: readonly string[]): Promise<void>;
  };
  await processes.runProcessFaults(process.argv.slice(2));
} else {
  await main();
}
