import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import {createPlainBalancer} from '../../src/scheduling/plain_balancer.js';

const SERVICE = 'uus-pearaamat';
const none: ReadonlySet<string> = new Set();

function createBalancer(count = 4) {
  const clock = createVirtualClock();
  const balancer = createPlainBalancer(
    {clock, random: createSeededRandom(5)},
    {ownFailureDomain: 'annelinn-saal'},
  );
  const upstreams = Array.from({length: count}, (_, i) => ({
    upstreamId: `u${i}`,
    address: `10.0.0.${i}:80`,
    failureDomain: 'annelinn-saal',
  }));
  balancer.setUpstreams(SERVICE, upstreams);
  return {clock, balancer};
}

test('calls are spread by the number of outstanding calls', () => {
  const {balancer} = createBalancer();
  const counts = new Map<string, number>();
  for (let i = 0; i < 40; i++) {
    const {upstreamId} = balancer.pick(SERVICE, none)!;
    balancer.started(SERVICE, upstreamId);
    counts.set(upstreamId, (counts.get(upstreamId) ?? 0) + 1);
  }
  assert.deepEqual([...counts.values()], [10, 10, 10, 10]);
});

test('failing upstreams are ejected, but never more than half of them', () => {
  // A network fault at this host looks as if all upstreams fail. Ejecting all
  // of them would turn a short fault into a full outage.
  const {balancer} = createBalancer();
  for (const upstreamId of ['u0', 'u1', 'u2', 'u3']) {
    for (let i = 0; i < 5; i++) {
      balancer.started(SERVICE, upstreamId);
      balancer.ended(SERVICE, upstreamId, 'failed', 5);
    }
  }
  const picked = new Set<string>();
  for (let i = 0; i < 40; i++) {
    const {upstreamId} = balancer.pick(SERVICE, none)!;
    balancer.started(SERVICE, upstreamId);
    picked.add(upstreamId);
  }
  assert.deepEqual([...picked].sort(), ['u2', 'u3']);
});

test('a leaving upstream gets no new calls', () => {
  const {balancer} = createBalancer(2);
  balancer.markLeaving(SERVICE, 'u0');
  for (let i = 0; i < 10; i++) {
    assert.equal(balancer.pick(SERVICE, none)!.upstreamId, 'u1');
  }
  assert.equal(balancer.pick(SERVICE, new Set(['u1'])), undefined);
});

test('many hosts spread their calls over few upstreams', () => {
  // 68 hosts share three upstreams of six slots. A call takes 43 ms, and one of
  // the upstreams is slightly nearer to all hosts. If each host takes the
  // fastest upstream, that one is full while the other two are idle.
  const clock = createVirtualClock();
  const hosts = Array.from({length: 68}, (_, i) => {
    const balancer = createPlainBalancer(
      {clock, random: createSeededRandom(i + 1)},
      {ownFailureDomain: 'annelinn-saal'},
    );
    balancer.setUpstreams(
      SERVICE,
      ['u0', 'u1', 'u2'].map((upstreamId, j) => ({
        upstreamId,
        address: `10.0.0.${j}:80`,
        failureDomain: j === 0 ? 'annelinn-saal' : 'raadi-ruum',
      })),
    );
    return balancer;
  });
  const counts = new Map<string, number>();
  for (let round = 0; round < 120; round++) {
    if (round === 100) counts.clear();
    for (const balancer of hosts) {
      const {upstreamId} = balancer.pick(SERVICE, none)!;
      counts.set(upstreamId, (counts.get(upstreamId) ?? 0) + 1);
      balancer.started(SERVICE, upstreamId);
      balancer.ended(SERVICE, upstreamId, 'ok', 43);
    }
  }
  const mean = (68 * 20) / 3;
  for (const count of counts.values()) {
    assert.ok(
      Math.abs(count - mean) < 0.25 * mean,
      JSON.stringify([...counts]),
    );
  }
});

test('a slow upstream gets fewer calls, but not none', () => {
  const {clock, balancer} = createBalancer(2);
  const counts = new Map<string, number>();
  for (let i = 0; i < 400; i++) {
    const {upstreamId} = balancer.pick(SERVICE, none)!;
    counts.set(upstreamId, (counts.get(upstreamId) ?? 0) + 1);
    balancer.started(SERVICE, upstreamId);
    clock.advanceSync(10);
    balancer.ended(SERVICE, upstreamId, 'ok', upstreamId === 'u0' ? 120 : 40);
  }
  const slow = counts.get('u0') ?? 0;
  assert.ok(slow > 50 && slow < 150, String(slow));
});
