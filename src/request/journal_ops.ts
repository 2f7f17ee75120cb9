/** Operations queued at the owner of a key partition, and their batches. */

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
  /** Calls after the first have no effect. */
  resolve(outcome: IntentOutcome): void;
  /** The requester got `refused`, so the intent must not remain. */
  isWithdrawn: boolean;
  /** Was part of a transaction that may have applied. */
  wasSent: boolean;
}

export interface EndOp {
  readonly kind: 'end';
  readonly rowKey: string;
  readonly request: IntentRequest;
  readonly end: JournalEnd;
  /** Key in the object store, if a large answer was stored there. */
  readonly objectKey?: string;
  resolve(isDurable: boolean): void;
  isWithdrawn: boolean;
}

/** Deletes a row whose retention has ended. */
export interface PurgeOp {
  readonly kind: 'purge';
  readonly rowKey: string;
  isWithdrawn: boolean;
}

export type JournalOp = BeginOp | EndOp | PurgeOp;

/** Cached state of a row. A call with an unreadable row never runs. */
export type CachedRow = JournalRow | 'absent' | 'unreadable';

/** A planned transaction. */
export interface JournalBatch {
  readonly attemptId: string;
  /** Rows as they are after the transaction. */
  readonly rows: ReadonlyMap<string, CachedRow>;
  /** Operations that complete when the transaction applies. */
  readonly ops: readonly JournalOp[];
  /** Operations that must be planned again after the transaction. */
  readonly deferred: readonly JournalOp[];
}

export function writesOf(
  rows: ReadonlyMap<string, CachedRow>,
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
