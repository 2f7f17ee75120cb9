import assert from 'node:assert/strict';
import http from 'node:http';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {
  createRelayFront,
  type RelayFrontHost,
} from '../../../src/relay/front/relay_front.js';
import {findFreeAddress} from '../../support/free_address.js';
import {silentLog} from '../../support/silent_log.js';

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
  limits: () => undefined,
  isLeaving: () => false,
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
