/** Engines that answer an upload before they have read it, and odd statuses. */

import assert from 'node:assert/strict';
import net from 'node:net';
import {after, before, test} from 'node:test';
import {ownLoopback} from '../support/free_address.js';
import {
  createSite,
  makeConfiguration,
  untilReady,
  type Entry,
  type Site,
} from './relay_site.js';

const RESET_DELAYS_MS = [5, 100] as const;
const SIZES_BYTES = [100_000, 1_000_000] as const;

let answer: {readonly head: string; readonly resetAfterMs?: number};
let site: Site;
let entry: Entry;
const servers: net.Server[] = [];

/** Answers as soon as the head of the request has come, and reads no more. */
function answerEarly(socket: net.Socket, bytes: Buffer): void {
  socket.pause();
  const requestId = /X-Request-Id: (\S+)/i.exec(String(bytes))?.[1] ?? '';
  const headers = `X-Engine-Stamp: s\r\nX-Request-Id: ${requestId}`;
  const {head, resetAfterMs} = answer;
  socket.end(`HTTP/1.1 ${head}\r\n${headers}\r\n\r\nhalf`);
  if (resetAfterMs === undefined) return;
  setTimeout(() => socket.resetAndDestroy(), resetAfterMs);
}

before(async () => {
  site = await createSite();
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', bytes => answerEarly(socket, bytes));
  });
  const ip = ownLoopback();
  await new Promise<void>(resolve => server.listen(0, ip, resolve));
  servers.push(server);
  const {port} = server.address() as net.AddressInfo;
  site.store.put('servers', 'l-1', {
    address: `${ip}:${port}`,
    zone: 'ylikool-saal',
    version: 'v1',
    slots: 16,
    state: 'ready',
    cold_left_ms: 0,
    seq: 1,
    service: 'ledger',
  });
  const limits = {max_body_bytes: 4_194_304};
  site.configure(makeConfiguration({limits}));
  entry = await site.addEntry();
  await untilReady(site, entry);
});

after(async () => {
  await site.close();
  for (const server of servers) server.close();
});

test('half an early answer to an upload does not reach the caller as whole', async () => {
  // Guards against an upstream that answers, ends its side and resets later.
  for (const resetAfterMs of RESET_DELAYS_MS) {
    for (const size of SIZES_BYTES) {
      for (const path of ['/makse/1', '/saldo/1']) {
        answer = {head: '200 OK', resetAfterMs};
        const body = 'x'.repeat(size);
        const got = await site.call(entry, path, {method: 'POST', body});
        assert.ok(got.status >= 500, `${path} ${size}: ${got.status}`);
        assert.equal(got.headers['x-engine-stamp'], undefined);
      }
    }
  }
});

test('an answer with a status that is none does not reach the caller', async () => {
  // Guards against numbers that no caller can take for an outcome.
  for (const status of ['101', '600', '999']) {
    answer = {head: `${status} Odd\r\nContent-Length: 4`};
    const got = await site.call(entry, '/makse/1', {method: 'POST', body: 'a'});
    assert.equal(got.status, 502);
    assert.equal(got.headers['x-engine-stamp'], undefined);
  }
});
