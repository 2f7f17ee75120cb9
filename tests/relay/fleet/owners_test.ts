import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createOwnerRanking,
  rankOwners,
} from '../../../src/relay/fleet/owners.js';

const KEYS = Array.from({length: 200}, (_, i) => `i-${i}`);

function makeHosts(count: number): readonly string[] {
  return Array.from({length: count}, (_, i) => `host-${i}`);
}

test('all hosts with the same list of hosts choose the same owner', () => {
  const hosts = makeHosts(9);
  const other = [...hosts].reverse();
  for (const key of KEYS) {
    assert.deepEqual(rankOwners('t', key, hosts), rankOwners('t', key, other));
  }
});

test('the death of a host moves only the keys it owned', () => {
  // Guards against a death that moves all limits to new owners without state.
  const hosts = makeHosts(9);
  const left = hosts.slice(1);
  for (const key of KEYS) {
    const [before] = rankOwners('t', key, hosts);
    const [after] = rankOwners('t', key, left);
    if (before !== hosts[0]) assert.equal(after, before);
  }
});

test('an order is recomputed only when the hosts change', () => {
  let hosts = makeHosts(300);
  const owners = createOwnerRanking('t', {candidates: () => hosts});
  const first = owners('i-1');
  assert.equal(owners('i-1'), first);
  hosts = hosts.filter(hostId => hostId !== first[0]);
  assert.equal(owners('i-1')[0], first[1]);
});
