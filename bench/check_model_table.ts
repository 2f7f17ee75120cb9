/** The platform's table as a value, for the models. */

import type {
  TableCondition,
  TableRow,
  TableTransaction,
} from '../src/ports/table.js';

export type TableState = Readonly<Record<string, TableRow>>;

function holds(table: TableState, condition: TableCondition): boolean {
  const row = table[condition.key] as TableRow | undefined;
  switch (condition.kind) {
    case 'absent':
      return row === undefined;
    case 'version':
      return row?.version === condition.version;
    case 'field':
      return row?.value[condition.field] === condition.equals;
  }
}

/** The table after the transaction; undefined when it is rejected. */
export function applyTransaction(
  table: TableState,
  transaction: TableTransaction,
): TableState | undefined {
  if (!transaction.conditions.every(c => holds(table, c))) return undefined;
  const next: Record<string, TableRow> = {...table};
  for (const write of transaction.writes) {
    if (write.kind === 'delete') {
      delete next[write.key];
      continue;
    }
    const {key, value} = write;
    const version = ((table[key] as TableRow | undefined)?.version ?? 0) + 1;
    next[key] = {key, version, value};
  }
  return next;
}
