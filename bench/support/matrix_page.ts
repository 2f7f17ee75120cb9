/** Renders the results of the fault matrix as a Markdown page. */

import type {MatrixFault} from './matrix_cells.js';
import type {MachineName} from './step_watch.js';

export interface MatrixCell {
  readonly step: string;
  readonly isReached: boolean;
  readonly isRed: boolean;
  /** Runs with a second fault, and how many of them violate a guarantee. */
  readonly pairs: {readonly count: number; readonly red: number};
}

export interface MatrixRow {
  readonly machine: MachineName;
  readonly fault: MatrixFault;
  readonly cells: readonly MatrixCell[];
}

const titles: Readonly<Record<MachineName, string>> = {
  model: 'Model request',
  plain: 'Call to a plain service that may be repeated',
  single: 'Call that may not be repeated',
};

const head = `# Fault matrix

Written by \`npm run matrix\`; do not edit. Each cell lays the fault of its row
on a small site in the moment when a request first reaches the step of its
column, once for each process or upstream that the fault may strike, and then
checks the promises of the brief from the books of the stand-ins. \`ok +N\`: no
promise was broken, alone and with each of N second faults (platform faults,
process deaths, a lease that lapses under a paused holder). \`RED\`: at least
one was broken. \`not reached\`: the trace without the fault never passes the
step.

`;

const foot = `## Not in these tables

- **Configuration in force** (the eighth promise): no step of a request reads or
  writes a revision; the coordination tests check it.
- **Racing operators**: requests make no change of configuration, so there is
  nothing to race with in these machines.
- **Late and gapped cache events, lagging load reports**: they change where a
  grant is placed, never what a machine does with it; the small home here
  places without them. The scheduling benches lay them on the real home.
- **Region split**: the row "entry cut off from its peers" is the part of it
  that a request can meet. A split of the membership is tested there.
- **Host replaced**: each "dies" row starts a new incarnation after 1.5 s.
`;

function formatCell(cell: MatrixCell): string {
  if (cell.isRed) return 'RED';
  if (!cell.isReached) return 'not reached';
  const {count, red} = cell.pairs;
  if (red > 0) return `RED in ${red} of ${count} pairs`;
  return count > 0 ? `ok +${count}` : 'ok';
}

function formatTable(rows: readonly MatrixRow[]): string {
  const steps = rows[0].cells.map(({step}) => step);
  const formatRow = (cells: readonly string[]) => `| ${cells.join(' | ')} |\n`;
  return (
    formatRow(['Fault', ...steps]) +
    formatRow(['---', ...steps.map(() => '---')]) +
    rows
      .map(({fault, cells}) => formatRow([fault, ...cells.map(formatCell)]))
      .join('')
  );
}

export function renderMatrix(rows: readonly MatrixRow[]): {
  readonly text: string;
  readonly redCount: number;
} {
  const cells = rows.flatMap(row => row.cells);
  const pairCount = cells.reduce((sum, cell) => sum + cell.pairs.count, 0);
  const redCount = cells.reduce(
    (sum, cell) => sum + Number(cell.isRed) + cell.pairs.red,
    0,
  );
  const unreachedCount = cells.filter(cell => !cell.isReached).length;
  const tables = (['model', 'plain', 'single'] as const).map(machine => {
    const machineRows = rows.filter(row => row.machine === machine);
    return `## ${titles[machine]}\n\n${formatTable(machineRows)}\n`;
  });
  const summary =
    `${cells.length} single cells, ${pairCount} pairs, ${redCount} red, ` +
    `${unreachedCount} not reached.\n\n`;
  return {text: head + summary + tables.join('') + foot, redCount};
}
