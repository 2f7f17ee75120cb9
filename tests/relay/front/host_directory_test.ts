import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {
  listEntries,
  type EntryMember,
} from '../../../src/relay/front/host_directory.js';
import {ROTATION_MS} from '../../../src/relay/front/entry_rotation.js';
import {makeEntryHosts, simulateEntries} from './entry_load.js';

function list(hosts: readonly EntryMember[], wallMs = 0, seed = 1) {
  return listEntries({
    clock: {wallMs: () => wallMs},
    random: createSeededRandom(seed),
    self: () => hosts[0],
    peers: () => hosts.slice(1),
  })?.addresses;
}

test('small hosts get callers in proportion to their capacity', t => {
  // Guards against hosts of a quarter core that get as many callers as the
  // largest, and against lists that change with each answer, which cost callers
  // their connections.
  for (const seed of [1, 2, 3, 4, 5]) {
    const all = simulateEntries(seed, 'all');
    const drawn = simulateEntries(seed, 'drawn');
    const rotated = simulateEntries(seed, 'rotated');
    const seen = JSON.stringify({seed, all, drawn, rotated});
    t.diagnostic(seen);
    assert.ok(rotated.highestLoad < 1.4, seen);
    assert.ok(all.highestLoad > 2 * rotated.highestLoad, seen);
    assert.ok(rotated.dropped < drawn.dropped / 2, seen);
  }
});

test('equal or unknown capacities get the same answers as before', () => {
  const uneven = makeEntryHosts(1);
  const bare = uneven.map((each): EntryMember => ({
    ...each,
    capacity: undefined,
  }));
  const equal = bare.map(each => ({
    ...each,
    capacity: [14, 0.5, 400] as const,
  }));
  const answer = list(bare);
  assert.equal(answer?.length, 63);
  assert.equal(answer[0], bare[0].callerAddress);
  assert.deepEqual(list(equal), answer);
  assert.deepEqual(list(equal, 7_000), answer);
});

test('hosts that leave or start are never listed, and few ready ones all are', () => {
  for (const state of ['leaving', 'starting'] as const) {
    for (let wallMs = 0; wallMs < ROTATION_MS; wallMs += 250) {
      const hosts = makeEntryHosts(2).map((each, i) =>
        i % 9 === 0 ? each : {...each, state},
      );
      const ready = hosts.filter(each => each.state === 'ready');
      const addresses = ready.map(({callerAddress}) => callerAddress);
      assert.deepEqual([...list(hosts, wallMs)!].sort(), addresses.sort());
    }
  }
  const gone = makeEntryHosts(2).map(each => ({
    ...each,
    state: 'leaving' as const,
  }));
  assert.equal(list(gone), undefined);
});

test('an answer holds at least 8 entries, even if one host is far larger than all others', () => {
  const hosts = makeEntryHosts(3).map((each, i) => ({
    ...each,
    capacity: [100, i === 5 ? 64 : 0.01, 400] as const,
  }));
  for (let wallMs = 0; wallMs < ROTATION_MS; wallMs += 250) {
    assert.equal(list(hosts, wallMs)!.length, 8);
    assert.ok(list(hosts, wallMs)!.includes('host-5:80'));
  }
});
