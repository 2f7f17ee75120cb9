import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {divideEngines} from '../../../src/relay/roles/role_demand.js';
import {
  createSharedLearning,
  type SharedLearning,
} from '../../../src/relay/placement/shared_learning.js';

/** Hosts that see streams in turn and tell each other each second. */
async function play(
  hostCount: number,
  see: (learning: SharedLearning, index: number) => void,
): Promise<SharedLearning> {
  const clock = createVirtualClock(1_000);
  const hosts = Array.from({length: hostCount}, () =>
    createSharedLearning({clock}),
  );
  for (let index = 0; index < 400; index++) {
    see(hosts[index % hostCount], index);
    await clock.advance(20);
    if (index % 50 > 0) continue;
    for (const [i, host] of hosts.entries()) {
      hosts[0].hear(`host-${i}`, host.own());
    }
    hosts[0].forget('host-0');
  }
  return hosts[0];
}

test('one of many hosts knows what all of them saw', async () => {
  // 68 hosts see a stream in two seconds each. The one that plans the engines'
  // roles went by the streams that ran at itself, for the whole day.
  const learning = await play(68, (host, index) => {
    host.noteRun({
      promptTokens: 800,
      outputTokens: 400,
      durationMs: 6_000 + (index % 7) * 10,
      kvTokens: 10_000,
    });
    host.notePrefill(800, 20);
  });
  const demand = divideEngines(learning, 30);
  // 20 ms of reading to some 650 ms of an engine: one in thirty reads.
  assert.ok(demand.prefillEngines < 2.5, JSON.stringify(demand));
  assert.ok(learning.meanRunMs() > 5_000);
});

test('the mean start follows a burst within seconds', async () => {
  // In a burst prompts wait behind others. A host that still counts on a quick
  // start lets its requests wait until they cannot be on time any more.
  const estimate = (base: number) =>
    play(9, (host, index) => host.noteStart(base + (index % 10) * 10));
  const calm = (await estimate(200)).meanStartMs();
  const busy = (await estimate(450)).meanStartMs();
  assert.ok(calm > 235 && calm < 255, String(calm));
  assert.ok(busy > 480 && busy < 500, String(busy));
});

test('a host that is gone counts no more, nor does what is long ago', async () => {
  const clock = createVirtualClock(1_000);
  const learning = createSharedLearning({clock});
  const other = createSharedLearning({clock});
  for (let i = 0; i < 50; i++) other.noteStart(900);
  const first = learning.meanStartMs();
  learning.hear('other', other.own());
  assert.ok(learning.meanStartMs() > 800);
  await clock.advance(30_000);
  assert.ok(Math.abs(learning.meanStartMs() - first) < 10);
  learning.hear('other', other.own());
  learning.forget('other');
  assert.equal(learning.meanStartMs(), first);
});
