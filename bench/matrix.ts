/**
 * The fault matrix: injects each fault at each step of each request kind, alone
 * and in pairs, and checks the guarantees against the stand-ins' records.
 * `npm run matrix` prints it and writes docs/FAULT_MATRIX.md;
 * `npm run matrix -- --processes` runs selected faults with real processes.
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
const MAX_PRINTED_FAILURES = 5;
let printedFailures = 0;

function printFailedCell(name: string, cell: CellResult): void {
  if (printedFailures >= MAX_PRINTED_FAILURES) return;
  printedFailures++;
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
    printFailedCell(
      `${column.machine} ${column.step}: ${fault} + ${second}`,
      cell,
    );
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
    if (isRed) printFailedCell(`${machine} ${column.step}: ${fault}`, cell);
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
