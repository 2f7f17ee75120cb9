/**
 * A small deployment on loopback addresses for the scripts of this review: the
 * platform's store, engines, plain services and clients are stand-ins in this
 * process; the hosts are the project's own program, started as separate
 * processes with the command of the deploy file.
 */

import {spawn} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import {fileURLToPath} from 'node:url';

const ROOT = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '..',
  '..',
);
const BASE = '/corianderbend';
const HEARTBEAT_MS = 1_200;

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Milliseconds since the start of the script. */
export const nowMs = () => Math.round(performance.now());

/** Writes one line for each thing that was sent, answered or run. */
export function createRecord(folder) {
  const file = path.join(folder, 'record.txt');
  fs.writeFileSync(file, '');
  return {
    note(text) {
      fs.appendFileSync(file, `${String(nowMs()).padStart(6)} ms  ${text}\n`);
    },
  };
}

function listen(server, ip, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, () => resolve(server.address().port));
  });
}

async function findFreePort(ip) {
  const server = net.createServer();
  const port = await listen(server, ip);
  await new Promise(resolve => server.close(resolve));
  return port;
}

function readBody(message) {
  return new Promise(resolve => {
    const chunks = [];
    message.on('data', bytes => chunks.push(bytes));
    message.on('end', () => resolve(Buffer.concat(chunks)));
  });
}

function sendJson(response, status, value) {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** The store of PROTOCOL.md: rows, the feed and conditional transactions. */
export async function startStore() {
  const rows = new Map();
  const history = [];
  let version = 1;
  const feeds = new Set();
  const idOf = (table, key) => `${table}\u0000${key}`;
  const page = found => ({
    rows: found,
    more_pages: false,
    ver: version,
    now_ms: nowMs(),
  });

  function write(row) {
    const {table, key} = row;
    if (row.deleted) rows.delete(idOf(table, key));
    else rows.set(idOf(table, key), row);
    history.push(row);
  }

  function wake() {
    for (const feed of [...feeds]) feed();
  }

  function readRows(query) {
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const limit = Math.min(500, Number(query.get('limit') ?? 500));
    const found = [...rows.values()]
      .filter(row => row.table === query.get('table') && row.key >= from)
      .filter(row => to === null || row.key < to)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return {
      ...page(found.slice(0, limit)),
      more_pages: found.length > limit,
    };
  }

  function follow(query, response) {
    const after = Number(query.get('after'));
    const changed = () =>
      history.filter(
        row => row.table === query.get('table') && row.ver > after,
      );
    const answer = () => {
      clearTimeout(timer);
      feeds.delete(check);
      sendJson(response, 200, page(changed()));
    };
    const check = () => {
      if (changed().length > 0) answer();
    };
    const timer = setTimeout(answer, Number(query.get('wait_ms')));
    feeds.add(check);
    check();
  }

  function transact(body) {
    const call = JSON.parse(body.toString());
    const isSame = ({table, key, ver}) =>
      (rows.get(idOf(table, key))?.ver ?? 0) === ver;
    if (!call.expect_rev.every(isSame)) return [412, page([])];
    version++;
    for (const put of call.puts) write({...put, ver: version});
    for (const each of call.delete)
      write({...each, ver: version, deleted: true});
    wake();
    return [200, {ver: version, now_ms: nowMs()}];
  }

  const server = http.createServer(async (message, response) => {
    const body = await readBody(message);
    const url = new URL(message.url, 'http://store');
    switch (url.pathname) {
      case `${BASE}/rows-get`:
        return sendJson(response, 200, readRows(url.searchParams));
      case `${BASE}/rows-feed`:
        return follow(url.searchParams, response);
      case `${BASE}/rows-tx`:
        return sendJson(response, ...transact(body));
      default:
        return sendJson(response, 404, {});
    }
  });
  const port = await listen(server, '127.0.0.1');
  return {
    address: `127.0.0.1:${port}`,
    put(table, key, value) {
      const text = Buffer.from(JSON.stringify(value)).toString('base64');
      write({table, part: '', key, value: text, ver: ++version});
      wake();
    },
    remove(table, key) {
      write({table, part: '', key, ver: ++version, deleted: true});
      wake();
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/**
 * An engine or a plain service. Each run is recorded with its end; streams have
 * `events` events, one each `eventMs`. `preempt` returns how long a run is set
 * aside after its last event.
 */
export async function startUpstream(store, record, options) {
  const {id, service, stage, version = 'v1', slots = 8} = options;
  const {events = 10, eventMs = 100, workMs = 20, endAfterMs = 0} = options;
  const {preempt, dropsOnClose = true} = options;
  const runs = [];
  let handleCount = 0;
  let beats = 0;
  let state = 'ready';

  function headersOf(message) {
    return {
      'X-Request-Id': String(message.headers['x-request-id']),
      'X-Engine-Stamp': `stamp.${id}.${message.headers['x-request-id']}`,
    };
  }

  function startRun(message, body) {
    const run = {
      id: String(message.headers['x-request-id']),
      headers: message.headers,
      target: message.url,
      body,
      startedAtMs: nowMs(),
      end: 'open',
    };
    runs.push(run);
    record.note(`engine ${id} runs ${run.id}`);
    return run;
  }

  function endRun(run, how) {
    if (run.end !== 'open') return;
    run.end = how;
    run.endedAtMs = nowMs();
    record.note(`engine ${id} ended ${run.id}: ${how}`);
  }

  function stream(message, body, response) {
    const run = startRun(message, body);
    let next = Number(message.headers['last-event-id'] ?? '0') + 1;
    // Nothing is left of the stream: the answer by which servers of event
    // streams tell that.
    if (next > events) {
      response.writeHead(204, headersOf(message));
      response.end();
      return endRun(run, 'complete, 204');
    }
    response.writeHead(200, {
      ...headersOf(message),
      'Content-Type': 'text/event-stream',
    });
    let timer;
    const wait = (ms, step) => {
      timer = setTimeout(step, ms);
    };
    const finish = () => {
      response.end();
      endRun(run, 'complete');
    };
    const makeEvent = () => {
      response.write(`id: ${next}\ndata: token-${next}\n\n`);
      run.lastEvent = next;
      if (next++ >= events) return wait(endAfterMs, finish);
      const pauseMs = preempt?.(run) ?? 0;
      if (pauseMs > 0) record.note(`engine ${id} preempts ${run.id}`);
      return wait(pauseMs + eventMs, makeEvent);
    };
    wait(eventMs, makeEvent);
    response.on('close', () => {
      if (response.writableFinished) return;
      record.note(`engine ${id}: the connection of ${run.id} closed`);
      if (!dropsOnClose) return;
      clearTimeout(timer);
      endRun(run, 'its connection closed');
    });
  }

  function call(message, body, response) {
    const run = startRun(message, body);
    const timer = setTimeout(() => {
      response.writeHead(200, headersOf(message));
      response.end(`result of ${run.id}`);
      endRun(run, 'complete');
    }, workMs);
    response.on('close', () => {
      clearTimeout(timer);
      endRun(run, 'its connection closed');
    });
  }

  function takeRequest(message, body, response) {
    const expected = message.headers['x-expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, {'X-Instance-Id': id});
      return response.end();
    }
    if (!stage) return call(message, body, response);
    const isPrefill = message.headers['x-stage'] === 'prefill';
    if (isPrefill !== (stage === 'prefill')) {
      response.writeHead(421, {'X-Instance-Id': id});
      return response.end();
    }
    if (!isPrefill) return stream(message, body, response);
    const handle = `${id.replace(/\W/g, '')}${(++handleCount).toString(16)}`;
    const text = JSON.stringify({kv_handle: handle, tokens: 1, version: 1});
    response.writeHead(200, {
      ...headersOf(message),
      'Content-Type': 'application/json',
      'Content-Length': text.length,
    });
    return response.end(text);
  }

  const server = http.createServer(async (message, response) => {
    const body = await readBody(message);
    const {url} = message;
    if (url.startsWith(`${BASE}/kv-handle/`))
      return sendJson(response, 200, {});
    if (url === `${BASE}/report`) {
      const models = [{name: 'm', version: 1, adapters: []}];
      const open = runs.filter(run => run.end === 'open');
      const load = {running: open.length, kv_used: 0, kv_total: 30_000};
      return sendJson(response, 200, {
        ...{stage, models, busy: false, seq: 0, waiting: 0, ...load},
        kv_handles: 0,
        runs: open.map(run => [run.id, 100, run.lastEvent ?? 0, 5]),
      });
    }
    if (url === `${BASE}/order`) return sendJson(response, 409, {});
    return takeRequest(message, body, response);
  });
  const port = await listen(server, '127.0.0.1');
  const address = `127.0.0.1:${port}`;

  function beat() {
    store.put('servers', id, {
      service,
      address,
      zone: 'zone-1',
      version,
      slots,
      state,
      cold_left_ms: 0,
      ...(stage && {stage, models: [{name: 'm', version: 1, adapters: []}]}),
      seq: ++beats,
    });
  }
  beat();
  const timer = setInterval(beat, HEARTBEAT_MS);
  return {
    id,
    address,
    runs,
    drain() {
      state = 'draining';
      beat();
    },
    close() {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Renders a template as DEPLOY.md says. */
export function renderTemplate(text, fields) {
  const find = (name, scopes) => {
    if (name === '.') return scopes[0];
    for (const scope of scopes) {
      let value = scope;
      for (const part of name.split('.')) value = value?.[part];
      if (value !== undefined) return value;
    }
    return undefined;
  };
  const toText = value => {
    if (value === undefined || value === null) return '';
    if (Array.isArray(value)) return value.join(',');
    return typeof value === 'object' ? JSON.stringify(value) : String(value);
  };
  function render(part, scopes) {
    const section = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/;
    let rest = part;
    let made = '';
    for (let found = section.exec(rest); found; found = section.exec(rest)) {
      const [whole, sign, name, inner] = found;
      made += fill(rest.slice(0, found.index), scopes);
      rest = rest.slice(found.index + whole.length);
      const value = find(name, scopes);
      const isThere = value !== undefined && value !== false;
      if (sign === '^') made += isThere ? '' : render(inner, scopes);
      else if (Array.isArray(value)) {
        value.forEach((each, i) => {
          const comma = i < value.length - 1 ? ',' : '';
          made += render(inner.replaceAll('{{,}}', comma), [each, ...scopes]);
        });
      } else if (isThere) made += render(inner, scopes);
    }
    return made + fill(rest, scopes);
  }
  const fill = (part, scopes) =>
    part.replace(/\{\{([\w.]+)\}\}/g, (_, name) => toText(find(name, scopes)));
  return render(text, [fields]);
}

const RUN = ['target/main.mjs', 'relay', '--host-file-variable'];
const VARIABLE = 'CORIANDERBEND_NODE_FILE';

/** Starts hosts; `bounds` are added to those of the small sheets. */
export async function createHosts(store, record, {count, bounds = {}}) {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
  const template = fs.readFileSync(
    path.join(ROOT, 'deploy', 'relay.yaml.template'),
    'utf8',
  );
  const net16 = `127.${100 + Math.floor(Math.random() * 100)}.${
    1 + Math.floor(Math.random() * 250)
  }`;
  const ips = Array.from({length: count}, (_, i) => `${net16}.${10 + i}`);
  const [front, ready, directory, control] = await Promise.all(
    [0, 1, 2, 3].map(() => findFreePort(ips[0])),
  );
  const rangeFrom = 17_000 + Math.floor(Math.random() * 3_000);

  function toFields(ip, i, changed) {
    return {
      node: `front-${i + 1}`,
      role: 'entry',
      class: 'front',
      ip,
      zone: `zone-${1 + (i % 3)}`,
      region: 'region-1',
      listen: {
        front: `${ip}:${front}`,
        ready: `${ip}:${ready}`,
        control: `${ip}:${control}`,
        directory: `${ip}:${directory}`,
      },
      port_range: [rangeFrom, rangeFrom + 15],
      seeds: ips.slice(0, 3).map(each => `${each}:${control}`),
      bootstrap: true,
      limits: {
        ...{cpu_share: 0.675, cores: 1, memory_mb: 200, max_fds: 4100},
        ...{link_mbps: 1000, disk_mb: 0},
      },
      bounds: {
        ...{contact_ms: 3000, drain_ms: 2000, grace_s: 8, slack_ms: 200},
        ...{config_ms: 2000, retry_ratio: 0.2, retry_window_s: 10},
        ...{retry_slack: 58, recover_s: 12, lease_ms: 3000, fencing: true},
        ...bounds,
        ...changed,
      },
      platform: {address: store.address, form: 'table'},
    };
  }

  function createHost(ip, i) {
    const file = path.join(folder, `host-${i + 1}.conf`);
    const name = `front-${i + 1}`;
    let child;
    const host = {
      name,
      ip,
      front: `${ip}:${front}`,
      logFile: path.join(folder, `host-${i + 1}.log`),
      writeSettings(changed = {}) {
        fs.writeFileSync(
          file,
          renderTemplate(template, toFields(ip, i, changed)),
        );
      },
      start() {
        host.writeSettings();
        const log = fs.openSync(host.logFile, 'a');
        const {PATH, HOME, LANG} = process.env;
        child = spawn(process.execPath, [...RUN, VARIABLE], {
          cwd: ROOT,
          env: {PATH, HOME, LANG, [VARIABLE]: file},
          stdio: ['ignore', log, log],
        });
        fs.closeSync(log);
        const started = child;
        started.on('exit', (code, signal) => {
          started.hasEnded = true;
          record.note(`host ${name} ended: ${signal ?? `code ${code}`}`);
        });
        record.note(`host ${name} started`);
      },
      signal(signal) {
        if (!child || child.hasEnded) return;
        record.note(`host ${name} gets ${signal}`);
        child.kill(signal);
      },
      isRunning: () => Boolean(child) && !child.hasEnded,
      async isReady() {
        const {status} = await fetchText(`${ip}:${ready}`, `${BASE}/readyz`);
        return status === 200;
      },
      /** The addresses that its directory names. */
      async resolve() {
        const target = `${BASE}/resolve?name=a.example&region=region-1&zone=zone-1`;
        const {body} = await fetchText(`${ip}:${directory}`, target);
        return body ? JSON.parse(body).addresses : undefined;
      },
    };
    return host;
  }

  const hosts = ips.map(createHost);
  return {
    hosts,
    /** Resolves to whether all are ready and know each other in time. */
    async startAll(timeoutMs = 20_000) {
      for (const host of hosts) host.start();
      const untilMs = nowMs() + timeoutMs;
      while (nowMs() < untilMs) {
        await sleep(200);
        const states = await Promise.all(hosts.map(each => each.isReady()));
        const lists = await Promise.all(hosts.map(each => each.resolve()));
        const isComplete = list => list?.length === hosts.length;
        if (states.every(Boolean) && lists.every(isComplete)) return true;
      }
      return false;
    },
    async end() {
      for (const host of hosts) host.signal('SIGKILL');
      while (hosts.some(each => each.isRunning())) await sleep(20);
      fs.rmSync(folder, {recursive: true, force: true});
    },
  };
}

function fetchText(address, target) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const request = http.get(
      {host, port, path: target, agent: false, timeout: 1_000},
      async message => {
        const body = await readBody(message);
        resolve({status: message.statusCode, body: body.toString()});
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve({}));
  });
}

/**
 * Sends one request on a new connection. The outcome tells whether the answer
 * was complete by its framing.
 */
export function sendRequest(record, address, options) {
  const {id, method = 'POST', target, hostName = 'a.example'} = options;
  const {deadlineMs = 14_000, body = '', headers = {}, agent = false} = options;
  const [host, port] = address.split(':');
  const sentAtMs = nowMs();
  record.note(`client sends ${id} ${method} ${target} to ${address}`);
  return new Promise(resolve => {
    const settle = outcome => {
      const durationMs = nowMs() - sentAtMs;
      record.note(
        `client has ${id}: status ${outcome.status ?? '-'}, ` +
          `${outcome.isComplete ? 'complete' : `not complete (${outcome.why})`}` +
          `, ${outcome.body?.length ?? 0} bytes, after ${durationMs} ms`,
      );
      resolve({id, durationMs, sentAtMs, ...outcome});
    };
    const request = http.request(
      {
        host,
        port,
        method,
        path: target,
        agent,
        headers: {
          Host: hostName,
          'X-Request-Id': id,
          'X-Deadline-Ms': String(deadlineMs),
          'Content-Length': Buffer.byteLength(body),
          ...headers,
        },
      },
      message => {
        const chunks = [];
        message.on('data', bytes => chunks.push(bytes));
        message.on('error', () => undefined);
        message.on('close', () =>
          settle({
            status: message.statusCode,
            headers: message.headers,
            body: Buffer.concat(chunks).toString(),
            isComplete: message.complete,
            why: 'the connection closed',
          }),
        );
      },
    );
    request.on('error', error =>
      settle({isComplete: false, why: error.message}),
    );
    request.end(body);
  });
}

/**
 * Passes connections on to a host. `resetAfter` names a text; the connection is
 * reset once it has passed on its way back.
 */
export async function startProxy(record, target, {resetAfter} = {}) {
  const [host, port] = target.split(':');
  const sockets = new Set();
  const server = net.createServer(client => {
    const upstream = net.connect(Number(port), host);
    for (const socket of [client, upstream]) {
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.on('close', () => sockets.delete(socket));
    }
    let seen = '';
    upstream.on('data', bytes => {
      client.write(bytes, () => {
        if (!resetAfter) return;
        seen = (seen + bytes.toString('latin1')).slice(-4_096);
        if (!seen.includes(resetAfter) || client.destroyed) return;
        record.note('the proxy resets a connection of a client');
        client.resetAndDestroy();
        upstream.resetAndDestroy();
      });
    });
    client.on('data', bytes => upstream.write(bytes));
    upstream.on('end', () => client.end());
    client.on('end', () => upstream.end());
    upstream.on('close', () => client.destroy());
    client.on('close', () => upstream.destroy());
  });
  const proxyPort = await listen(server, '127.0.0.1');
  return {
    address: `127.0.0.1:${proxyPort}`,
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** The configuration of a small deployment. */
export function makeConfiguration(version, changes = {}) {
  const engine = {
    ...{slots: 8, kv_tokens: 30_000, kv_token_bytes: 35_136},
    ...{link_mbps: 260_000, moves: true, backups: true, stride: 12, most: 12},
    ...{kv_ttl_s: 0.5, switch_s: 6, pin_ms: 4_000, hold_ms: 2_000},
    models: [{name: 'm'}],
  };
  const base = {host: 'a.example', priority: 1, attempts: 1};
  const service = {health_path: '/healthz', max_conns: 110, protocol: 'h1'};
  return {
    version,
    routes: [
      {
        ...{...base, name: 'stream', prefix: '/stream/', kind: 'streaming'},
        ...{timeout_ms: 14_000, goal_ms: 900, gap_goal_ms: 300},
        ...{service: 'models', sticky: true, resumable: false},
      },
      {
        ...{...base, name: 'post', prefix: '/post/', kind: 'non_idempotent'},
        ...{timeout_ms: 5_000, goal_ms: 100, service: 'ledger'},
      },
      {
        ...{...base, name: 'look', prefix: '/look/', kind: 'idempotent'},
        ...{timeout_ms: 5_000, goal_ms: 100, service: 'ledger', attempts: 2},
      },
    ],
    services: [
      {...service, name: 'models', max_conns: 370, engine},
      {...service, name: 'ledger'},
    ],
    limits: {
      ...{max_header_bytes: 16_384, max_body_bytes: 4_194_304},
      ...{header_timeout_ms: 3_000, idle_timeout_ms: 15_000},
    },
    ...changes,
  };
}

/** Runs the case, ends everything that it started, and exits as the issue says. */
export async function runCase(folder, play) {
  const record = createRecord(folder);
  const withTrouble = process.env.TROUBLE !== '0';
  record.note(withTrouble ? 'with the disruption' : 'without the disruption');
  const closers = [];
  const limit = setTimeout(() => {
    record.note('the time is over');
    void finish(2);
  }, 110_000);
  async function finish(code) {
    clearTimeout(limit);
    for (const close of closers.reverse()) await close();
    record.note(`exit ${code}`);
    process.stdout.write(`exit ${code}\n`);
    process.exit(code);
  }
  try {
    const broken = await play({record, withTrouble, closers});
    for (const line of broken) {
      record.note(`BROKEN: ${line}`);
      process.stdout.write(`${line}\n`);
    }
    await finish(broken.length > 0 ? 1 : 0);
  } catch (error) {
    record.note(`could not run: ${error.stack}`);
    await finish(2);
  }
}
