import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import {createDirectory} from '../../src/coordination/directory.js';
import type {Member, MemberState} from '../../src/coordination/membership.js';

const createMember = (index: number, state: MemberState): Member => ({
  hostId: `host-${index}`,
  address: `10.0.0.1:${index}`,
  callerAddress: `10.0.1.1:${index}`,
  failureDomain: `domain-${index % 3}`,
  incarnation: 1,
  refutation: 0,
  state,
});

function createCase() {
  const clock = createVirtualClock(1_000_000);
  const loads = new Map<string, number>();
  let members = Array.from({length: 9}, (_, i) => createMember(i, 'alive'));
  const directory = createDirectory(
    {
      clock,
      random: createSeededRandom(1),
      members: () => members,
      loadOf: hostId => loads.get(hostId),
    },
    {
      hostId: 'host-0',
      callerAddress: '10.0.1.1:0',
      ttlMs: 10_000,
      count: 3,
      rampMs: 30_000,
    },
  );
  /** Counts how often each host comes first in 3,000 answers. */
  function countFirst(): Map<string, number> {
    const counts = new Map<string, number>();
    for (let i = 0; i < 3_000; i++) {
      const {hostId} = directory.answer().entries[0];
      counts.set(hostId, (counts.get(hostId) ?? 0) + 1);
    }
    return counts;
  }
  const setMembers = (next: Member[]) => {
    members = next;
  };
  return {clock, loads, directory, countFirst, setMembers, all: members};
}

test('an answer spans failure domains and its TTL has jitter', () => {
  const {directory, all} = createCase();
  const ttls = new Set<number>();
  for (let i = 0; i < 100; i++) {
    const {entries, ttlMs} = directory.answer();
    const domains = entries.map(
      entry => all.find(m => m.hostId === entry.hostId)!.failureDomain,
    );
    assert.equal(new Set(domains).size, 3);
    assert.ok(ttlMs > 5_900 && ttlMs <= 10_000);
    ttls.add(ttlMs);
  }
  assert.ok(ttls.size > 50);
});

test('a leaving host is omitted and a loaded host comes first less often', () => {
  const {countFirst, loads, setMembers, all} = createCase();
  all.forEach(member => loads.set(member.hostId, 0.2));
  loads.set('host-1', 0.9);
  setMembers([createMember(0, 'leaving'), ...all.slice(1)]);
  const counts = countFirst();
  assert.equal(counts.get('host-0'), undefined);
  assert.ok(counts.get('host-1')! < counts.get('host-2')! / 3);
});

// Guards against an overload of a failure domain that has just returned. Its
// hosts report no load and answers expire within seconds, so without the ramp
// all callers would be sent there at once.
test('a returning domain receives its full share only after the ramp', () => {
  const {clock, countFirst, loads, setMembers, all} = createCase();
  countFirst();
  clock.advanceSync(60_000);
  setMembers(all.filter(member => member.failureDomain !== 'domain-1'));
  countFirst();
  clock.advanceSync(60_000);
  setMembers(all);
  for (const {hostId, failureDomain} of all) {
    loads.set(hostId, failureDomain === 'domain-1' ? 0 : 0.6);
  }
  const countDomain = () => {
    const counts = countFirst();
    return [1, 4, 7].reduce(
      (sum, i) => sum + (counts.get(`host-${i}`) ?? 0),
      0,
    );
  };
  const atOnce = countDomain();
  clock.advanceSync(30_000);
  const later = countDomain();
  assert.ok(atOnce < 300, `${atOnce}`);
  assert.ok(later > 1_500, `${later}`);
});

test('a host without known members returns itself', () => {
  const {directory, setMembers} = createCase();
  setMembers([]);
  assert.equal(directory.answer().entries[0].hostId, 'host-0');
});
