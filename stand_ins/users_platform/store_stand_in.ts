/**
 * Stand-in for the users' platform store over real sockets: rows of tables,
 * a feed of changes, transactions under conditions, and its outages.
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

/** How the store treats calls. */
export type StoreMode =
  | 'serving'
  /** Refuses with 503. */
  | 'busy'
  /** Takes calls and never answers. */
  | 'silent'
  /** Carries writes out and loses the answers. */
  | 'answers-lost';

/** All that the store had acknowledged at one moment. */
export interface StoreCopy {
  readonly rows: readonly Row[];
  readonly history: readonly Row[];
  readonly version: number;
}

export interface StoreStandIn {
  /** `ip:port`. */
  readonly address: string;
  /** Writes a row as the operator or an upstream would; the new version. */
  put(table: string, key: string, value: unknown): number;
  remove(table: string, key: string): void;
  get(table: string, key: string): unknown;
  setMode(mode: StoreMode): void;
  copy(): StoreCopy;
  /**
   * Comes back from an older copy: what was written since is gone, its
   * versions are given out again, and an era begins.
   */
  restore(copy: StoreCopy): void;
  /** Drops the history that feeds resume from. */
  dropHistory(): void;
  callCount(): number;
  close(): void;
}

interface Waiter {
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
  let calls = 0;
  let era = 0;
  let waiters: Waiter[] = [];

  const idOf = (table: string, key: string) => `${table}\u0000${key}`;

  function write(row: Row): void {
    if (row.deleted) rows.delete(idOf(row.table, row.key));
    else rows.set(idOf(row.table, row.key), row);
    history.push(row);
  }

  function wake(): void {
    const due = waiters;
    waiters = [];
    for (const waiter of due) waiter.answer();
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
        // Else each write looks at all feeds that ever waited in vain.
        waiters = waiters.filter(each => each !== waiter);
        send(response, 200, page(changed()));
      },
      Number(query.get('wait_ms')),
    );
    const waiter: Waiter = {
      table,
      after,
      answer() {
        if (changed().length === 0) {
          waiters.push(waiter);
          return;
        }
        clearTimeout(timer);
        send(response, 200, page(changed()));
      },
    };
    waiters.push(waiter);
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
    wake();
    return {status: 200, body: {ver: version, now_ms: Date.now()}};
  }

  function handle(
    message: http.IncomingMessage,
    body: string,
    response: http.ServerResponse,
  ): void {
    calls++;
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
      wake();
      return version;
    },
    remove(table, key) {
      write({table, part: '', key, ver: ++version, deleted: true});
      wake();
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
      // A store that was away has no open calls.
      waiters = [];
      server.closeAllConnections();
    },
    dropHistory() {
      history = [];
      historyFrom = version + 1;
    },
    callCount: () => calls,
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
