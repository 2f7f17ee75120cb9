import assert from 'node:assert/strict';
import net from 'node:net';
import {after, before, test} from 'node:test';
import fc from 'fast-check';
import {
  createHttpExchange,
  readWhole,
  type HttpExchange,
} from '../../src/adapters/http_exchange.js';
import {createSystemClock} from '../../src/adapters/system_clock.js';
import {takeRequests} from '../support/raw_requests.js';

const RUNS = 300;
const MAX_BYTES = 1_000_000;
const BODY = 'all of it';

/** How an upstream frames an answer; an unframed one ends its connection. */
const FRAMINGS = {
  length: `Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
  chunks: `Transfer-Encoding: chunked\r\n\r\n4\r\n${BODY.slice(0, 4)}\r\n5\r\n${BODY.slice(4)}\r\n0\r\n\r\n`,
  unframed: `Connection: close\r\n\r\n${BODY}`,
  empty: 'Content-Length: 0\r\n\r\n',
} as const;
type Framing = keyof typeof FRAMINGS;

/** The heads of answers that have no body by their status or method. */
const BODILESS_HEADS = [
  '\r\n',
  'Content-Length: 9\r\n\r\n',
  'Transfer-Encoding: chunked\r\n\r\n',
  'Connection: close\r\n\r\n',
] as const;

const BODILESS_STATUSES = [204, 304] as const;
const methods = fc.constantFrom('GET', 'POST', 'PUT', 'PATCH', 'DELETE');
const informational = fc.constantFrom('', 'HTTP/1.1 103 Early\r\n\r\n');
const uploads = fc.constantFrom(0, 10, 200_000);

let exchange: HttpExchange;
let server: net.Server;
let address: string;
/** What the upstream writes, and whether it closes its side then. */
let answer: {readonly text: string; readonly closes: boolean};

function sendAnswer(socket: net.Socket): void {
  if (answer.closes) socket.end(answer.text);
  else socket.write(answer.text);
}

before(async () => {
  exchange = createHttpExchange({clock: createSystemClock()});
  server = net.createServer(socket =>
    takeRequests(socket, () => sendAnswer(socket)),
  );
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
});

after(() => {
  exchange.close();
  server.close();
});

async function readAnswer(method: string, size: number, isReused: boolean) {
  const head = await exchange.start({
    address,
    method,
    target: '/',
    headers: ['Host', address],
    body: Buffer.alloc(size, 'x'),
    connectTimeoutMs: 1_000,
    answerTimeoutMs: 3_000,
    mayReuseConnection: isReused,
  });
  if (head.kind !== 'answered') return head;
  const bytes = await readWhole(head.body, MAX_BYTES);
  return {status: head.status, body: bytes?.toString()};
}

test('an answer that has no body by its status or method is whole', async () => {
  // Guards against requests that ran and whose answer counts as broken.
  await fc.assert(
    fc.asyncProperty(
      fc.oneof(
        fc.tuple(methods, fc.constantFrom(...BODILESS_STATUSES)),
        fc.tuple(fc.constant('HEAD'), fc.constantFrom(200, 204, 304, 404)),
      ),
      fc.constantFrom(...BODILESS_HEADS),
      informational,
      uploads,
      fc.boolean(),
      async ([method, status], framing, first, size, isReused) => {
        const text = `${first}HTTP/1.1 ${status} Text\r\n${framing}`;
        answer = {text, closes: framing.includes('close')};
        const got = await readAnswer(method, size, isReused);
        assert.deepEqual(got, {status, body: ''});
      },
    ),
    {seed: 84, numRuns: RUNS},
  );
});

test('an answer that may have a body is read by its framing', async () => {
  // Guards against bodies that are dropped, or that end with their head.
  await fc.assert(
    fc.asyncProperty(
      methods,
      fc.constantFrom(200, 201, 202, 205, 206, 404, 500),
      fc.constantFrom<Framing>('length', 'chunks', 'unframed', 'empty'),
      informational,
      uploads,
      fc.boolean(),
      async (method, status, framing, first, size, isReused) => {
        const text = `${first}HTTP/1.1 ${status} Text\r\n${FRAMINGS[framing]}`;
        answer = {text, closes: framing === 'unframed'};
        const got = await readAnswer(method, size, isReused);
        assert.deepEqual(got, {status, body: framing === 'empty' ? '' : BODY});
      },
    ),
    {seed: 84, numRuns: RUNS},
  );
});
