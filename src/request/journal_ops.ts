/** What waits at the owner of a key partition, and what it would write. */

import type {JournalRow} from '../core/request/journal_rows.js';
import type {
  IntentOutcome,
  IntentRequest,
  JournalEnd,
} from '../ports/journal.js';
import type {JsonRecord, TableWrite} from '../ports/table.js';

export interface BeginOp {
  readonly kind: 'begin';
  readonly rowKey: string;
  readonly request: IntentRequest;
  /** Does nothing after the first call. */
  resolve(outcome: IntentOutcome): void;
  /** The asker was told `refused`; the intent must not stay. */
  isWithdrawn: boolean;
  /** It was part of a transaction, which may have applied. */
  wasSent: boolean;
}

export interface EndOp {
  readonly kind: 'end';
  readonly rowKey: string;
  readonly request: IntentRequest;
  readonly end: JournalEnd;
  /** Where a large answer was put beforehand. */
  readonly objectKey?: string;
  resolve(isDurable: boolean): void;
  isWithdrawn: boolean;
}

/** Deletes a row that has outlived its retention. */
export interface PurgeOp {
  readonly kind: 'purge';
  readonly rowKey: string;
  isWithdrawn: boolean;
}

export type JournalOp = BeginOp | EndOp | PurgeOp;

/** A row as the owner knows it. A row that cannot be read never runs. */
export type KnownRow = JournalRow | 'absent' | 'unreadable';

/** One planned transaction. */
export interface JournalBatch {
  readonly attemptId: string;
  /** Rows as they will be if it applies. */
  readonly rows: ReadonlyMap<string, KnownRow>;
  /** Operations that are done once it has applied. */
  readonly ops: readonly JournalOp[];
  /** Operations that must wait until it has applied. */
  readonly deferred: readonly JournalOp[];
}

export function writesOf(
  rows: ReadonlyMap<string, KnownRow>,
): readonly TableWrite[] {
  const writes: TableWrite[] = [];
  for (const [key, row] of rows) {
    if (row === 'absent') writes.push({kind: 'delete', key});
    else if (row !== 'unreadable') {
      writes.push({kind: 'put', key, value: row as unknown as JsonRecord});
    }
  }
  return writes;
}
