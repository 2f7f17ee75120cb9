import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {Member} from '../../../src/relay/fleet/members.js';
import {createForwardPeers} from '../../../src/relay/forwarding/forward_peers.js';

const FAILURE_DOMAIN = 'bp-obuda';

function makePeers(hostIds: readonly string[]) {
  const clock = createVirtualClock();
  const members = hostIds.map(
    hostId =>
      ({hostId, state: 'ready', failureDomain: FAILURE_DOMAIN}) as Member,
  );
  const peers = createForwardPeers({
    clock,
    random: {nextFloat: () => 0, nextInt: () => 0, nextId: () => ''},
    failureDomain: FAILURE_DOMAIN,
    peers: () => members,
  });
  const order = () => peers.candidates().map(({hostId}) => hostId);
  return {clock, peers, order};
}

test('a peer that was late is asked before those that decline', () => {
  // Guards against callers refused since the only host with links is slow.
  const {clock, peers, order} = makePeers(['a', 'b', 'c', 'd', 'e']);
  peers.noteFailed('a');
  for (const hostId of ['b', 'c', 'd']) peers.noteUnreached(hostId);
  assert.deepEqual(order().slice(0, 2), ['e', 'a']);
  clock.standStill(1_000);
  assert.deepEqual(order(), ['a', 'b', 'c', 'd']);
});
