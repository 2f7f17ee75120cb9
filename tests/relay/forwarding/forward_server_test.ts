import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {UpstreamPort} from '../../../src/ports/relay.js';
import type {Member} from '../../../src/relay/fleet/members.js';
import {
  FORWARD_PATH,
  SENDER_HEADER,
} from '../../../src/relay/forwarding/forward_client.js';
import {createForwardServer} from '../../../src/relay/forwarding/forward_server.js';
import {createAuxiliaryServer} from '../../../src/relay/front/auxiliary_server.js';
import {createBodyReader} from '../../../src/relay/front/body_reader.js';
import {findFreeAddress} from '../../support/free_address.js';
import {makeResourceLimits} from '../../support/resource_limits.js';
import {silentLog} from '../../support/silent_log.js';
import {connectRaw} from '../front/raw_front.js';
import {
  createBudget,
  createUnlimitedConnections,
  noMetrics,
} from '../limits/resources_stand_in.js';

const MB = 1024 * 1024;

/** Returns the status line of the answer to a call whose body is not sent. */
async function announce(
  t: TestContext,
  senderId: string,
  bytes: number,
): Promise<string> {
  const clock = createVirtualClock();
  const server = createForwardServer({
    clock,
    registry: {get: () => undefined, getOpen: () => undefined},
    bodies: createBodyReader({
      clock,
      log: silentLog,
      metrics: noMetrics,
      resources: {...makeResourceLimits(), memory: createBudget(MB)},
    }),
    buffers: {
      noteBlocked: () => undefined,
      noteFree: () => undefined,
    },
    port: {} as UpstreamPort,
    peers: () => [{hostId: 'h-1', peerAddress: '127.0.0.1:1'} as Member],
    mayCall: () => true,
    onServed: () => undefined,
    onOutcome: () => undefined,
  });
  const auxiliary = createAuxiliaryServer(
    {clock, connections: createUnlimitedConnections()},
    () => undefined,
    server.handle,
  );
  const address = await findFreeAddress();
  await auxiliary.listen(address);
  t.after(() => auxiliary.close());
  const connection = await connectRaw(
    address,
    [
      `POST ${FORWARD_PATH} HTTP/1.1`,
      'Host: x',
      `${SENDER_HEADER}: ${senderId}`,
      'Expect: 100-continue',
      `Content-Length: ${bytes}`,
      '\r\n',
    ].join('\r\n'),
  );
  await connection.receives('\r\n\r\n');
  return connection.received().split('\r\n')[0];
}

test('the body of a call for a peer is read only if there is room', async t => {
  assert.match(await announce(t, 'h-1', MB / 2), / 100 /);
  assert.match(await announce(t, 'h-1', 2 * MB), / 503 /);
  assert.match(await announce(t, 'h-1', 17 * MB), / 503 /);
});

test('the body of a call from elsewhere is not read', async t => {
  assert.match(await announce(t, 'h-2', 10), / 403 /);
});
