import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRouterTransport} from '@connectrpc/connect';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import {RequestPeer} from '../../src/generated/corianderbend/peer_pb.js';
import {
  createOwnerStateLookup,
  createRequestPeerService,
} from '../../src/serve/owner_state_lookup.js';
import type {Fleet} from '../../src/serve/fleet.js';

const SELF = 'ylikool-saal-1#1';
const OTHER = 'annelinn-saal-1#1';
const GONE = 'raadi-ruum-1#1';
const TICK_MS = 500;

function createLookup(runningThere: ReadonlySet<string>, isReachable = true) {
  const clock = createVirtualClock();
  const queriedIds: string[] = [];
  const transport = createRouterTransport(({service}) => {
    if (!isReachable) return;
    service(
      RequestPeer,
      createRequestPeerService(requestId => {
        queriedIds.push(requestId);
        return runningThere.has(requestId);
      }),
    );
  });
  const fleet = {
    liveness: {
      selfTag: () => SELF,
      isAlive: (entry: string) => entry !== GONE,
      getGoneEntries: () => [],
    },
    membership: {get: () => ({address: '10.0.0.2:7900'})},
  } as unknown as Pick<Fleet, 'liveness' | 'membership'>;
  const lookup = createOwnerStateLookup(
    {clock, getTransport: () => transport},
    fleet,
    requestId => requestId === 'own-running',
  );
  const stateOf = (entry: string, requestId: string) =>
    lookup.ownerState({entry, requestId, attemptId: 'a1'});
  return {clock, queriedIds, stateOf};
}

test('a request that a live entry no longer runs is reported as gone', async () => {
  // Guards against refused callers because of engine memory that no request
  // uses: a live entry ended a request while the engine was unreachable and
  // stopped retrying the release, so only a query shows that it has ended.
  const {clock, queriedIds, stateOf} = createLookup(new Set(['kept']));
  assert.equal(stateOf(OTHER, 'lost'), 'unknown');
  assert.equal(stateOf(OTHER, 'kept'), 'unknown');
  await clock.advance(TICK_MS);
  assert.equal(stateOf(OTHER, 'lost'), 'gone');
  assert.equal(stateOf(OTHER, 'kept'), 'running');
  assert.deepEqual(queriedIds, ['lost', 'kept']);
});

test('states of dead incarnations and own requests need no query', () => {
  const {queriedIds, stateOf} = createLookup(new Set());
  assert.equal(stateOf(GONE, 'any'), 'dead');
  assert.equal(stateOf(SELF, 'own-running'), 'running');
  assert.equal(stateOf(SELF, 'own-ended'), 'gone');
  assert.deepEqual(queriedIds, []);
});

test('the state stays unknown when the entry does not reply', async () => {
  const {clock, stateOf} = createLookup(new Set(), false);
  assert.equal(stateOf(OTHER, 'any'), 'unknown');
  await clock.advance(TICK_MS);
  assert.equal(stateOf(OTHER, 'any'), 'unknown');
});
