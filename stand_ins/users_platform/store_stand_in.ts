/**
 * Stand-in for the store of the users' platform, over real sockets: rows of
 * tables, a change feed, conditional transactions, and outages.
 */

import http from 'node:http';
import type {AddressInfo} from 'node:net';

interface Row {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value?: string;
  readonly ver: number;
  readonly deleted?: boolean;
}

/** How the store handles calls. */
export type StoreMode =
  | 'serving'
  /** Refuses with 503. */
  | 'busy'
  /** Accepts calls and never answers. */
  | 'silent'
  /** Applies writes but loses the answers. */
  | 'answers-lost';

/** A copy of all acknowledged state at one moment. */
export interface StoreCopy {
  readonly rows: readonly Row[];
  readonly history: readonly Row[];
  readonly version: number;
}

export interface StoreStandIn {
  /** `ip:port`. */
  readonly address: string;
  /**
   * Writes a row as an operator or an upstream does, and returns the new
   * version.
   */
  put(table: string, key: string, value: unknown): number;
  remove(table: string, key: string): void;
  get(table: string, key: string): unknown;
  setMode(mode: StoreMode): void;
  copy(): StoreCopy;
  /**
   * Restores an older copy: later writes are lost, their version numbers are
   * assigned again, and the era increases.
   */
  restore(copy: StoreCopy): void;
  /** Drops the history of changes, from which feeds resume. */
  dropHistory(): void;
  callCount(): number;
  close(): void;
}

interface PendingFeed {
  readonly table: string;
  readonly after: number;
  readonly answer: () => void;
}

const BASE = '/corianderbend';

export async function createStoreStandIn(): Promise<StoreStandIn> {
  const rows = new Map<string, Row>();
  let history: Row[] = [];
  let version = 1;
  let historyFrom = 0;
  let mode: StoreMode = 'serving';
  let callTotal = 0;
  let era = 0;
  let pendingFeeds: PendingFeed[] = [];

  const idOf = (table: string, key: string) => `${table}\u0000${key}`;

  function write(row: Row): void {
    if (row.deleted) rows.delete(idOf(row.table, row.key));
    else rows.set(idOf(row.table, row.key), row);
    history.push(row);
  }

  function answerPendingFeeds(): void {
    const feeds = pendingFeeds;
    pendingFeeds = [];
    for (const feed of feeds) feed.answer();
  }

  function page(found: readonly Row[]): object {
    return {rows: found, more_pages: false, ver: version, now_ms: Date.now()};
  }

  function readRows(query: URLSearchParams): object {
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const found = [...rows.values()]
      .filter(row => row.table === query.get('table') && row.key >= from)
      .filter(row => to === null || row.key < to)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return page(found);
  }

  function feed(query: URLSearchParams, response: http.ServerResponse): void {
    const after = Number(query.get('after'));
    const table = query.get('table') ?? '';
    if (after < historyFrom || after > version) return send(response, 410, {});
    const changed = () =>
      history.filter(row => row.table === table && row.ver > after);
    if (changed().length > 0) return send(response, 200, page(changed()));
    const timer = setTimeout(
      () => {
        // Otherwise each write would check all feeds that ever timed out.
        pendingFeeds = pendingFeeds.filter(each => each !== pendingFeed);
        send(response, 200, page(changed()));
      },
      Number(query.get('wait_ms')),
    );
    const pendingFeed: PendingFeed = {
      table,
      after,
      answer() {
        if (changed().length === 0) {
          pendingFeeds.push(pendingFeed);
          return;
        }
        clearTimeout(timer);
        send(response, 200, page(changed()));
      },
    };
    pendingFeeds.push(pendingFeed);
  }

  function transact(body: string): {status: number; body: object} {
    const call = JSON.parse(body) as {
      expect_rev: readonly Row[];
      puts: readonly Row[];
      delete: readonly Row[];
    };
    const failed = call.expect_rev.filter(
      ({table, key, ver}) => (rows.get(idOf(table, key))?.ver ?? 0) !== ver,
    );
    if (failed.length > 0) return {status: 412, body: page([])};
    version++;
    for (const put of call.puts) write({...put, ver: version});
    for (const row of call.delete) {
      write({...row, ver: version, deleted: true});
    }
    answerPendingFeeds();
    return {status: 200, body: {ver: version, now_ms: Date.now()}};
  }

  function handle(
    message: http.IncomingMessage,
    body: string,
    response: http.ServerResponse,
  ): void {
    callTotal++;
    response.setHeader('Store-Era', era);
    if (mode === 'silent') return;
    if (mode === 'busy') return send(response, 503, {});
    const url = new URL(message.url ?? '/', 'http://store');
    switch (url.pathname) {
      case `${BASE}/rows-get`:
        return send(response, 200, readRows(url.searchParams));
      case `${BASE}/rows-feed`:
        return feed(url.searchParams, response);
      case `${BASE}/rows-tx`: {
        const outcome = transact(body);
        if (mode === 'answers-lost') return void response.destroy();
        return send(response, outcome.status, outcome.body);
      }
      default:
        return send(response, 404, {});
    }
  }

  const server = http.createServer((message, response) => {
    const chunks: Buffer[] = [];
    message.on('data', (bytes: Buffer) => chunks.push(bytes));
    message.on('end', () =>
      handle(message, Buffer.concat(chunks).toString(), response),
    );
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;

  return {
    address: `127.0.0.1:${port}`,
    put(table, key, value) {
      const text = Buffer.from(JSON.stringify(value)).toString('base64');
      write({table, part: '', key, value: text, ver: ++version});
      answerPendingFeeds();
      return version;
    },
    remove(table, key) {
      write({table, part: '', key, ver: ++version, deleted: true});
      answerPendingFeeds();
    },
    get(table, key) {
      const row = rows.get(idOf(table, key));
      if (!row?.value) return undefined;
      return JSON.parse(Buffer.from(row.value, 'base64').toString());
    },
    setMode(next) {
      mode = next;
    },
    copy: () => ({
      rows: [...rows.values()],
      history: [...history],
      version,
    }),
    restore(copy) {
      rows.clear();
      for (const row of copy.rows) rows.set(idOf(row.table, row.key), row);
      history = [...copy.history];
      version = copy.version;
      era++;
      // A store has no open calls after an outage.
      pendingFeeds = [];
      server.closeAllConnections();
    },
    dropHistory() {
      history = [];
      historyFrom = version + 1;
    },
    callCount: () => callTotal,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

function send(
  response: http.ServerResponse,
  status: number,
  body: object,
): void {
  if (response.headersSent || response.destroyed) return;
  response.writeHead(status, {'Content-Type': 'application/json'});
  response.end(JSON.stringify(body));
}
