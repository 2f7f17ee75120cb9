import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {divideEngines} from '../../../src/relay/roles/role_demand.js';
import {
  createSharedStatistics,
  type SharedStatistics,
} from '../../../src/relay/placement/shared_statistics.js';

/** Hosts that observe streams in turn and announce their sums each second. */
async function simulate(
  hostCount: number,
  observe: (statistics: SharedStatistics, index: number) => void,
): Promise<SharedStatistics> {
  const clock = createVirtualClock(1_000);
  const hosts = Array.from({length: hostCount}, () =>
    createSharedStatistics({clock}),
  );
  for (let index = 0; index < 400; index++) {
    observe(hosts[index % hostCount], index);
    await clock.advance(20);
    if (index % 50 > 0) continue;
    for (const [i, host] of hosts.entries()) {
      hosts[0].setPeer(`host-${i}`, host.ownSums());
    }
    hosts[0].removePeer('host-0');
  }
  return hosts[0];
}

test('the means of one host cover the observations of all hosts', async () => {
  // Guards against a planner that divides the engines by its own streams alone:
  // with 68 hosts each sees one stream in two seconds.
  const statistics = await simulate(68, (host, index) => {
    host.recordRun({
      promptTokens: 800,
      outputTokens: 400,
      durationMs: 6_000 + (index % 7) * 10,
      kvTokens: 10_000,
    });
    host.recordPrefill(800, 20);
  });
  const demand = divideEngines(statistics, 30);
  // 20 ms of prefill for some 650 ms of a decode engine: one engine in thirty
  // prefills.
  assert.ok(demand.prefillEngines < 2.5, JSON.stringify(demand));
  assert.ok(statistics.meanRunMs() > 5_000);
});

test('the mean start time follows a burst within seconds', async () => {
  // In a burst prompts wait behind others. A host that still expects a quick
  // start lets its requests wait until they can no longer be on time.
  const estimate = (base: number) =>
    simulate(9, (host, index) => host.recordStart(base + (index % 10) * 10));
  const calm = (await estimate(200)).meanStartMs();
  const busy = (await estimate(450)).meanStartMs();
  assert.ok(calm > 235 && calm < 255, String(calm));
  assert.ok(busy > 480 && busy < 500, String(busy));
});

test('observations of removed hosts and old observations do not count', async () => {
  const clock = createVirtualClock(1_000);
  const statistics = createSharedStatistics({clock});
  const other = createSharedStatistics({clock});
  for (let i = 0; i < 50; i++) other.recordStart(900);
  const first = statistics.meanStartMs();
  statistics.setPeer('other', other.ownSums());
  assert.ok(statistics.meanStartMs() > 800);
  await clock.advance(30_000);
  assert.ok(Math.abs(statistics.meanStartMs() - first) < 10);
  statistics.setPeer('other', other.ownSums());
  statistics.removePeer('other');
  assert.equal(statistics.meanStartMs(), first);
});

test('short runs, which end first, change no division of engines after a start', async () => {
  // Guards against an engine that is away in the first burst, and sent back later.
  const clock = createVirtualClock(1_000);
  const statistics = createSharedStatistics({clock});
  const before = divideEngines(statistics, 18).prefillEngines;
  let most = before;
  for (let index = 0; index < 150; index++) {
    // Means 365 ms of an engine, as assumed before there are observations.
    const outputTokens = 100 + 100 * ((index * 7) % 16);
    const durationMs = 4 * outputTokens;
    const run = {promptTokens: 3_200, outputTokens, durationMs};
    clock.setTimer(durationMs, () =>
      statistics.recordRun({...run, kvTokens: 36_900}),
    );
    await clock.advance(80);
    most = Math.max(most, divideEngines(statistics, 18).prefillEngines);
  }
  assert.ok(most < 1.04 * before, JSON.stringify({before, most}));
  const after = divideEngines(statistics, 18).prefillEngines;
  assert.ok(after > 0.96 * before, JSON.stringify({before, after}));
});
