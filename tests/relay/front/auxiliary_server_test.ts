import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createAuxiliaryServer} from '../../../src/relay/front/auxiliary_server.js';
import {createConnectionLimit} from '../../../src/relay/limits/connection_limit.js';
import {findFreeAddress} from '../../support/free_address.js';
import {silentLog} from '../../support/silent_log.js';
import {createBudget, noMetrics} from '../limits/resources_stand_in.js';
import {connectRaw, post} from './raw_front.js';

const GET = 'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n';

async function createServer(t: TestContext) {
  const clock = createVirtualClock();
  const connections = createConnectionLimit(
    {clock, log: silentLog, metrics: noMetrics, memory: createBudget()},
    {server: 'ready', maxConnections: 4, headerTimeoutMs: () => 0},
  );
  const server = createAuxiliaryServer({clock, connections}, () => ({
    status: 200,
    body: 'x'.repeat(1_000),
  }));
  const address = await findFreeAddress();
  await server.listen(address);
  t.after(() => server.close());
  return {clock, address};
}

test('it answers although connections with half a request take all places', async t => {
  const {clock, address} = await createServer(t);
  for (let i = 0; i < 8; i++) await connectRaw(address, 'GET /rea');
  await clock.advance(1);
  const connection = await connectRaw(address, GET);
  await connection.receives('200 OK');
});

test('a body without end is not read for ever', async t => {
  const {clock, address} = await createServer(t);
  const connection = await connectRaw(
    address,
    post(['Transfer-Encoding: chunked']),
  );
  const chunk = `10000\r\n${'x'.repeat(0x10000)}\r\n`;
  const write = () => {
    while (connection.socket.write(chunk));
  };
  connection.socket.on('drain', write);
  write();
  await connection.receives('200 OK');
  await clock.advance(1_000);
  await connection.isClosed();
});

test('requests sent ahead of their answers are bounded', async t => {
  const {address} = await createServer(t);
  const connection = await connectRaw(address, GET.repeat(500));
  await connection.isClosed();
  assert.ok(connection.received().length < 100_000);
});
