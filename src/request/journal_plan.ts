/** Plans one transaction for queued operations, from the cached rows. */

import {
  decideBegin,
  decideEnd,
  toInlineAnswer,
  type BeginFacts,
  type JournalRow,
  type RowAnswer,
} from '../core/request/journal_rows.js';
import type {
  BeginOp,
  EndOp,
  JournalBatch,
  JournalOp,
  CachedRow,
} from './journal_ops.js';

export interface PlanHost extends BeginFacts {
  known(rowKey: string): CachedRow | undefined;
  retentionMs(service: string): number;
  isReleased(attemptId: string): boolean;
  /** Whether an earlier transaction may still change the rows. */
  readonly isInDoubt: boolean;
  /** Reads a stored answer and resolves the operation with it. */
  replay(op: BeginOp, answer: RowAnswer, attemptId: string): void;
}

/**
 * Applies the operations in order to an overlay of the rows, so one
 * transaction can hold several operations of one key. Operations that need no
 * write are resolved at once.
 */
export function planBatch(
  host: PlanHost,
  ops: readonly JournalOp[],
  attemptId: string,
): JournalBatch {
  const rows = new Map<string, CachedRow>();
  const written: JournalOp[] = [];
  const deferred: JournalOp[] = [];
  // A row that wasn't loaded counts as unreadable. If it counted as absent, the
  // call that it records could run again.
  const currentRow = (key: string) =>
    rows.get(key) ?? host.known(key) ?? 'unreadable';

  function planBegin(op: BeginOp): void {
    if (host.isReleased(op.request.attemptId)) {
      op.resolve({kind: 'refused', reason: 'platform', retryAfterMs: 0});
      return;
    }
    const current = currentRow(op.rowKey);
    if (current === 'unreadable') {
      op.resolve({kind: 'outcome-unknown', attemptId: ''});
      return;
    }
    const row = current === 'absent' ? undefined : current;
    const decision = decideBegin(row, op.request, host);
    switch (decision.kind) {
      case 'done': {
        // The intent may be written by this same batch.
        if (decision.outcome.kind === 'proceed' && rows.has(op.rowKey)) {
          written.push(op);
        } else op.resolve(decision.outcome);
        return;
      }
      case 'stored':
        // An answer recorded by this same batch isn't durable yet. If it were
        // sent now and then lost with the owner, a later repeat would get a
        // different answer.
        if (rows.has(op.rowKey)) {
          deferred.push(op);
          return;
        }
        host.replay(op, decision.answer, row!.attemptId);
        return;
      case 'write-intent':
        rows.set(op.rowKey, intendedRow(op));
        written.push(op);
    }
  }

  function intendedRow(op: BeginOp): JournalRow {
    const {attemptId: id, fingerprint, entry, service} = op.request;
    return {
      state: 'intended',
      attemptId: id,
      fingerprint,
      entry,
      expiresAtWallMs: host.nowWallMs + host.retentionMs(service),
    };
  }

  function planEnd(op: EndOp): void {
    const current = currentRow(op.rowKey);
    const row = typeof current === 'string' ? undefined : current;
    const decision =
      current === 'unreadable'
        ? ({kind: 'done', isDurable: false} as const)
        : decideEnd(row, op.request, op.end);
    switch (decision.kind) {
      case 'done':
        // The end is durable only with this batch if this batch writes the
        // row, or if an in-doubt transaction may still write it.
        if (decision.isDurable && (rows.has(op.rowKey) || host.isInDoubt)) {
          written.push(op);
        } else op.resolve(decision.isDurable);
        return;
      case 'delete':
        rows.set(op.rowKey, 'absent');
        break;
      case 'put':
        rows.set(op.rowKey, endedRow(op));
        break;
    }
    written.push(op);
  }

  function endedRow(op: EndOp): JournalRow {
    const {attemptId: id, fingerprint, entry, service} = op.request;
    const base = {
      attemptId: id,
      fingerprint,
      entry,
      expiresAtWallMs: host.nowWallMs + host.retentionMs(service),
    };
    if (op.end.kind !== 'answered') return {...base, state: 'unknown'};
    const {status, headers} = op.end.answer;
    const answer = op.objectKey
      ? {status, headers: {...headers}, objectKey: op.objectKey}
      : toInlineAnswer(op.end.answer);
    return {...base, state: 'answered', answer};
  }

  for (const op of ops) {
    if (op.kind === 'begin') planBegin(op);
    else if (op.kind === 'end') planEnd(op);
    else {
      const current = currentRow(op.rowKey);
      const isExpired =
        typeof current !== 'string' &&
        current.expiresAtWallMs <= host.nowWallMs;
      if (isExpired) rows.set(op.rowKey, 'absent');
    }
  }
  return {attemptId, rows, ops: written, deferred};
}
