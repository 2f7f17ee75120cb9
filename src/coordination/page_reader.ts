/**
 * Reads the members from others, page by page: all of them after the start,
 * and later those that this host knows only by name from the host list.
 */

import type {Member} from './member_records.js';

export interface PageReaderHost {
  later(delayMs: number, act: () => void): void;
  running(): readonly Member[];
  /** Asks some member for a page from `cursor` on. */
  request(cursor: string): void;
}

export interface PageReader {
  start(): void;
  /** A page came; `next` is where the next one begins, empty at the end. */
  received(next: string): void;
  /** All members have been read once, and none is known by name only. */
  hasAll(): boolean;
}

const INTERVAL_MS = 100;
/** Then another member is asked. */
const TIMEOUT_MS = 500;
/** Between two readings; gossip fills most gaps meanwhile. */
const PAUSE_MS = 2_000;

export function createPageReader(host: PageReaderHost): PageReader {
  let cursor: string | undefined = '';
  let isFirstReading = true;
  let hasAll = false;

  /** The first member from `cursor` on that is known by name only. */
  function findGap(from: string): string | undefined {
    let found: string | undefined;
    for (const {hostId, callerAddress} of host.running()) {
      if (callerAddress !== '' || hostId < from) continue;
      if (found === undefined || hostId < found) found = hostId;
    }
    return found;
  }

  function read(askedFor: string | undefined): void {
    if (cursor === undefined) {
      isFirstReading = false;
      cursor = findGap('');
      hasAll ||= cursor === undefined;
      host.later(PAUSE_MS, () => read(undefined));
      return;
    }
    const hasMoved = askedFor !== cursor;
    const asked = cursor;
    host.request(cursor);
    host.later(hasMoved ? INTERVAL_MS : TIMEOUT_MS, () => read(asked));
  }

  return {
    start() {
      host.later(INTERVAL_MS, () => read(undefined));
    },
    hasAll: () => hasAll,
    received(next) {
      if (cursor === undefined || (next !== '' && next <= cursor)) return;
      const isEnd = next === '';
      if (isEnd) cursor = undefined;
      else cursor = isFirstReading ? next : findGap(next);
    },
  };
}
