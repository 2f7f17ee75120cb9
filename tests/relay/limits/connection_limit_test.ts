import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {createRawFront, post, until} from '../front/raw_front.js';

const GET = 'GET / HTTP/1.1\r\nHost: x\r\n\r\n';
const delay = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Some of its connections have a request that isn't answered. */
async function createBusyFront(
  t: TestContext,
  maxConnections: number,
  busyCount = maxConnections,
) {
  let answerAll: () => void = () => undefined;
  const answered = new Promise<void>(resolve => (answerAll = resolve));
  const front = await createRawFront(t, {
    maxConnections,
    async handle(_, caller) {
      await answered;
      caller.begin(200, [], 0);
      caller.end();
    },
  });
  const connections = [];
  for (let i = 0; i < busyCount; i++) {
    connections.push(await front.connect(GET));
  }
  await until(() => front.bodies.length === busyCount);
  return {front, connections, answerAll};
}

test('the connection that is idle longest is closed for a new one', async t => {
  const front = await createRawFront(t, {maxConnections: 2});
  const first = await front.connect(GET);
  await first.receives('200 OK');
  const second = await front.connect(GET);
  await second.receives('200 OK');
  await front.clock.advance(1);
  first.socket.write(GET);
  await until(() => front.bodies.length === 3);
  const third = await front.connect(GET);
  await third.receives('200 OK');
  await second.isClosed();
  assert.equal(first.socket.destroyed, false);
});

test('with no idle connection a new one gets a refusal and is closed', async t => {
  const {front, connections, answerAll} = await createBusyFront(t, 2);
  const refused = await front.connect(
    post(['Transfer-Encoding: chunked'], '1\r\nx\r\n'),
  );
  await refused.receives('host-overloaded');
  assert.match(refused.received(), /^HTTP\/1.1 503 .*\r\nRetry-After/s);
  assert.match(refused.received(), /\r\nConnection: close\r\n/);
  await front.clock.advance(1_000);
  await refused.isClosed();
  answerAll();
  for (const connection of connections) await connection.receives('200 OK');
});

test('no more connections wait for a refusal than are open', async t => {
  const {front} = await createBusyFront(t, 1);
  const waiting = await front.connect();
  const extra = await front.connect(GET);
  await extra.isClosed();
  assert.equal(extra.received(), '');
  assert.equal(waiting.socket.destroyed, false);
  await front.clock.advance(1_000);
  await waiting.isClosed();
});

test('a request that has begun is spared until its headers are late', async t => {
  const front = await createRawFront(t, {maxConnections: 1});
  const begun = await front.connect('GET / HT');
  await delay(20);
  const refused = await front.connect(GET);
  await refused.receives('host-overloaded');
  assert.equal(begun.socket.destroyed, false);
  await front.clock.advance(1_001);
  const served = await front.connect(GET);
  await served.receives('200 OK');
  await begun.isClosed();
});

test('connections made at once are not closed before their requests are read', async t => {
  const {front, answerAll} = await createBusyFront(t, 4, 0);
  const connections = await Promise.all(
    Array.from({length: 5}, () => front.connect()),
  );
  for (const {socket} of connections) socket.write(GET);
  await until(() => front.bodies.length === 4);
  answerAll();
  for (const connection of connections) await connection.receives('HTTP/1.1');
});
