/** Scans the journal for rows whose retention has ended and purges them. */

import {JOURNAL_PREFIX, parseJournalRow} from '../core/request/journal_rows.js';
import type {Clock} from '../ports/clock.js';
import type {ObjectStorePort, TablePort, TableRow} from '../ports/table.js';

export interface JournalPurgeHost {
  readonly clock: Clock;
  readonly table: TablePort;
  readonly objectStore: ObjectStorePort;
  /** Whether this process owns the partition and the platform responds. */
  isDue(): boolean;
  /** Deletes the row with the next transaction, if it is still expired. */
  queue(rowKey: string): void;
}

export interface JournalPurgeOptions {
  readonly purgeIntervalMs: number;
  readonly readTimeoutMs: number;
  readonly writeTimeoutMs: number;
}

export interface JournalPurge {
  stop(): void;
}

const PAGE_ROWS = 200;
/** Interval while most rows of a page have expired. */
const NEXT_PAGE_MS = 1_000;

export function createJournalPurge(
  host: JournalPurgeHost,
  options: JournalPurgeOptions,
): JournalPurge {
  const {clock} = host;
  let afterKey: string | undefined;
  let isStopped = false;

  /** Reads one page; returns whether most of its rows had expired. */
  async function readPage(): Promise<boolean> {
    const page = await host.table.scan(
      JOURNAL_PREFIX,
      {afterKey, limit: PAGE_ROWS},
      options.readTimeoutMs,
    );
    if (page.kind === 'failed') return false;
    const expired = page.value.filter(isExpired);
    expired.forEach(purgeRow);
    const isLast = page.value.length < PAGE_ROWS;
    afterKey = isLast ? undefined : page.value.at(-1)?.key;
    return expired.length > page.value.length / 2;
  }

  function isExpired({value}: TableRow): boolean {
    const row = parseJournalRow(value);
    return row !== undefined && row.expiresAtWallMs <= clock.wallMs();
  }

  function purgeRow({key, value}: TableRow): void {
    const row = parseJournalRow(value);
    const objectKey =
      row?.state === 'answered' ? row.answer.objectKey : undefined;
    if (objectKey !== undefined) {
      void host.objectStore.remove(objectKey, options.writeTimeoutMs);
    }
    host.queue(key);
  }

  async function runRound(): Promise<void> {
    const hasMore = host.isDue() && (await readPage());
    if (!isStopped) schedule(hasMore ? NEXT_PAGE_MS : options.purgeIntervalMs);
  }

  function schedule(delayMs: number): void {
    clock.setTimer(delayMs, () => void runRound());
  }

  schedule(options.purgeIntervalMs);
  return {
    stop() {
      isStopped = true;
    },
  };
}
