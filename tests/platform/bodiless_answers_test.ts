/** Upstreams whose answers end with their head, to requests of all kinds. */

import assert from 'node:assert/strict';
import http from 'node:http';
import type net from 'node:net';
import {after, before, describe, test} from 'node:test';
import {ownLoopback} from '../support/free_address.js';
import {
  createSite,
  makeConfiguration,
  PATHS,
  PROMPT_HEADERS,
  untilReady,
  type Entry,
  type Site,
} from './relay_site.js';

const METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;
const BODIES: Readonly<Record<string, string | undefined>> = {
  none: undefined,
  small: 'rida=1',
  long: 'x'.repeat(200_000),
};

let site: Site;
let entry: Entry;
let server: http.Server;
let status = 204;
/** How often each request has run. */
const runs = new Map<string, number>();

function answer(message: http.IncomingMessage, response: http.ServerResponse) {
  message.resume();
  message.on('end', () => {
    const id = String(message.headers['x-request-id']);
    if (message.url?.startsWith('/corianderbend/')) {
      response.end(JSON.stringify({stage: 'decode', models: []}));
      return;
    }
    runs.set(id, (runs.get(id) ?? 0) + 1);
    response.writeHead(status, {'X-Request-Id': id, 'X-Engine-Stamp': 's'});
    response.end();
  });
}

before(async () => {
  site = await createSite();
  await site.addUpstream({id: 'p-1', service: 'drafts', role: 'prefill'});
  server = http.createServer(answer);
  const ip = ownLoopback();
  await new Promise<void>(resolve => server.listen(0, ip, resolve));
  const {port} = server.address() as net.AddressInfo;
  const row = {
    address: `${ip}:${port}`,
    zone: 'ylikool-saal',
    version: 'v1',
    slots: 16,
    state: 'ready',
    cold_left_ms: 0,
    seq: 1,
  };
  const models = [{name: 'm', version: 1, adapters: []}];
  site.store.put('servers', 'l-1', {...row, service: 'ledger'});
  site.store.put('servers', 'd-1', {
    ...{...row, service: 'drafts', stage: 'decode', models},
  });
  site.configure(makeConfiguration({limits: {max_body_bytes: 4_194_304}}));
  entry = await site.addEntry();
  await untilReady(site, entry);
});

after(async () => {
  await site.close();
  server.close();
  server.closeAllConnections();
});

describe('an answer without a body reaches the caller, and its request runs once', () => {
  // Guards against requests that ran and whose callers get a 502 or a reset.
  for (const [kind, path] of Object.entries(PATHS)) {
    for (const method of METHODS) {
      for (const [size, body] of Object.entries(BODIES)) {
        test(`${kind}: ${method}, body: ${size}`, async () => {
          for (status of [204, 304]) {
            runs.clear();
            const got = await site.call(entry, path, {
              method,
              body,
              headers: {
                ...PROMPT_HEADERS,
                'Content-Length': String(body?.length ?? 0),
              },
            });
            assert.equal(got.status, status);
            assert.equal(got.headers['x-engine-stamp'], 's');
            assert.equal(got.isCut, false);
            assert.equal(got.headers['content-length'], undefined);
            assert.equal(got.headers['transfer-encoding'], undefined);
            assert.deepEqual([...runs.values()], [1]);
          }
        });
      }
    }
  }
});
