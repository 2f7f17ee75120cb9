import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import {divideEngines} from '../../src/relay/role_demand.js';
import {
  createSharedLearning,
  type SharedLearning,
} from '../../src/relay/shared_learning.js';

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

test('most starts lie within the estimate, which follows a burst', async () => {
  // A request that can start only after the mean start is late as often as
  // not, and has then taken the room of one that would have been on time.
  const estimate = (base: number) =>
    play(9, (host, index) => host.noteStart(base + (index % 10) * 10));
  const calm = (await estimate(200)).startEstimateMs();
  const busy = (await estimate(450)).startEstimateMs();
  assert.ok(calm > 270 && calm < 310, String(calm));
  assert.ok(busy > 520 && busy < 560, String(busy));
});

test('a host that is gone counts no more, nor does what is long ago', async () => {
  const clock = createVirtualClock(1_000);
  const learning = createSharedLearning({clock});
  const other = createSharedLearning({clock});
  for (let i = 0; i < 50; i++) other.noteStart(900);
  const first = learning.startEstimateMs();
  learning.hear('other', other.own());
  assert.ok(learning.startEstimateMs() > 800);
  await clock.advance(30_000);
  assert.ok(Math.abs(learning.startEstimateMs() - first) < 10);
  learning.hear('other', other.own());
  learning.forget('other');
  assert.equal(learning.startEstimateMs(), first);
});
