/** Engines that break off within the head of their answer. */

import assert from 'node:assert/strict';
import net from 'node:net';
import {after, before, test} from 'node:test';
import {ownLoopback} from '../support/free_address.js';
import {
  createSite,
  makeConfiguration,
  PROMPT_HEADERS,
  untilReady,
  type Entry,
  type Site,
} from './relay_site.js';

const HEADS = {
  plain:
    'HTTP/1.1 200 OK\r\nX-Engine-Stamp: s\r\nX-Request-Id: {id}\r\nContent-Length: 5\r\n\r\n',
  stream:
    'HTTP/1.1 200 OK\r\nX-Engine-Stamp: s\r\nX-Request-Id: {id}\r\nContent-Type: text/event-stream\r\n\r\n',
} as const;
/** Shares of the head that are sent; the last one lacks its final line feed. */
const SENT_SHARES = [0, 0.05, 0.2, 0.4, 0.6, 0.8, 0.95, 1] as const;
const ENDS = ['end', 'resetAndDestroy'] as const;

/** How the upstreams answer the next calls. */
let answer: {
  readonly kind: keyof typeof HEADS;
  readonly share: number;
  readonly end: (typeof ENDS)[number];
} = {kind: 'plain', share: 0, end: 'end'};
let site: Site;
let entry: Entry;
const servers: net.Server[] = [];

async function addBreakingUpstream(id: string, row: object): Promise<void> {
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', bytes => {
      const requestId = /X-Request-Id: (\S+)/i.exec(String(bytes))?.[1] ?? '';
      const head = HEADS[answer.kind].replace('{id}', requestId);
      const size = Math.min(
        Math.floor(head.length * answer.share),
        head.length - 1,
      );
      const {end} = answer;
      socket.write(head.slice(0, size), () => socket[end]());
    });
  });
  const ip = ownLoopback();
  await new Promise<void>(resolve => server.listen(0, ip, resolve));
  servers.push(server);
  const {port} = server.address() as net.AddressInfo;
  const address = `${ip}:${port}`;
  site.store.put('servers', id, {
    address,
    zone: 'ylikool-saal',
    version: 'v1',
    slots: 16,
    state: 'ready',
    cold_left_ms: 0,
    seq: 1,
    ...row,
  });
}

before(async () => {
  site = await createSite();
  await site.addUpstream({id: 'p-1', service: 'drafts', role: 'prefill'});
  await addBreakingUpstream('l-1', {service: 'ledger'});
  await addBreakingUpstream('d-1', {service: 'drafts', stage: 'decode'});
  site.configure(makeConfiguration());
  entry = await site.addEntry();
  await untilReady(site, entry);
});

after(async () => {
  await site.close();
  for (const server of servers) server.close();
});

for (const end of ENDS) {
  test(`an answer that breaks off within its head is no success: ${end}`, async () => {
    // Guards against an empty body that is framed as the whole answer.
    for (const share of SENT_SHARES) {
      for (const [kind, path] of [
        ['plain', '/makse/1'],
        ['stream', '/mustand/1'],
      ] as const) {
        answer = {kind, share, end};
        const {status, headers} = await site.call(entry, path, {
          method: 'POST',
          body: 'rida=1',
          headers: {
            ...(kind === 'stream' ? PROMPT_HEADERS : {}),
            'X-Deadline-Ms': '1500',
          },
        });
        assert.ok(status >= 500, `${kind} at ${share}: ${status}`);
        assert.equal(headers['x-engine-stamp'], undefined);
      }
    }
  });
}
