/** Answers of plain services that are none, at the product's own front. */

import assert from 'node:assert/strict';
import net from 'node:net';
import {after, before, test} from 'node:test';
import fc from 'fast-check';
import {createHttpPlainServiceFactory} from '../../src/adapters/http_plain_service.js';
import {createSystemClock} from '../../src/adapters/system_clock.js';
import type {ServiceSettings} from '../../src/core/settings_types.js';
import type {PlainServicePort} from '../../src/ports/plain_service.js';
import type {RequestRunner} from '../../src/ports/answer_sink.js';
import {storedAnswerOf} from '../../src/request/plain_calls.js';
import {
  endAndResetAfter,
  resetAfter,
  type BreakOff,
} from '../support/break_off.js';
import {
  answersWith,
  BODY,
  nameLines,
  valueLines,
  type AnswerBytes,
} from '../support/broken_heads.js';
import {KEY, startFrontSite, type FrontSite} from './front_site.js';

const SEED = 87;
const RUNS = 100;
const MAX_BODY_BYTES = 5_000_000;
const STAMP = 'X-Engine-Stamp';
const FIELDS = {fields: [`${STAMP}: s`]};

const service: ServiceSettings = {
  kind: 'plain',
  name: 'uus-pearaamat',
  targets: {ttftMs: 1_000, tokenIntervalMs: 100, waitMs: 5_000},
  upstreams: [],
  upstreamsFromHostList: true,
  retryBudget: 0.1,
  maxQueued: 100,
  wasteWeight: 0.8,
  nonRepeatable: [],
  keepAnswersMs: 0,
};

let site: FrontSite;
let server: net.Server;
let port: PlainServicePort;
/** Answers a request once its head has arrived. */
let respond: (socket: net.Socket) => void;

/** Makes one call for each request. */
const runner: Pick<RequestRunner, 'runPlain'> = {
  runPlain(request, sink) {
    const call = {
      ...request,
      attemptId: `${request.requestId}-1`,
      timeoutMs: 3_000,
      connectionProvenWithinMs: 0,
    };
    void port.call(call, new AbortController().signal).then(outcome => {
      if (outcome.kind === 'answered') sink.end(storedAnswerOf(outcome));
      else sink.fail({kind: 'upstream-failed', detail: outcome.detail});
    });
    return {callerGone: () => undefined};
  },
};

before(async () => {
  server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => respond(socket));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const address = server.address() as net.AddressInfo;
  port = createHttpPlainServiceFactory({clock: createSystemClock()})(
    `127.0.0.1:${address.port}`,
  );
  site = await startFrontSite(runner, service, MAX_BODY_BYTES);
});

after(async () => {
  await site.close();
  server.close();
});

async function call(body?: string): Promise<Response> {
  return fetch(`${site.origin}/services/${service.name}/1`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: {authorization: `Bearer ${KEY}`},
    body,
  });
}

async function assertFailed(answer: Response, message: string): Promise<void> {
  assert.equal(answer.status, 502, message);
  assert.equal(answer.headers.get(STAMP), null);
  const {code} = (await answer.json()) as {readonly code: string};
  assert.equal(code, 'CB3003');
}

const sendWhole = ({text}: AnswerBytes) => {
  respond = socket => void socket.end(Buffer.from(text, 'latin1'));
};

test('a head that breaks the grammar of HTTP does not reach the caller', async () => {
  // Guards against callers that get such a line, or a body framed by it.
  const lines = fc.oneof(nameLines.broken, valueLines.broken);
  await fc.assert(
    fc.asyncProperty(answersWith(lines, FIELDS), async answer => {
      sendWhole(answer);
      await assertFailed(await call(), JSON.stringify(answer.text));
    }),
    {seed: SEED, numRuns: RUNS},
  );
});

test('a head with any bytes that it may have reaches the caller', async () => {
  // Guards against failing sound answers.
  const lines = fc.oneof(nameLines.sound, valueLines.sound);
  await fc.assert(
    fc.asyncProperty(answersWith(lines, FIELDS), async answer => {
      sendWhole(answer);
      const got = await call();
      assert.equal(got.headers.get(STAMP), 's');
      assert.equal(await got.text(), BODY);
    }),
    {seed: SEED, numRuns: RUNS},
  );
});

for (const status of ['000', '099', '101', '600', '999']) {
  test(`an answer with the status ${status} does not reach the caller`, async () => {
    // Guards against numbers that no caller can take for an outcome.
    const head = `HTTP/1.1 ${status} Odd\r\n${STAMP}: s\r\nContent-Length: 2`;
    sendWhole({text: `${head}\r\n\r\nok`, closes: true});
    await assertFailed(await call(), status);
  });
}

/** How an upstream breaks off an answer to an upload. */
const BREAKS: Readonly<Record<string, BreakOff>> = {
  'a reset': resetAfter(5),
  'an end and a reset at once': endAndResetAfter(5),
  'an end and a later reset': endAndResetAfter(100),
};
const EARLY_HEAD = `HTTP/1.1 200 OK\r\n${STAMP}: s\r\n\r\n`;

for (const [name, breakOff] of Object.entries(BREAKS)) {
  for (const size of [100_000, 4_000_000]) {
    test(`half an early answer to an upload of ${size} bytes that breaks off by ${name} does not reach the caller as whole`, async () => {
      // Guards against an upstream that answers, closes and reads nothing more.
      respond = socket => {
        socket.pause().write(`${EARLY_HEAD}half`);
        breakOff(socket);
      };
      await assertFailed(await call('x'.repeat(size)), name);
    });
  }
}

test('an answer that ends while its upload is written does not reach the caller as whole', async () => {
  // Guards against taking the part that has arrived for the whole answer.
  respond = socket => void socket.pause().end(`${EARLY_HEAD}half`);
  await assertFailed(await call('x'.repeat(4_000_000)), 'unread');
});

test('an answer without a length to an upload that was read is whole', async () => {
  // Guards against failing sound answers of services that frame by closing.
  const size = 4_000_000;
  respond = socket => {
    const noteBytes = () => {
      if (socket.bytesRead < size) return;
      socket.off('data', noteBytes).end(`${EARLY_HEAD}${BODY}`);
    };
    socket.on('data', noteBytes);
  };
  const got = await call('x'.repeat(size));
  assert.equal(got.headers.get(STAMP), 's');
  assert.equal(await got.text(), BODY);
});

test('an early failure without a length reaches the caller', async () => {
  // Guards against replacing the reason for which an upload is rejected.
  respond = socket =>
    void socket.pause().end('HTTP/1.1 413 Too Large\r\n\r\ntoo large');
  const got = await call('x'.repeat(4_000_000));
  assert.equal(got.status, 413);
  assert.equal(await got.text(), 'too large');
});
