import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import {createPlainBalancer} from '../../src/scheduling/plain_balancer.js';

const SERVICE = 'uus-pearaamat';
const none: ReadonlySet<string> = new Set();

function makeBalancer(count = 4) {
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

test('calls spread over the upstreams by what is outstanding', () => {
  const {balancer} = makeBalancer();
  const counts = new Map<string, number>();
  for (let i = 0; i < 40; i++) {
    const {upstreamId} = balancer.pick(SERVICE, none)!;
    balancer.started(SERVICE, upstreamId);
    counts.set(upstreamId, (counts.get(upstreamId) ?? 0) + 1);
  }
  assert.deepEqual([...counts.values()], [10, 10, 10, 10]);
});

test('upstreams that fail are left out, but never more than half of them', () => {
  // A network fault of our own looks like all upstreams failing. Leaving all
  // out would turn a passing fault into a full outage.
  const {balancer} = makeBalancer();
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

test('a leaving upstream gets no new call', () => {
  const {balancer} = makeBalancer(2);
  balancer.markLeaving(SERVICE, 'u0');
  for (let i = 0; i < 10; i++) {
    assert.equal(balancer.pick(SERVICE, none)!.upstreamId, 'u1');
  }
  assert.equal(balancer.pick(SERVICE, new Set(['u1'])), undefined);
});
