/** Rows of the stand-in platform's table, and the transactions on them. */

import {assertNever} from '../src/core/assert_never.js';
import type {
  TableCondition,
  TableRow,
  TableTransaction,
  WriteOutcome,
} from '../src/ports/table.js';

/** A decided transaction, read by tests and observers. */
export interface LoggedTransaction {
  readonly atMs: number;
  readonly attemptId: string;
  readonly outcome: 'applied' | 'rejected';
  readonly keys: readonly string[];
}

export interface TableStore {
  read(keys: readonly string[]): readonly TableRow[];
  scan(prefix: string, afterKey: string, limit: number): readonly TableRow[];
  apply(transaction: TableTransaction): WriteOutcome;
  rowCount(): number;
}

export function createTableStore(): TableStore {
  const rows = new Map<string, TableRow>();
  let sortedKeys: readonly string[] | undefined;

  function isMet(condition: TableCondition): boolean {
    const row = rows.get(condition.key);
    switch (condition.kind) {
      case 'absent':
        return row === undefined;
      case 'version':
        return row?.version === condition.version;
      case 'field':
        return (
          row !== undefined && row.value[condition.field] === condition.equals
        );
      default:
        return assertNever(condition);
    }
  }

  function keysInOrder(): readonly string[] {
    sortedKeys ??= [...rows.keys()].sort();
    return sortedKeys;
  }

  return {
    read: keys =>
      [...new Set(keys)].flatMap(key => {
        const row = rows.get(key);
        return row ? [row] : [];
      }),
    scan: (prefix, afterKey, limit) =>
      keysInOrder()
        .filter(key => key.startsWith(prefix) && key > afterKey)
        .slice(0, limit)
        .map(key => rows.get(key)!),
    apply(transaction) {
      const failedKeys = transaction.conditions
        .filter(condition => !isMet(condition))
        .map(condition => condition.key);
      if (failedKeys.length > 0) return {kind: 'rejected', failedKeys};
      for (const write of transaction.writes) {
        const existing = rows.get(write.key);
        if (!existing || write.kind === 'delete') sortedKeys = undefined;
        if (write.kind === 'delete') {
          rows.delete(write.key);
        } else {
          const version = (existing?.version ?? 0) + 1;
          rows.set(write.key, {key: write.key, version, value: write.value});
        }
      }
      return {kind: 'applied'};
    },
    rowCount: () => rows.size,
  };
}
