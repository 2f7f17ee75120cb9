/** Turns waiting operations into one transaction, from the rows as known. */

import {
  decideBegin,
  decideEnd,
  inlineAnswer,
  type BeginFacts,
  type JournalRow,
  type RowAnswer,
} from '../core/request/journal_rows.js';
import type {
  BeginOp,
  EndOp,
  JournalBatch,
  JournalOp,
  KnownRow,
} from './journal_ops.js';

export interface PlanHost extends BeginFacts {
  known(rowKey: string): KnownRow | undefined;
  retentionMs(service: string): number;
  isReleased(attemptId: string): boolean;
  /** An earlier transaction may still change the rows. */
  readonly isInDoubt: boolean;
  /** Reads a stored answer back and resolves the operation with it. */
  replay(op: BeginOp, answer: RowAnswer, attemptId: string): void;
}

/**
 * Operations are applied in order on an overlay, so that several of one key
 * may share a transaction. What needs no write is resolved here.
 */
export function planBatch(
  host: PlanHost,
  ops: readonly JournalOp[],
  attemptId: string,
): JournalBatch {
  const rows = new Map<string, KnownRow>();
  const written: JournalOp[] = [];
  const deferred: JournalOp[] = [];
  // A row that was not loaded must never be taken for an absent one: the call
  // that it records would run again.
  const look = (key: string) =>
    rows.get(key) ?? host.known(key) ?? 'unreadable';

  function planBegin(op: BeginOp): void {
    if (host.isReleased(op.request.attemptId)) {
      op.resolve({kind: 'refused', reason: 'platform', retryAfterMs: 0});
      return;
    }
    const known = look(op.rowKey);
    if (known === 'unreadable') {
      op.resolve({kind: 'outcome-unknown', attemptId: ''});
      return;
    }
    const row = known === 'absent' ? undefined : known;
    const decision = decideBegin(row, op.request, host);
    switch (decision.kind) {
      case 'done': {
        // This intent may be an earlier write of the same batch.
        if (decision.outcome.kind === 'proceed' && rows.has(op.rowKey)) {
          written.push(op);
        } else op.resolve(decision.outcome);
        return;
      }
      case 'stored':
        // An answer that this very batch records is not durable yet. Handed
        // out now and lost with the owner, it would differ from what a later
        // repeat is told.
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
    const known = look(op.rowKey);
    const row = typeof known === 'string' ? undefined : known;
    const decision =
      known === 'unreadable'
        ? ({kind: 'done', isDurable: false} as const)
        : decideEnd(row, op.request, op.end);
    switch (decision.kind) {
      case 'done':
        // Durable only with the batch, if it rests on what the batch writes,
        // or if a doubtful transaction may still write the row.
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
      : inlineAnswer(op.end.answer);
    return {...base, state: 'answered', answer};
  }

  for (const op of ops) {
    if (op.kind === 'begin') planBegin(op);
    else if (op.kind === 'end') planEnd(op);
    else {
      const known = look(op.rowKey);
      const isExpired =
        typeof known !== 'string' && known.expiresAtWallMs <= host.nowWallMs;
      if (isExpired) rows.set(op.rowKey, 'absent');
    }
  }
  return {attemptId, rows, ops: written, deferred};
}
