/** The platform's table as an immutable value, for the models. */

import type {
  TableCondition,
  TableRow,
  TableTransaction,
} from '../src/ports/table.js';

export type TableState = Readonly<Record<string, TableRow>>;

function isConditionMet(table: TableState, condition: TableCondition): boolean {
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

/** Returns the table after the transaction, or undefined if it is rejected. */
export function applyTransaction(
  table: TableState,
  transaction: TableTransaction,
): TableState | undefined {
  if (!transaction.conditions.every(c => isConditionMet(table, c)))
    return undefined;
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
