import assert from 'node:assert/strict';
import http from 'node:http';
import net from 'node:net';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {
  createRelayFront,
  type RelayFrontHost,
} from '../../../src/relay/front/relay_front.js';
import {createBodyReader} from '../../../src/relay/front/body_reader.js';
import {findFreeAddress} from '../../support/free_address.js';
import {makeResourceLimits} from '../../support/resource_limits.js';
import {silentLog} from '../../support/silent_log.js';
import {
  createUnlimitedConnections,
  noMetrics,
} from '../limits/resources_stand_in.js';

const resources = makeResourceLimits();

const host: RelayFrontHost = {
  clock: createVirtualClock(),
  log: silentLog,
  reader: {read: () => ({requestId: 'request-1', forwarded: []})},
  relay: {
    handle: async (_, caller) => caller.refuse({kind: 'internal', detail: ''}),
    activeCount: () => 0,
  },
  buffers: {
    noteBlocked: () => undefined,
    noteFree: () => undefined,
    bufferedBytes: () => 0,
  },
  resources,
  bodies: createBodyReader({
    clock: createVirtualClock(),
    log: silentLog,
    metrics: noMetrics,
    resources,
  }),
  connections: createUnlimitedConnections(),
  limits: () => undefined,
  isLeaving: () => false,
  refuseArriving: () => undefined,
};

/** Resolves to the status of an answer, or to the error of the connection. */
async function call(changes: Partial<RelayFrontHost>): Promise<string> {
  const front = createRelayFront({...host, ...changes});
  const address = await findFreeAddress();
  await front.listen(address);
  const end = await new Promise<string>(resolve => {
    http
      .get(`http://${address}/`, {agent: false}, answer => {
        answer.resume();
        answer.on('end', () => resolve(String(answer.statusCode)));
      })
      .on('error', error => resolve(error.message));
  });
  front.close();
  return end;
}

function fail(): never {
  throw new Error('A fault of the host.');
}

// Guards against a request that was read and gets neither an answer nor a refusal.
for (const [step, changes] of Object.entries<Partial<RelayFrontHost>>({
  'its headers are read': {reader: {read: fail}},
  'it is admitted': {relay: {...host.relay, handle: async () => fail()}},
})) {
  test(`a caller gets an answer when the host fails while ${step}`, async () => {
    assert.equal(await call(changes), '500');
  });
}

/** Sends the texts on one connection, each once the one before is answered. */
async function exchangeRaw(
  changes: Partial<RelayFrontHost>,
  texts: readonly string[],
): Promise<string> {
  const front = createRelayFront({...host, ...changes});
  const address = await findFreeAddress();
  await front.listen(address);
  const [ip, port] = address.split(':');
  const received = await new Promise<string>(resolve => {
    const socket = net.connect(Number(port), ip);
    let all = '';
    let next = 0;
    const send = () => {
      if (next < texts.length) socket.write(texts[next++]);
    };
    socket.on('connect', send);
    socket.on('data', bytes => {
      all += String(bytes);
      send();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(all));
  });
  front.close();
  return received;
}

const GET = 'GET / HTTP/1.1\r\nHost: x\r\n\r\n';

test('a leaving host answers all requests that it took from one connection', async () => {
  // Guards against a pipelined request that runs and whose connection is closed
  // after the answer to the one before.
  let handled = 0;
  const relay: RelayFrontHost['relay'] = {
    activeCount: () => 0,
    handle: (_, caller) => {
      const delayMs = 30 * ++handled;
      return new Promise(resolve =>
        setTimeout(() => {
          caller.begin(200, [], 2);
          caller.write(Buffer.from('ok'));
          caller.end();
          resolve();
        }, delayMs),
      );
    },
  };
  const isLeaving = () => true;
  const received = await exchangeRaw({relay, isLeaving}, [GET + GET]);
  assert.equal(received.split('HTTP/1.1 200').length - 1, handled);
  assert.equal(received.split('Connection: close').length - 1, 1);
  assert.equal(handled, 2);
});
