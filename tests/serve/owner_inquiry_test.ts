import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRouterTransport} from '@connectrpc/connect';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import {RequestPeer} from '../../src/generated/corianderbend/peer_pb.js';
import {
  createOwnerInquiry,
  createRequestPeerService,
} from '../../src/serve/owner_inquiry.js';
import type {Fleet} from '../../src/serve/fleet.js';

const SELF = 'ylikool-saal-1#1';
const OTHER = 'annelinn-saal-1#1';
const GONE = 'raadi-ruum-1#1';
const TICK_MS = 500;

function createInquiry(runningThere: ReadonlySet<string>, isReachable = true) {
  const clock = createVirtualClock();
  const askedIds: string[] = [];
  const transport = createRouterTransport(({service}) => {
    if (!isReachable) return;
    service(
      RequestPeer,
      createRequestPeerService(requestId => {
        askedIds.push(requestId);
        return runningThere.has(requestId);
      }),
    );
  });
  const fleet = {
    liveness: {
      selfTag: () => SELF,
      isAlive: (entry: string) => entry !== GONE,
      applyChange: () => [],
    },
    membership: {get: () => ({address: '10.0.0.2:7900'})},
  } as unknown as Pick<Fleet, 'liveness' | 'membership'>;
  const inquiry = createOwnerInquiry(
    {clock, getTransport: () => transport},
    fleet,
    requestId => requestId === 'own-running',
  );
  const stateOf = (entry: string, requestId: string) =>
    inquiry.ownerState({entry, requestId, attemptId: 'a1'});
  return {clock, askedIds, stateOf};
}

test('what a live entry has lost track of is found to be gone', async () => {
  // Callers are refused although no request runs: an engine's memory is held.
  // An entry ended a request while the engine was cut off, gave its releases
  // up, and lives on; only asking it shows that the request is gone.
  const {clock, askedIds, stateOf} = createInquiry(new Set(['kept']));
  assert.equal(stateOf(OTHER, 'lost'), 'unknown');
  assert.equal(stateOf(OTHER, 'kept'), 'unknown');
  await clock.advance(TICK_MS);
  assert.equal(stateOf(OTHER, 'lost'), 'gone');
  assert.equal(stateOf(OTHER, 'kept'), 'running');
  assert.deepEqual(askedIds, ['lost', 'kept']);
});

test('dead incarnations and own requests are known without asking', () => {
  const {askedIds, stateOf} = createInquiry(new Set());
  assert.equal(stateOf(GONE, 'any'), 'dead');
  assert.equal(stateOf(SELF, 'own-running'), 'running');
  assert.equal(stateOf(SELF, 'own-ended'), 'gone');
  assert.deepEqual(askedIds, []);
});

test('an entry that does not answer keeps what it holds', async () => {
  const {clock, stateOf} = createInquiry(new Set(), false);
  assert.equal(stateOf(OTHER, 'any'), 'unknown');
  await clock.advance(TICK_MS);
  assert.equal(stateOf(OTHER, 'any'), 'unknown');
});
