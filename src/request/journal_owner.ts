/**
 * The journal of one key partition, at the process that holds its lease.
 *
 * Batches intents and ends into group commits, refuses intents at once while
 * the platform doesn't respond, and withdraws intents whose requesters were
 * refused.
 */

import {journalRowKey, type RowAnswer} from '../core/request/journal_rows.js';
import type {Clock, TimerHandle} from '../ports/clock.js';
import type {
  IntentOutcome,
  IntentRequest,
  JournalEnd,
  JournalPort,
  StoredAnswer,
} from '../ports/journal.js';
import type {Logger} from '../ports/log.js';
import type {Random} from '../ports/random.js';
import type {ObjectStorePort, TablePort} from '../ports/table.js';
import {
  createJournalCommitter,
  type PartitionFence,
  type RoundResult,
} from './journal_committer.js';
import type {BeginOp, EndOp, JournalOp} from './journal_ops.js';
import {createJournalPurge} from './journal_purge.js';

export interface JournalOwnerHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly table: TablePort;
  readonly objectStore: ObjectStorePort;
  /** Undefined while this process does not hold the partition's lease. */
  fence(): PartitionFence | undefined;
  /** False only if this incarnation of the entry is known to be dead. */
  isEntryAlive(entry: string): boolean;
  /** Called for each transaction, for metrics. */
  onTransaction?(opCount: number): void;
}

export interface JournalOwnerOptions {
  readonly partition: number;
  /** Minimum time for which a group commit collects operations. */
  readonly flushMs: number;
  /** This partition's share of the platform's write rate. */
  readonly maxWritesPerSecond: number;
  readonly maxBatch: number;
  readonly maxQueued: number;
  /** Longest wait of a `begin`; it is then refused. */
  readonly beginTimeoutMs: number;
  /** After rounds have failed for this long, intents are refused at once. */
  readonly refuseAfterMs: number;
  readonly readTimeoutMs: number;
  readonly writeTimeoutMs: number;
  /** Answers with a larger body are put into the object store. */
  readonly maxInlineBytes: number;
  readonly runningRetryMs: number;
  /** Interval between scans for expired rows. */
  readonly purgeIntervalMs: number;
  retentionMs(service: string): number;
}

export const defaultJournalOwnerOptions: Omit<
  JournalOwnerOptions,
  'partition' | 'retentionMs'
> = {
  flushMs: 5,
  maxWritesPerSecond: 12,
  maxBatch: 200,
  maxQueued: 4_000,
  beginTimeoutMs: 1_000,
  refuseAfterMs: 300,
  readTimeoutMs: 400,
  writeTimeoutMs: 400,
  maxInlineBytes: 16_384,
  runningRetryMs: 50,
  purgeIntervalMs: 30_000,
};

export interface JournalOwner extends JournalPort {
  /** Number of operations that wait for a transaction. */
  queuedCount(): number;
  /** Stops the timers and refuses all queued operations. */
  close(): void;
}

const MAX_CACHED_ROWS = 20_000;
const KEEP_RELEASED_MS = 60_000;
const PLATFORM_RETRY_AFTER_MS = 1_000;
const NOT_OWNER_RETRY_AFTER_MS = 200;
const IN_DOUBT_PROBE_MS = 500;
/** Writes allowed in advance of the rate, so a single call needn't wait. */
const WRITE_BURST = 3;

function refused(
  reason: 'platform' | 'not-owner' | 'overloaded',
  retryAfterMs: number,
): IntentOutcome {
  return {kind: 'refused', reason, retryAfterMs};
}

const platformRefusal = refused('platform', PLATFORM_RETRY_AFTER_MS);
const ownerRefusal = refused('not-owner', NOT_OWNER_RETRY_AFTER_MS);

export function createJournalOwner(
  host: JournalOwnerHost,
  options: JournalOwnerOptions,
): JournalOwner {
  const {clock} = host;
  const writeIntervalMs = 1_000 / options.maxWritesPerSecond;
  let queue: JournalOp[] = [];
  let roundTimer: TimerHandle | undefined;
  let isInRound = false;
  let isClosed = false;
  let nextWriteAtMs = 0;
  let failingSinceMs: number | undefined;
  /** Release times of attempts whose intents must not be written any more. */
  const releasedAttempts = new Map<string, number>();

  const committer = createJournalCommitter(
    {
      clock,
      random: host.random,
      table: host.table,
      fence: () => host.fence(),
      beginFacts: () => ({
        nowWallMs: clock.wallMs(),
        runningRetryMs: options.runningRetryMs,
        isEntryAlive: entry => host.isEntryAlive(entry),
      }),
      retentionMs: service => options.retentionMs(service),
      replay: (op, answer, attemptId) => void replay(op, answer, attemptId),
      isReleased: attemptId => releasedAttempts.has(attemptId),
      takeOps,
      requeue(ops) {
        queue = [...ops, ...queue];
      },
      onNotOwner,
      onApplied,
      onTransaction: opCount => host.onTransaction?.(opCount),
    },
    {
      partition: options.partition,
      maxBatch: options.maxBatch,
      readTimeoutMs: options.readTimeoutMs,
      writeTimeoutMs: options.writeTimeoutMs,
      maxCachedRows: MAX_CACHED_ROWS,
    },
  );

  function takeOps(limit: number): readonly JournalOp[] {
    const live = queue.flatMap(replaceWithdrawn);
    queue = live.slice(limit);
    return live.slice(0, limit);
  }

  /**
   * Skips operations that nobody waits for. An intent that was already sent may
   * have applied, so it is replaced by its release; otherwise its key would
   * stay blocked.
   */
  function replaceWithdrawn(op: JournalOp): readonly JournalOp[] {
    if (!op.isWithdrawn) return [op];
    const mayHaveApplied = op.kind === 'begin' && op.wasSent;
    return mayHaveApplied ? [releaseOp(op.request, op.rowKey)] : [];
  }

  function onNotOwner(ops: readonly JournalOp[]): void {
    const waiting = [...ops, ...queue];
    queue = [];
    for (const op of waiting) {
      if (op.kind === 'begin') op.resolve(ownerRefusal);
      else if (op.kind === 'end') op.resolve(false);
    }
  }

  function onApplied(ops: readonly JournalOp[]): void {
    for (const op of ops) {
      if (op.kind === 'end') op.resolve(true);
      if (op.kind !== 'begin') continue;
      // The requester was refused while the write was in doubt. The intent has
      // applied, so it is released; otherwise its key would stay blocked.
      if (op.isWithdrawn) queue.push(releaseOp(op.request, op.rowKey));
      else op.resolve({kind: 'proceed'});
    }
  }

  function releaseOp(request: IntentRequest, rowKey: string): EndOp {
    recordReleased(request.attemptId);
    return {
      kind: 'end',
      rowKey,
      request,
      end: {kind: 'released'},
      resolve() {},
      isWithdrawn: false,
    };
  }

  function recordReleased(attemptId: string): void {
    releasedAttempts.set(attemptId, clock.nowMs());
    for (const [oldest, atMs] of releasedAttempts) {
      if (clock.nowMs() - atMs < KEEP_RELEASED_MS) break;
      releasedAttempts.delete(oldest);
    }
  }

  async function replay(
    op: BeginOp,
    answer: RowAnswer,
    attemptId: string,
  ): Promise<void> {
    const {status, headers, body, objectKey} = answer;
    if (objectKey === undefined) {
      const bytes = Buffer.from(body ?? '', 'base64');
      op.resolve({kind: 'answered', answer: {status, headers, body: bytes}});
      return;
    }
    const read = await host.objectStore.get(objectKey, options.readTimeoutMs);
    if (read.kind === 'failed') {
      // The call has run, so its repeat must not be refused as not run.
      op.resolve({kind: 'running', retryAfterMs: options.runningRetryMs});
    } else if (!read.value) {
      op.resolve({kind: 'outcome-unknown', attemptId});
    } else {
      const stored: StoredAnswer = {status, headers, body: read.value};
      op.resolve({kind: 'answered', answer: stored});
    }
  }

  function schedule(delayMs: number): void {
    if (roundTimer || isInRound || isClosed) return;
    const nextWriteInMs =
      nextWriteAtMs - WRITE_BURST * writeIntervalMs - clock.nowMs();
    roundTimer = clock.setTimer(Math.max(delayMs, nextWriteInMs), () => {
      roundTimer = undefined;
      void runRound();
    });
  }

  async function runRound(): Promise<void> {
    isInRound = true;
    nextWriteAtMs = Math.max(nextWriteAtMs, clock.nowMs()) + writeIntervalMs;
    const isProbe = failingSinceMs !== undefined || committer.isInDoubt();
    const result = await committer
      .round(isProbe)
      .catch((cause: unknown): RoundResult => {
        host.log.error('Journal round failed.', {cause: String(cause)});
        return {kind: 'retry', retryAfterMs: IN_DOUBT_PROBE_MS};
      });
    isInRound = false;
    afterRound(result);
  }

  function afterRound(result: RoundResult): void {
    if (result.kind === 'retry') {
      failingSinceMs ??= clock.nowMs();
      const hasWork = queue.some(op => !op.isWithdrawn);
      schedule(hasWork ? result.retryAfterMs : IN_DOUBT_PROBE_MS);
      return;
    }
    failingSinceMs = undefined;
    if (result.kind === 'ok' && committer.isInDoubt()) {
      schedule(IN_DOUBT_PROBE_MS);
    } else if (queue.length > 0) schedule(options.flushMs);
  }

  function isRefusing(): boolean {
    if (failingSinceMs === undefined) return false;
    return clock.nowMs() - failingSinceMs >= options.refuseAfterMs;
  }

  function begin(request: IntentRequest): Promise<IntentOutcome> {
    if (isClosed || !host.fence()) return Promise.resolve(ownerRefusal);
    if (isRefusing()) return Promise.resolve(platformRefusal);
    if (queue.length >= options.maxQueued) {
      return Promise.resolve(refused('overloaded', PLATFORM_RETRY_AFTER_MS));
    }
    return new Promise(resolve => {
      const timeoutMs = Math.min(request.timeoutMs, options.beginTimeoutMs);
      const timer = clock.setTimer(timeoutMs, () => {
        op.isWithdrawn = true;
        recordReleased(request.attemptId);
        resolve(platformRefusal);
      });
      const op: BeginOp = {
        kind: 'begin',
        rowKey: journalRowKey(request),
        request,
        isWithdrawn: false,
        wasSent: false,
        resolve(outcome) {
          clock.clearTimer(timer);
          resolve(outcome);
        },
      };
      queue.push(op);
      schedule(options.flushMs);
    });
  }

  async function storeLargeAnswer(
    request: IntentRequest,
    answer: StoredAnswer,
  ): Promise<string | undefined> {
    const objectKey = `journal/${request.attemptId}`;
    const stored = await host.objectStore.put(
      objectKey,
      answer.body,
      options.writeTimeoutMs,
    );
    return stored === 'stored' ? objectKey : undefined;
  }

  async function end(
    request: IntentRequest,
    ending: JournalEnd,
  ): Promise<boolean> {
    if (isClosed || !host.fence()) return false;
    if (ending.kind === 'released') recordReleased(request.attemptId);
    const isLarge =
      ending.kind === 'answered' &&
      ending.answer.body.length > options.maxInlineBytes;
    const objectKey = isLarge
      ? await storeLargeAnswer(request, ending.answer)
      : undefined;
    if (isLarge && objectKey === undefined) return false;
    return new Promise(resolve => {
      const timer = clock.setTimer(request.timeoutMs, () => {
        op.isWithdrawn = true;
        resolve(false);
      });
      const op: EndOp = {
        kind: 'end',
        rowKey: journalRowKey(request),
        request,
        end: ending,
        objectKey,
        isWithdrawn: false,
        resolve(isDurable) {
          clock.clearTimer(timer);
          resolve(isDurable);
        },
      };
      queue.push(op);
      schedule(options.flushMs);
    });
  }

  const purge = createJournalPurge(
    {
      clock,
      table: host.table,
      objectStore: host.objectStore,
      isDue: () => host.fence() !== undefined && failingSinceMs === undefined,
      queue(rowKey) {
        queue.push({kind: 'purge', rowKey, isWithdrawn: false});
        schedule(options.flushMs);
      },
    },
    options,
  );

  return {
    begin,
    end,
    queuedCount: () => queue.length,
    close() {
      isClosed = true;
      purge.stop();
      if (roundTimer) clock.clearTimer(roundTimer);
      onNotOwner([]);
    },
  };
}
