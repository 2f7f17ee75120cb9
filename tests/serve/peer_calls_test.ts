import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {createPeerTransport} from '../../src/adapters/peer_connection.js';
import {
  createHomeService,
  createPeerGrants,
  type HomePort,
} from '../../src/adapters/peer_grants.js';
import {
  createJournalService,
  createPeerJournal,
} from '../../src/adapters/peer_journal.js';
import {createSystemClock} from '../../src/adapters/system_clock.js';
import {Home, Journal} from '../../src/generated/corianderbend/peer_pb.js';
import type {Grant, GrantRequest} from '../../src/ports/grants.js';
import type {IntentRequest, JournalPort} from '../../src/ports/journal.js';
import {
  createPeerServer,
  type PeerServer,
} from '../../src/serve/peer_server.js';
import {findFreeAddress} from '../support/free_address.js';

const KEYS = {peerKey: 'peer-key-1', operatorKey: 'operator-key-1'};
const SHARD = 'aruande-koostaja/all/0';

const grant: Grant = {
  kind: 'granted',
  grantId: 'g1',
  homeEpoch: 1_796_243_010,
  prefillEngineId: 'engine-1',
  prefillAddress: '10.0.0.1:7100',
  decodeEngineId: 'engine-2',
  decodeAddress: '10.0.0.2:7100',
  lifeMs: 5000,
  startInMs: 2.5,
};

const request: GrantRequest = {
  owner: {entry: 'ylikool-saal-1#7', requestId: 'r1', attemptId: 'a1'},
  service: 'aruande-koostaja',
  account: 'raamatupidajad',
  requestClass: 'patient',
  promptTokenCount: 120,
  maxTokens: 40,
  prefixHashes: ['0a', '0b'],
  ttftLeftMs: 4999.25,
  waitLeftMs: 59_999.731,
  resumeOffset: 0,
};

const intent: IntentRequest = {
  service: 'uus-pearaamat',
  account: 'raamatupidajad',
  idempotencyKey: 'k1',
  fingerprint: 'f1',
  attemptId: 'a1',
  entry: 'ylikool-saal-1#7',
  timeoutMs: 4999.731,
};

let server: PeerServer | undefined;

afterEach(async () => {
  await server?.close();
  server = undefined;
});

async function startServer(home: HomePort, journal: JournalPort) {
  const address = await findFreeAddress();
  server = createPeerServer(KEYS, router =>
    router
      .service(
        Home,
        createHomeService(shardId => (shardId === SHARD ? home : undefined)),
      )
      .service(
        Journal,
        createJournalService(() => journal),
      ),
  );
  await server.listen(address);
  return address;
}

function createHome(receivedRequests: GrantRequest[]): HomePort {
  return {
    request(wanted) {
      receivedRequests.push(wanted);
      return Promise.resolve(grant);
    },
    report: () => {},
    adopt: () => {},
  };
}

const journal: JournalPort = {
  begin: () =>
    Promise.resolve({
      kind: 'answered',
      answer: {
        status: 201,
        headers: {'content-type': 'text/plain'},
        body: new TextEncoder().encode('posted'),
      },
    }),
  end: () => Promise.resolve(true),
};

test('a grant request is accepted when its remaining time includes a fraction of a millisecond', async () => {
  // Guards against refusing every model request for lack of a usable engine
  // while the home is up: the remaining wait time has a fraction of a
  // millisecond, and Connect's timeout header accepts whole milliseconds only.
  const receivedRequests: GrantRequest[] = [];
  const address = await startServer(createHome(receivedRequests), journal);
  const transport = createPeerTransport(address, KEYS.peerKey);
  const clock = createSystemClock();
  const grants = createPeerGrants({clock}, transport, SHARD);
  const outcome = await grants.request(request, new AbortController().signal);
  assert.equal(outcome.kind, 'granted');
  assert.equal(outcome.kind === 'granted' && outcome.startInMs, 2.5);
  assert.equal(receivedRequests[0].requestClass, 'patient');
  assert.deepEqual([...receivedRequests[0].prefixHashes], request.prefixHashes);
});

test('a journal answer is returned to another process as it was stored', async () => {
  const address = await startServer(createHome([]), journal);
  const transport = createPeerTransport(address, KEYS.peerKey);
  const outcome = await createPeerJournal(transport).begin(intent);
  assert.equal(outcome.kind, 'answered');
  if (outcome.kind !== 'answered') return;
  assert.equal(outcome.answer.status, 201);
  assert.equal(new TextDecoder().decode(outcome.answer.body), 'posted');
  assert.equal(
    await createPeerJournal(transport).end(intent, {kind: 'released'}),
    true,
  );
});

test('a call to a home of another process or with a wrong key is refused', async () => {
  const address = await startServer(createHome([]), journal);
  const clock = createSystemClock();
  const {signal} = new AbortController();
  const requestGrant = (key: string, shardId: string) =>
    createPeerGrants(
      {clock},
      createPeerTransport(address, key),
      shardId,
    ).request(request, signal);
  const moved = await requestGrant(KEYS.peerKey, 'other/all/0');
  assert.equal(moved.kind === 'refused' && moved.reason, 'home-moved');
  const unknown = await requestGrant('wrong-key', SHARD);
  assert.equal(unknown.kind === 'refused' && unknown.reason, 'unreachable');
});
