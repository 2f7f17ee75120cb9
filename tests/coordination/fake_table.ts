/** An in-memory table whose answers a test can lose, delay or refuse. */

import type {
  ReadOutcome,
  TableCondition,
  TablePort,
  TableRow,
  TableTransaction,
  WriteOutcome,
} from '../../src/ports/table.js';

/** Fault injected into one transaction. */
export type WriteFault =
  'none' | 'lost-before' | 'lost-after' | 'late' | 'unavailable';

export interface FakeTable extends TablePort {
  readonly rows: Map<string, TableRow>;
  readonly log: TableTransaction[];
  /** Returns the fault of each transaction. */
  nextFault: (transaction: TableTransaction) => WriteFault;
  isDown: boolean;
  readCount: number;
  /** Applies the writes held back by the fault `late`. */
  applyLate(): void;
}

export function createFakeTable(): FakeTable {
  const rows = new Map<string, TableRow>();
  const late: TableTransaction[] = [];
  const log: TableTransaction[] = [];

  function holds(condition: TableCondition): boolean {
    const row = rows.get(condition.key);
    switch (condition.kind) {
      case 'absent':
        return row === undefined;
      case 'version':
        return row?.version === condition.version;
      case 'field':
        return row?.value[condition.field] === condition.equals;
    }
  }

  function apply(transaction: TableTransaction): WriteOutcome {
    const failed = transaction.conditions.filter(c => !holds(c));
    if (failed.length > 0) {
      return {kind: 'rejected', failedKeys: failed.map(c => c.key)};
    }
    for (const write of transaction.writes) {
      if (write.kind === 'delete') {
        rows.delete(write.key);
        continue;
      }
      const version = (rows.get(write.key)?.version ?? 0) + 1;
      rows.set(write.key, {key: write.key, version, value: write.value});
    }
    log.push(transaction);
    return {kind: 'applied'};
  }

  const down: ReadOutcome<never> = {kind: 'failed', reason: 'down'};
  const fake: FakeTable = {
    rows,
    log,
    nextFault: () => 'none',
    isDown: false,
    readCount: 0,
    async read(keys) {
      fake.readCount++;
      if (fake.isDown) return down;
      const found = keys.flatMap(key => rows.get(key) ?? []);
      return {kind: 'read', value: found};
    },
    async scan(prefix, options) {
      fake.readCount++;
      if (fake.isDown) return down;
      const found = [...rows.values()]
        .filter(row => row.key.startsWith(prefix))
        .filter(row => row.key > (options.afterKey ?? ''))
        .sort((a, b) => (a.key < b.key ? -1 : 1))
        .slice(0, options.limit);
      return {kind: 'read', value: found};
    },
    async transact(transaction) {
      if (fake.isDown) {
        return {kind: 'refused', reason: 'unavailable', retryAfterMs: 100};
      }
      switch (fake.nextFault(transaction)) {
        case 'none':
          return apply(transaction);
        case 'lost-before':
          return {kind: 'unknown', reason: 'lost'};
        case 'lost-after':
          apply(transaction);
          return {kind: 'unknown', reason: 'lost'};
        case 'late':
          late.push(transaction);
          return {kind: 'unknown', reason: 'late'};
        case 'unavailable':
          return {kind: 'refused', reason: 'unavailable', retryAfterMs: 50};
      }
    },
    applyLate() {
      late.splice(0).forEach(apply);
    },
  };
  return fake;
}
