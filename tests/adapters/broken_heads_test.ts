/**
 * Both HTTP clients of the program against answers whose head breaks the
 * grammar of HTTP.
 */

import assert from 'node:assert/strict';
import net from 'node:net';
import {after, before, describe, test} from 'node:test';
import fc from 'fast-check';
import {
  createHttpExchange,
  readWhole,
  type HttpExchange,
} from '../../src/adapters/http_exchange.js';
import {createHttpPlainServiceFactory} from '../../src/adapters/http_plain_service.js';
import {createSystemClock} from '../../src/adapters/system_clock.js';
import type {PlainServicePort} from '../../src/ports/plain_service.js';
import {
  answersWith,
  BODY,
  nameLines,
  valueLines,
  type AnswerBytes,
  type FieldLines,
} from '../support/broken_heads.js';
import {takeRequests} from '../support/raw_requests.js';

const SEED = 87;
const BROKEN_RUNS = 400;
/** The clients wait for the end of an unframed answer to an upload. */
const SOUND_RUNS = 100;
const MAX_BYTES = 1_000;
const TIMEOUT_MS = 2_000;
const UPLOAD = Buffer.alloc(50_000, 'x');

interface Call {
  readonly method: 'GET' | 'POST';
  readonly isReused: boolean;
}

/** The outcome of a call: the body of a whole answer, or why there is none. */
type Client = (call: Call) => Promise<string>;

let exchange: HttpExchange;
let port: PlainServicePort;
let server: net.Server;
const sockets = new Set<net.Socket>();
let address: string;
let answer: AnswerBytes;
/** The number of bytes after which the answer is sent in a second part. */
let splitAt: number | undefined;

async function sendAnswer(socket: net.Socket): Promise<void> {
  const bytes = Buffer.from(answer.text, 'latin1');
  const {closes} = answer;
  socket.write(bytes.subarray(0, splitAt ?? bytes.length));
  if (splitAt !== undefined) {
    await new Promise(resolve => setTimeout(resolve, 2));
    socket.write(bytes.subarray(splitAt));
  }
  if (closes) socket.end();
}

const CLIENTS: Readonly<Record<string, Client>> = {
  async 'the client of relays'({method, isReused}) {
    const head = await exchange.start({
      address,
      method,
      target: '/',
      headers: ['Host', address],
      body: method === 'POST' ? UPLOAD : undefined,
      connectTimeoutMs: TIMEOUT_MS,
      answerTimeoutMs: TIMEOUT_MS,
      mayReuseConnection: isReused,
    });
    if (head.kind !== 'answered') return head.kind;
    return String((await readWhole(head.body, MAX_BYTES)) ?? 'broken');
  },
  async 'the client of plain services'({method, isReused}) {
    const outcome = await port.call(
      {
        requestId: 'r-1',
        attemptId: 'r-1-1',
        method,
        path: '/',
        headers: {},
        body: method === 'POST' ? UPLOAD : new Uint8Array(),
        timeoutMs: TIMEOUT_MS,
        connectionProvenWithinMs: isReused ? 0 : 1,
      },
      new AbortController().signal,
    );
    if (outcome.kind === 'failed') return outcome.reason;
    return Buffer.from(outcome.body).toString();
  },
};

before(async () => {
  const clock = createSystemClock();
  exchange = createHttpExchange({clock});
  server = net.createServer(socket => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    takeRequests(socket, () => void sendAnswer(socket));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  port = createHttpPlainServiceFactory({clock})(address);
});

after(() => {
  exchange.close();
  server.close();
  for (const socket of sockets) socket.destroy();
});

/** Makes the calls one after another, as they share a server and connections. */
async function checkAnswers(
  client: Client,
  answers: fc.Arbitrary<AnswerBytes>,
  expected: string,
  numRuns: number,
): Promise<void> {
  const calls = fc.record({
    method: fc.constantFrom<Call['method']>('GET', 'POST'),
    isReused: fc.boolean(),
  });
  const splits = fc.option(fc.nat(), {nil: undefined});
  await fc.assert(
    fc.asyncProperty(answers, calls, splits, async (sent, call, split) => {
      answer = sent;
      splitAt = split === undefined ? undefined : split % sent.text.length;
      assert.equal(await client(call), expected);
    }),
    {seed: SEED, numRuns},
  );
}

const LINES: Readonly<Record<string, FieldLines>> = {
  'a field name': nameLines,
  'a field value': valueLines,
};

for (const [name, client] of Object.entries(CLIENTS)) {
  describe(name, () => {
    for (const [part, {broken, sound}] of Object.entries(LINES)) {
      test(`an answer with a byte that ${part} may not have is broken`, async () => {
        // Guards against callers that get such a line, or a body that a lenient
        // parser has framed otherwise than its upstream.
        await checkAnswers(client, answersWith(broken), 'broken', BROKEN_RUNS);
      });

      test(`an answer with any bytes that ${part} may have is whole`, async () => {
        // Guards against failing sound answers.
        await checkAnswers(client, answersWith(sound), BODY, SOUND_RUNS);
      });
    }

    for (const status of ['000', '001', '099', '101', '600', '999']) {
      test(`an answer with the status ${status} is broken`, async () => {
        // Guards against numbers that no caller can take for an outcome.
        const head = `HTTP/1.1 ${status} Odd\r\nContent-Length: ${BODY.length}`;
        answer = {text: `${head}\r\n\r\n${BODY}`, closes: true};
        splitAt = undefined;
        for (const isReused of [false, true]) {
          assert.equal(await client({method: 'GET', isReused}), 'broken');
        }
      });
    }
  });
}
