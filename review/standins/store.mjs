/**
 * The platform's metadata store: rows, conditional transactions and a feed.
 * It runs in the process of the script that starts it.
 */
import http from 'node:http';

const BASE = '/corianderbend';
/** Tables that the system may not write to. */
const FOREIGN_TABLES = new Set(['op', 'servers']);

export function encode(value) {
  return Buffer.from(JSON.stringify(value)).toString('base64');
}

export async function startStore() {
  const rows = new Map();
  const history = [];
  const waiting = new Set();
  const startedAtMs = Date.now();
  let version = 1;

  const idOf = (table, part, key) => JSON.stringify([table, part, key]);

  function write(row) {
    const id = idOf(row.table, row.part, row.key);
    if (row.deleted) rows.delete(id);
    else rows.set(id, row);
    history.push(row);
  }

  function answerFeeds() {
    for (const feed of [...waiting]) feed();
  }

  const page = found => ({
    rows: found,
    more_pages: false,
    ver: version,
    now_ms: Date.now() - startedAtMs,
  });

  function readRows(query) {
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const limit = Math.min(500, Number(query.get('limit') ?? 500));
    const found = [...rows.values()]
      .filter(row => row.table === query.get('table'))
      .filter(row => row.part === (query.get('part') ?? ''))
      .filter(row => row.key >= from && (to === null || row.key < to))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return {
      ...page(found.slice(0, limit)),
      more_pages: found.length > limit,
    };
  }

  function follow(query, response) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const changes = () =>
      history.filter(row => row.table === table && row.ver > after);
    const answer = () => {
      waiting.delete(tryAnswer);
      clearTimeout(timer);
      send(response, 200, page(changes()));
    };
    const tryAnswer = () => {
      if (changes().length > 0) answer();
    };
    const waitMs = Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    const timer = setTimeout(answer, waitMs);
    response.on('close', () => {
      waiting.delete(tryAnswer);
      clearTimeout(timer);
    });
    waiting.add(tryAnswer);
    tryAnswer();
  }

  function transact(text) {
    const call = JSON.parse(text);
    const entries = [...(call.puts ?? []), ...(call.delete ?? [])];
    if (entries.some(({table}) => FOREIGN_TABLES.has(table))) {
      return {status: 403, body: {}};
    }
    const current = (call.expect_rev ?? []).map(each => ({
      each,
      row: rows.get(idOf(each.table, each.part ?? '', each.key)),
    }));
    if (current.some(({each, row}) => (row?.ver ?? 0) !== each.ver)) {
      const found = current.flatMap(({row}) => row ?? []);
      return {status: 412, body: page(found)};
    }
    version++;
    for (const put of call.puts ?? []) {
      write({part: '', ...put, ver: version});
    }
    for (const row of call.delete ?? []) {
      write({part: '', ...row, ver: version, deleted: true});
    }
    answerFeeds();
    return {status: 200, body: page([])};
  }

  function handle(message, text, response) {
    const url = new URL(message.url, 'http://store');
    switch (url.pathname) {
      case `${BASE}/rows-get`:
        return send(response, 200, readRows(url.searchParams));
      case `${BASE}/rows-feed`:
        return follow(url.searchParams, response);
      case `${BASE}/rows-tx`: {
        const {status, body} = transact(text);
        return send(response, status, body);
      }
      default:
        return send(response, 404, {});
    }
  }

  const server = http.createServer((message, response) => {
    const chunks = [];
    message.on('data', bytes => chunks.push(bytes));
    message.on('end', () => {
      // The store takes some 4 ms for an answer.
      const text = Buffer.concat(chunks).toString();
      setTimeout(() => handle(message, text, response), 4);
    });
  });
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));

  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Writes a row as the operator or an engine does. */
    put(table, key, value) {
      const row = {table, part: '', key, value: encode(value)};
      write({...row, ver: ++version});
      answerFeeds();
    },
    remove(table, key) {
      write({table, part: '', key, ver: ++version, deleted: true});
      answerFeeds();
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

function send(response, status, body) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  response.end(text);
}
