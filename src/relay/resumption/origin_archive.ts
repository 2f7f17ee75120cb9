/**
 * Keeps the origins of streams in the store while a service has several
 * versions, so that they outlast all hosts.
 *
 * A few hosts collect the origins of all and write them in batches. Each batch
 * is a row of its own that is never changed, so that hosts which disagree on
 * who collects can't overwrite each other's, and a host that starts anew
 * doesn't overwrite what it wrote before. What a row says of a stream stays
 * true, also after a restore of the store.
 */

import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {TablePort, TableWrite} from '../../ports/table.js';
import {
  identityKeyOf,
  keptMsOf,
  packOrigins,
  unpackOrigins,
  type PackedOrigin,
  type StreamIdentity,
} from './origin_rows.js';
import type {StreamOrigin} from './stream_origins.js';

export interface OriginArchiveHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly table: TablePort;
  /**
   * Whether any stream of the service began at the same version, by the store
   * too, so that nothing needs to be kept.
   */
  isSingle(service: string): Promise<boolean>;
  onWritten(outcome: string): void;
}

export interface OriginArchive {
  /** Writes the origins soon, together with others. */
  add(origins: readonly StreamOrigin[]): void;
  /** Undefined if the store doesn't know the stream or can't be read. */
  find(identity: StreamIdentity): Promise<PackedOrigin | undefined>;
  /** Writes and deletes nothing more. */
  stop(): void;
}

interface QueuedOrigin {
  readonly origin: StreamOrigin;
  /** When its caller's deadline passes. */
  readonly expiresAtMs: number;
}

interface WrittenRow {
  readonly key: string;
  readonly expiresAtMs: number;
}

const KEY_PREFIX = 'origins-';
const KEY_DIGITS = 8;
/** What begins in the last moments before all hosts end is lost. */
const WRITE_INTERVAL_MS = 250;
/** After a write that failed. */
const WRITE_AGAIN_MS = 1_000;
const CALL_TIMEOUT_MS = 600;
/** Take-ups come in groups, and share one read. */
const READ_VALID_MS = 500;
const MAX_ROWS_READ = 2_000;
/** A row of this many is about 40 kB. */
const MAX_ORIGINS_PER_ROW = 3_000;
const MAX_QUEUED = 4 * MAX_ORIGINS_PER_ROW;
/** A transaction holds at most 100 entries. */
const MAX_DELETES = 90;
const DELETE_INTERVAL_MS = 5_000;

export function createOriginArchive(host: OriginArchiveHost): OriginArchive {
  const {clock, random, log, table} = host;
  const ownPrefix = `${KEY_PREFIX}${random.nextId()}-`;
  let queue: readonly QueuedOrigin[] = [];
  let isStopped = false;
  let rowCount = 0;
  /** Rows in the store that are to be deleted once they have expired. */
  let rows: readonly WrittenRow[] = [];
  let hasFoundEarlierRows = false;
  let writeTimer: TimerHandle | undefined;
  let deleteTimer: TimerHandle | undefined;
  let pendingRead: Promise<ReadonlyMap<string, PackedOrigin>> | undefined;
  let readAtMs = Number.NEGATIVE_INFINITY;

  /** Keeps the newest ones, whose callers have the most time. */
  function enqueue(entries: readonly QueuedOrigin[]): void {
    queue = entries.slice(-MAX_QUEUED);
  }

  function scheduleWrite(delayMs: number): void {
    if (isStopped) return;
    writeTimer ??= clock.setTimer(delayMs, () => {
      void write().then(isWritten => {
        writeTimer = undefined;
        if (queue.length === 0) return;
        scheduleWrite(isWritten ? WRITE_INTERVAL_MS : WRITE_AGAIN_MS);
      });
    });
  }

  /** Services with a single version need no archive. */
  async function takeNeeded(): Promise<readonly QueuedOrigin[]> {
    const taken = queue.slice(0, MAX_ORIGINS_PER_ROW);
    queue = queue.slice(taken.length);
    const singles = new Set<string>();
    for (const service of new Set(taken.map(({origin}) => origin.service))) {
      if (await host.isSingle(service)) singles.add(service);
    }
    const nowMs = clock.nowMs();
    return taken.filter(
      ({origin, expiresAtMs}) =>
        expiresAtMs > nowMs && !singles.has(origin.service),
    );
  }

  function transact(writes: readonly TableWrite[]) {
    const attemptId = random.nextId();
    return table.transact({attemptId, conditions: [], writes}, CALL_TIMEOUT_MS);
  }

  const scanRows = () =>
    table.scan(KEY_PREFIX, {limit: MAX_ROWS_READ}, CALL_TIMEOUT_MS);

  /** Resolves to false if the origins are queued again. */
  async function write(): Promise<boolean> {
    const entries = await takeNeeded();
    if (entries.length === 0) return true;
    const key = `${ownPrefix}${String(rowCount++).padStart(KEY_DIGITS, '0')}`;
    const value = packOrigins(entries.map(({origin}) => origin));
    const {kind} = await transact([{kind: 'put', key, value}]);
    host.onWritten(kind);
    // A row that may have been written is deleted like any other.
    rows = [...rows, {key, expiresAtMs: clock.nowMs() + keptMsOf(value)}];
    scheduleDelete();
    if (kind === 'applied') return true;
    log.warn('Origins of streams not archived.', {
      outcome: kind,
      origins: entries.length,
    });
    enqueue([...entries, ...queue]);
    return false;
  }

  function scheduleDelete(): void {
    if (isStopped || deleteTimer || rows.length === 0) return;
    deleteTimer = clock.setTimer(DELETE_INTERVAL_MS, () => {
      void deleteExpired().finally(() => {
        deleteTimer = undefined;
        scheduleDelete();
      });
    });
  }

  /** Rows of processes that have ended are deleted like own ones. */
  async function findEarlierRows(): Promise<void> {
    if (hasFoundEarlierRows) return;
    const read = await scanRows();
    if (read.kind !== 'read') return;
    hasFoundEarlierRows = true;
    const earlier = read.value
      .filter(({key}) => !key.startsWith(ownPrefix))
      .map(({key, value}) => ({
        key,
        expiresAtMs: clock.nowMs() + keptMsOf(value),
      }));
    rows = [...rows, ...earlier];
  }

  async function deleteExpired(): Promise<void> {
    await findEarlierRows();
    const expired = rows
      .filter(({expiresAtMs}) => expiresAtMs <= clock.nowMs())
      .slice(0, MAX_DELETES);
    if (expired.length === 0) return;
    const {kind} = await transact(
      expired.map(({key}) => ({kind: 'delete', key})),
    );
    if (kind !== 'applied') return;
    const deleted = new Set(expired);
    rows = rows.filter(each => !deleted.has(each));
  }

  async function readAll(): Promise<ReadonlyMap<string, PackedOrigin>> {
    const known = new Map<string, PackedOrigin>();
    const read = await scanRows();
    if (read.kind !== 'read') return known;
    for (const {value} of read.value) unpackOrigins(value, known);
    return known;
  }

  return {
    add(origins) {
      const nowMs = clock.nowMs();
      const added = origins.map(origin => ({
        origin,
        expiresAtMs: nowMs + origin.leftMs,
      }));
      enqueue([...queue, ...added]);
      if (queue.length > 0) scheduleWrite(WRITE_INTERVAL_MS);
    },
    async find(identity) {
      const nowMs = clock.nowMs();
      if (!pendingRead || nowMs - readAtMs > READ_VALID_MS) {
        readAtMs = nowMs;
        pendingRead = readAll();
      }
      return (await pendingRead).get(identityKeyOf(identity));
    },
    stop() {
      isStopped = true;
      if (writeTimer) clock.clearTimer(writeTimer);
      if (deleteTimer) clock.clearTimer(deleteTimer);
    },
  };
}
