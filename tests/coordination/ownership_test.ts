import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import {
  createOwnership,
  rankOwners,
  type OwnerCandidate,
} from '../../src/coordination/ownership.js';

const KEYS = Array.from({length: 2_000}, (_, index) => `shard-${index}`);
const createHosts = (count: number): OwnerCandidate[] =>
  Array.from({length: count}, (_, index) => ({
    hostId: `host-${index}`,
    failureDomain: `domain-${index % 4}`,
  }));
const ownerOf = (hosts: readonly OwnerCandidate[], key: string) =>
  rankOwners(hosts, {key, count: 1})[0].hostId;

test('only keys of a removed host change their owner', () => {
  const hosts = createHosts(12);
  const fewer = hosts.filter(host => host.hostId !== 'host-5');
  for (const key of KEYS) {
    const before = ownerOf(hosts, key);
    if (before !== 'host-5') assert.equal(ownerOf(fewer, key), before);
  }
});

test('the share of keys follows the weights', () => {
  const hosts = createHosts(4).map((host, index) => ({
    ...host,
    weight: index === 0 ? 3 : 1,
  }));
  const owned = KEYS.filter(key => ownerOf(hosts, key) === 'host-0').length;
  assert.ok(Math.abs(owned / KEYS.length - 0.5) < 0.05, `${owned}`);
});

test('owners of a key are in different failure domains', () => {
  for (const key of KEYS) {
    const owners = rankOwners(createHosts(12), {key, count: 4});
    assert.equal(new Set(owners.map(o => o.failureDomain)).size, 4);
  }
});

test('the history records each owner of a key with its time', () => {
  const clock = createVirtualClock(1_000);
  let hosts = createHosts(4);
  const ownership = createOwnership({clock, candidates: () => hosts});
  ownership.watch('p0');
  ownership.refresh();
  const first = ownership.ownerOf('p0')!;
  clock.advanceSync(500);
  hosts = hosts.filter(host => host.hostId !== first);
  assert.equal(ownership.refresh().length, 1);
  const [taken, moved] = ownership.history('p0');
  assert.equal(taken.to, first);
  assert.deepEqual([moved.from, moved.atMs], [first, 1_500]);
});
