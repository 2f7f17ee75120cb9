/**
 * Writes the journal of a partition, one transaction at a time with many
 * operations each.
 *
 * Every transaction is conditional on the partition's lease epoch and on the
 * version of the partition's head row, and writes the head row. So at most one
 * transaction applies to each version of the head. After a transaction with an
 * unknown outcome, the next one on the same head version resolves the doubt. If
 * it applies, the earlier one can't apply any more; if it is rejected, the head
 * row names the one that applied. So a write whose answer was lost, or that the
 * platform applies late, neither runs a call twice nor blocks its key
 * permanently.
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
  type CachedRow,
} from './journal_ops.js';
import {planBatch, type PlanHost} from './journal_plan.js';

export interface PartitionFence {
  readonly epoch: number;
  /** True while the lease has this epoch. */
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
  /** Removes up to `limit` operations from the front of the queue. */
  takeOps(limit: number): readonly JournalOp[];
  /** Puts operations back at the front of the queue. */
  requeue(ops: readonly JournalOp[]): void;
  /** Called when the lease is lost; refuses these and all queued operations. */
  onNotOwner(ops: readonly JournalOp[]): void;
  /** Called when the operations have become durable. */
  onApplied(ops: readonly JournalOp[]): void;
  onTransaction?(opCount: number): void;
}

export interface CommitterOptions {
  readonly partition: number;
  readonly maxBatch: number;
  readonly readTimeoutMs: number;
  readonly writeTimeoutMs: number;
  readonly maxCachedRows: number;
}

/** Result of one round. After `retry` the caller waits before the next one. */
export type RoundResult =
  | {readonly kind: 'ok'}
  | {readonly kind: 'not-owner'}
  | {readonly kind: 'retry'; readonly retryAfterMs: number};

export interface JournalCommitter {
  /** With `isProbe`, writes the head row even without operations. */
  round(isProbe: boolean): Promise<RoundResult>;
  known(rowKey: string): CachedRow | undefined;
  /** Whether an earlier transaction may still apply. */
  isInDoubt(): boolean;
}

/** Version that stands for a row that does not exist. */
const ABSENT = 0;
const FAILED_ROUND_RETRY_MS = 100;

const ok: RoundResult = {kind: 'ok'};
const retryLater: RoundResult = {
  kind: 'retry',
  retryAfterMs: FAILED_ROUND_RETRY_MS,
};

interface VersionedRow {
  readonly row: CachedRow;
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
  /** Undefined until read; `ABSENT` if the row does not exist. */
  let headVersion: number | undefined;
  let rows = new Map<string, VersionedRow>();
  /** Transactions on the current head version whose outcome is unknown. */
  let inDoubtBatches: readonly JournalBatch[] = [];

  function clearCache(): void {
    headVersion = undefined;
    rows = new Map();
    inDoubtBatches = [];
  }

  function cacheRow(key: string, row: CachedRow, version: number): void {
    rows.delete(key);
    rows.set(key, {row, version});
  }

  /**
   * Evicts the oldest cached rows. Called only between rounds, since a row
   * evicted within a round would be missing for the operation that loaded it.
   */
  function evictOldRows(): void {
    for (const key of rows.keys()) {
      if (rows.size <= options.maxCachedRows) return;
      rows.delete(key);
    }
  }

  function setHeadVersion(row: TableRow | undefined): void {
    headVersion = row?.version ?? ABSENT;
  }

  /** Reads the head row and the rows of `ops` that aren't cached. */
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
    if (headVersion === undefined) setHeadVersion(found.get(headKey));
    for (const key of unknownKeys) {
      const row = found.get(key);
      const parsed = row && (parseJournalRow(row.value) ?? 'unreadable');
      cacheRow(key, parsed ?? 'absent', row?.version ?? ABSENT);
    }
    return true;
  }

  function commit(batch: JournalBatch, version: number): void {
    headVersion = version;
    inDoubtBatches = [];
    for (const [key, row] of batch.rows) {
      const before = rows.get(key)?.version ?? ABSENT;
      cacheRow(key, row, row === 'absent' ? ABSENT : before + 1);
    }
    host.onApplied(batch.ops);
  }

  function withoutDone(ops: readonly JournalOp[], done: readonly JournalOp[]) {
    return ops.filter(op => !done.includes(op));
  }

  /**
   * Reads the head row to find out which of the in-doubt transactions applied.
   * `batch` is the newest of them.
   */
  async function resolveInDoubt(batch: JournalBatch): Promise<RoundResult> {
    const outcome = await host.table.read([headKey], options.readTimeoutMs);
    if (outcome.kind === 'failed') {
      host.requeue(batch.ops);
      return retryLater;
    }
    const head = outcome.value[0];
    if ((head?.version ?? ABSENT) === headVersion) {
      host.requeue(batch.ops);
      return retryLater;
    }
    const applied = inDoubtBatches.find(
      inDoubtBatch => inDoubtBatch.attemptId === head?.value['attemptId'],
    );
    if (applied && head.version === headVersion! + 1) {
      commit(applied, head.version);
      host.requeue(withoutDone(batch.ops, applied.ops));
      return ok;
    }
    // Another process has written, so the cache is stale.
    clearCache();
    host.requeue(batch.ops);
    return retryLater;
  }

  /** Requires the lease, head and rows to be unchanged since the planning. */
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
          kind: 'retry',
          retryAfterMs: Math.max(FAILED_ROUND_RETRY_MS, outcome.retryAfterMs),
        };
      case 'rejected':
        // This process was paused past its lease. With the new epoch, none of
        // its earlier transactions can apply any more.
        if (outcome.failedKeys.includes(fence.condition.key)) {
          clearCache();
          host.onNotOwner(batch.ops);
          return {kind: 'not-owner'};
        }
        if (!outcome.failedKeys.includes(headKey)) {
          // The owner of another partition wrote the row, which can happen
          // while the number of partitions changes. The next round reads it.
          outcome.failedKeys.forEach(key => rows.delete(key));
          host.requeue(batch.ops);
          return retryLater;
        }
        return resolveInDoubt(batch);
      case 'unknown':
        inDoubtBatches = [...inDoubtBatches, batch];
        return resolveInDoubt(batch);
    }
  }

  return {
    async round(isProbe) {
      const fence = host.fence();
      if (!fence) {
        clearCache();
        host.onNotOwner([]);
        return {kind: 'not-owner'};
      }
      if (fence.epoch !== epoch) clearCache();
      epoch = fence.epoch;
      evictOldRows();
      const ops = host.takeOps(options.maxBatch);
      if (!(await load(ops))) {
        host.requeue(ops);
        return retryLater;
      }
      const batch = planBatch(
        {
          ...host.beginFacts(),
          known: key => rows.get(key)?.row,
          retentionMs: host.retentionMs,
          isReleased: host.isReleased,
          isInDoubt: inDoubtBatches.length > 0,
          replay: host.replay,
        },
        ops,
        host.random.nextId(),
      );
      host.requeue(batch.deferred);
      if (batch.rows.size === 0 && !isProbe) {
        // No write was needed; ends that match cached rows are durable.
        host.onApplied(batch.ops);
        return ok;
      }
      return write(batch, fence);
    },
    known: key => rows.get(key)?.row,
    isInDoubt: () => inDoubtBatches.length > 0,
  };
}
