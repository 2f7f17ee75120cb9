import assert from 'node:assert/strict';
import net from 'node:net';
import {test, type TestContext} from 'node:test';
import {createHttpExchange} from '../../src/adapters/http_exchange.js';
import {createSystemClock} from '../../src/adapters/system_clock.js';
import type {AnswerBody} from '../../src/ports/relay.js';

const SIZE_BYTES = 8_000;
const ONE_BYTE_CHUNKS = '1\r\nx\r\n'.repeat(SIZE_BYTES);

/** Gets an answer of one-byte chunks, all sent at once. */
async function getBody(t: TestContext): Promise<AnswerBody> {
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
      socket.write(`${head}${ONE_BYTE_CHUNKS}0\r\n\r\n`);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const exchange = createHttpExchange({clock: createSystemClock()});
  t.after(() => {
    server.close();
    exchange.close();
  });
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  const head = await exchange.start({
    address,
    method: 'GET',
    target: '/',
    headers: ['Host', address],
    connectTimeoutMs: 1_000,
    answerTimeoutMs: 2_000,
    mayReuseConnection: false,
  });
  assert.ok(head.kind === 'answered');
  return head.body;
}

test('chunks of one byte arrive as one chunk for each read', async t => {
  // Guards against thousands of buffers and writes for each read, which fill
  // the memory of the host.
  const body = await getBody(t);
  const sizes: number[] = [];
  const end = await new Promise(resolve =>
    body.read({
      chunk: bytes => void sizes.push(bytes.length),
      end: () => resolve('whole'),
      broken: resolve,
    }),
  );
  assert.equal(end, 'whole');
  assert.equal(
    sizes.reduce((sum, size) => sum + size, 0),
    SIZE_BYTES,
  );
  assert.ok(sizes.length <= 8, `${sizes.length} chunks`);
});

test('a paused body delivers nothing until it is resumed', async t => {
  const body = await getBody(t);
  let size = 0;
  let isPaused = false;
  let early = 0;
  const note = () => {
    if (isPaused) early++;
  };
  const end = await new Promise(resolve =>
    body.read({
      chunk(bytes) {
        note();
        size += bytes.length;
        isPaused = true;
        body.pause();
        setTimeout(() => {
          isPaused = false;
          body.resume();
        }, 20);
      },
      end() {
        note();
        resolve('whole');
      },
      broken: resolve,
    }),
  );
  assert.deepEqual([end, size, early], ['whole', SIZE_BYTES, 0]);
});
