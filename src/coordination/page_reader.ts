/**
 * Reads member records from other members, page by page: all records after the
 * start, and later those of members known only from the host list.
 */

import type {Member} from './member_records.js';

export interface PageReaderHost {
  schedule(delayMs: number, callback: () => void): void;
  running(): readonly Member[];
  /** Requests the page that starts at `cursor` from any member. */
  request(cursor: string): void;
}

export interface PageReader {
  start(): void;
  /** Handles a page; `next` is the cursor of the next one, empty at the end. */
  handlePage(next: string): void;
  /** Whether all members were read once and none lacks its details. */
  isComplete(): boolean;
}

const PAGE_INTERVAL_MS = 100;
/** The page is requested from another member after this time. */
const PAGE_TIMEOUT_MS = 500;
/** Between two passes over the members; gossip fills most gaps meanwhile. */
const PASS_INTERVAL_MS = 2_000;

export function createPageReader(host: PageReaderHost): PageReader {
  let cursor: string | undefined = '';
  let isFirstPass = true;
  let isComplete = false;

  /** Returns the first member at or after `from` that lacks its details. */
  function findIncompleteMember(from: string): string | undefined {
    let found: string | undefined;
    for (const {hostId, callerAddress} of host.running()) {
      if (callerAddress !== '' || hostId < from) continue;
      if (found === undefined || hostId < found) found = hostId;
    }
    return found;
  }

  function readNextPage(previousCursor: string | undefined): void {
    if (cursor === undefined) {
      isFirstPass = false;
      cursor = findIncompleteMember('');
      isComplete ||= cursor === undefined;
      host.schedule(PASS_INTERVAL_MS, () => readNextPage(undefined));
      return;
    }
    const hasMoved = previousCursor !== cursor;
    const requestedCursor = cursor;
    host.request(cursor);
    host.schedule(hasMoved ? PAGE_INTERVAL_MS : PAGE_TIMEOUT_MS, () =>
      readNextPage(requestedCursor),
    );
  }

  return {
    start() {
      host.schedule(PAGE_INTERVAL_MS, () => readNextPage(undefined));
    },
    isComplete: () => isComplete,
    handlePage(next) {
      if (cursor === undefined || (next !== '' && next <= cursor)) return;
      const isEnd = next === '';
      if (isEnd) cursor = undefined;
      else cursor = isFirstPass ? next : findIncompleteMember(next);
    },
  };
}
