/**
 * Writes a partition's journal: one transaction at a time, many operations in
 * each.
 *
 * Every transaction is conditional on the partition's lease epoch and on the
 * version of the partition's head row, and writes the head row. So at most one
 * transaction can follow each version of the head. After an unknown answer the
 * next transaction on the same head either applies, and then the doubtful one
 * never can, or is rejected, and then the head names the one that did. That is
 * why a write whose answer was lost, or which the platform applies late, can
 * neither run a call twice nor block its key for good.
 */

import {
  journalHeadKey,
  parseJournalRow,
  type BeginFacts,
} from '../core/request/journal_rows.js';
import type {Clock} from '../ports/clock.js';
import type {Random} from '../ports/random.js';
import type {TableCondition, TablePort, TableRow} from '../ports/table.js';
import {
  writesOf,
  type JournalBatch,
  type JournalOp,
  type KnownRow,
} from './journal_ops.js';
import {planBatch, type PlanHost} from './journal_plan.js';

export interface PartitionFence {
  readonly epoch: number;
  /** Holds while the lease has this epoch. */
  readonly condition: TableCondition;
}

export interface CommitterHost extends Pick<
  PlanHost,
  'retentionMs' | 'replay' | 'isReleased'
> {
  readonly clock: Clock;
  readonly random: Random;
  readonly table: TablePort;
  fence(): PartitionFence | undefined;
  beginFacts(): BeginFacts;
  /** Operations to do next. */
  takeOps(limit: number): readonly JournalOp[];
  /** Puts operations back at the front. */
  requeue(ops: readonly JournalOp[]): void;
  /** The lease is gone: everything that waits is refused. */
  onNotOwner(ops: readonly JournalOp[]): void;
  /** A transaction applied. */
  onApplied(ops: readonly JournalOp[]): void;
  onTransaction?(opCount: number): void;
}

export interface CommitterOptions {
  readonly partition: number;
  readonly maxBatch: number;
  readonly readTimeoutMs: number;
  readonly writeTimeoutMs: number;
  readonly maxKnownRows: number;
}

/** How one round ended; after trouble the caller waits before the next. */
export type RoundResult =
  | {readonly kind: 'ok'}
  | {readonly kind: 'not-owner'}
  | {readonly kind: 'trouble'; readonly retryAfterMs: number};

export interface JournalCommitter {
  /** With `isProbe`, writes the head even when nothing waits. */
  round(isProbe: boolean): Promise<RoundResult>;
  known(rowKey: string): KnownRow | undefined;
  /** Whether an earlier transaction may still apply. */
  isInDoubt(): boolean;
}

/** Version of a row that does not exist. */
const ABSENT = 0;
const TROUBLE_RETRY_MS = 100;

const ok: RoundResult = {kind: 'ok'};
const trouble: RoundResult = {
  kind: 'trouble',
  retryAfterMs: TROUBLE_RETRY_MS,
};

interface VersionedRow {
  readonly row: KnownRow;
  readonly version: number;
}

function hasVersion(key: string, version: number): TableCondition {
  return version === ABSENT
    ? {kind: 'absent', key}
    : {kind: 'version', key, version};
}

export function createJournalCommitter(
  host: CommitterHost,
  options: CommitterOptions,
): JournalCommitter {
  const headKey = journalHeadKey(options.partition);
  let epoch: number | undefined;
  /** Undefined until read; 0 when the row does not exist. */
  let headVersion: number | undefined;
  let rows = new Map<string, VersionedRow>();
  /** Transactions on the present head whose end is not known. */
  let doubtful: readonly JournalBatch[] = [];

  function forget(): void {
    headVersion = undefined;
    rows = new Map();
    doubtful = [];
  }

  function remember(key: string, row: KnownRow, version: number): void {
    rows.delete(key);
    rows.set(key, {row, version});
  }

  /**
   * Only between rounds: a row forgotten within one would look absent to the
   * operation that waits for it.
   */
  function trim(): void {
    for (const key of rows.keys()) {
      if (rows.size <= options.maxKnownRows) return;
      rows.delete(key);
    }
  }

  function takeHead(row: TableRow | undefined): void {
    headVersion = row?.version ?? ABSENT;
  }

  /** Reads the head, if it is not known, and all rows that are not. */
  async function load(ops: readonly JournalOp[]): Promise<boolean> {
    const unknownKeys = new Set(
      ops.map(op => op.rowKey).filter(key => !rows.has(key)),
    );
    const keys = [...unknownKeys];
    if (headVersion === undefined) keys.push(headKey);
    if (keys.length === 0) return true;
    const outcome = await host.table.read(keys, options.readTimeoutMs);
    if (outcome.kind === 'failed') return false;
    const found = new Map(outcome.value.map(row => [row.key, row]));
    if (headVersion === undefined) takeHead(found.get(headKey));
    for (const key of unknownKeys) {
      const row = found.get(key);
      const parsed = row && (parseJournalRow(row.value) ?? 'unreadable');
      remember(key, parsed ?? 'absent', row?.version ?? ABSENT);
    }
    return true;
  }

  function commit(batch: JournalBatch, version: number): void {
    headVersion = version;
    doubtful = [];
    for (const [key, row] of batch.rows) {
      const before = rows.get(key)?.version ?? ABSENT;
      remember(key, row, row === 'absent' ? ABSENT : before + 1);
    }
    host.onApplied(batch.ops);
  }

  function unsettled(ops: readonly JournalOp[], done: readonly JournalOp[]) {
    return ops.filter(op => !done.includes(op));
  }

  /**
   * Asks the head which of the transactions that may have applied did.
   * `batch` is the newest of them.
   */
  async function askHead(batch: JournalBatch): Promise<RoundResult> {
    const outcome = await host.table.read([headKey], options.readTimeoutMs);
    if (outcome.kind === 'failed') {
      host.requeue(batch.ops);
      return trouble;
    }
    const head = outcome.value[0];
    if ((head?.version ?? ABSENT) === headVersion) {
      host.requeue(batch.ops);
      return trouble;
    }
    const applied = doubtful.find(
      doubt => doubt.attemptId === head?.value['attemptId'],
    );
    if (applied && head.version === headVersion! + 1) {
      commit(applied, head.version);
      host.requeue(unsettled(batch.ops, applied.ops));
      return ok;
    }
    // Another process has written: nothing that is remembered can be trusted.
    forget();
    host.requeue(batch.ops);
    return trouble;
  }

  /** Lease, head and rows must be as they were when the batch was planned. */
  function conditionsOf(
    batch: JournalBatch,
    fence: PartitionFence,
    version: number,
  ): readonly TableCondition[] {
    const rowConditions = [...batch.rows.keys()].map(key =>
      hasVersion(key, rows.get(key)?.version ?? ABSENT),
    );
    return [fence.condition, hasVersion(headKey, version), ...rowConditions];
  }

  async function write(
    batch: JournalBatch,
    fence: PartitionFence,
  ): Promise<RoundResult> {
    const version = headVersion!;
    for (const op of batch.ops) if (op.kind === 'begin') op.wasSent = true;
    host.onTransaction?.(batch.ops.length);
    const outcome = await host.table.transact(
      {
        attemptId: batch.attemptId,
        conditions: conditionsOf(batch, fence, version),
        writes: [
          {
            kind: 'put',
            key: headKey,
            value: {attemptId: batch.attemptId, epoch: fence.epoch},
          },
          ...writesOf(batch.rows),
        ],
      },
      options.writeTimeoutMs,
    );
    switch (outcome.kind) {
      case 'applied':
        commit(batch, version + 1);
        return ok;
      case 'refused':
        host.requeue(batch.ops);
        return {
          kind: 'trouble',
          retryAfterMs: Math.max(TROUBLE_RETRY_MS, outcome.retryAfterMs),
        };
      case 'rejected':
        // The holder was paused past its lease: the epoch has moved on, and
        // nothing that it had begun to write can apply any more.
        if (outcome.failedKeys.includes(fence.condition.key)) {
          forget();
          host.onNotOwner(batch.ops);
          return {kind: 'not-owner'};
        }
        if (!outcome.failedKeys.includes(headKey)) {
          // Another partition's owner wrote the row, while the number of
          // partitions changes. It is read anew before anything is decided.
          outcome.failedKeys.forEach(key => rows.delete(key));
          host.requeue(batch.ops);
          return trouble;
        }
        return askHead(batch);
      case 'unknown':
        doubtful = [...doubtful, batch];
        return askHead(batch);
    }
  }

  return {
    async round(isProbe) {
      const fence = host.fence();
      if (!fence) {
        forget();
        host.onNotOwner([]);
        return {kind: 'not-owner'};
      }
      if (fence.epoch !== epoch) forget();
      epoch = fence.epoch;
      trim();
      const ops = host.takeOps(options.maxBatch);
      if (!(await load(ops))) {
        host.requeue(ops);
        return trouble;
      }
      const batch = planBatch(
        {
          ...host.beginFacts(),
          known: key => rows.get(key)?.row,
          retentionMs: host.retentionMs,
          isReleased: host.isReleased,
          isInDoubt: doubtful.length > 0,
          replay: host.replay,
        },
        ops,
        host.random.nextId(),
      );
      host.requeue(batch.deferred);
      if (batch.rows.size === 0 && !isProbe) {
        // No write was needed; whatever rests on known rows is durable.
        host.onApplied(batch.ops);
        return ok;
      }
      return write(batch, fence);
    },
    known: key => rows.get(key)?.row,
    isInDoubt: () => doubtful.length > 0,
  };
}
