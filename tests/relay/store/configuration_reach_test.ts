/**
 * Tests of how soon each host has a configuration in force, beside connections,
 * answers and datagrams that fail, and of what it says of its age.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LARGE_DEPLOYMENT_TIMING, makeSite} from './store_site.js';

/** The tightest bound of the platforms, from the acknowledgement on. */
const IN_FORCE_MS = 2_000;
const SETTLED_MS = 5_000;
const NO_NEWS_MS = 60_000;
const OUTAGES_MS = [700, 1_900, 3_940, 6_090];
const SIZES = [
  {hostCount: 9, timing: undefined},
  {hostCount: 68, timing: LARGE_DEPLOYMENT_TIMING},
] as const;

type Site = ReturnType<typeof makeSite>;

async function startSite({hostCount, timing}: (typeof SIZES)[number]) {
  const site = makeSite(hostCount, timing);
  await site.clock.advance(SETTLED_MS);
  return site;
}

const allIds = (site: Site) => site.hosts.map(({hostId}) => hostId);

async function assertInForce(site: Site, context: string): Promise<void> {
  site.configure();
  await site.clock.advance(IN_FORCE_MS);
  for (const {hostId, routing} of site.live()) {
    assert.equal(routing.version(), site.store.version, `${hostId} ${context}`);
  }
}

for (const size of SIZES) {
  test(`${size.hostCount} hosts apply a version in time while open connections are silent`, async () => {
    // Guards against one timeout after the other on connections of one pool.
    for (let phaseMs = 0; phaseMs < 1_200; phaseMs += 300) {
      const site = await startSite(size);
      await site.clock.advance(phaseMs);
      site.silenceConnections(allIds(site));
      await assertInForce(site, `at ${phaseMs}`);
    }
  });

  for (const kind of ['isDown', 'isSilent'] as const) {
    test(`${size.hostCount} hosts apply a version in time after the store was away: ${kind}`, async () => {
      // Guards against a back-off that outlasts the news of a newer version.
      for (const outageMs of OUTAGES_MS) {
        const site = await startSite(size);
        site.store[kind] = true;
        await site.clock.advance(outageMs);
        site.store[kind] = false;
        await assertInForce(site, `after ${outageMs}`);
      }
    });
  }

  test(`${size.hostCount} hosts apply a version in time while connections fall silent one after the other`, async () => {
    // Guards against retries on connections that may be silent too.
    const site = await startSite(size);
    for (let round = 0; round < 12; round++) {
      site.silenceConnections(
        allIds(site).filter((_, i) => i % 3 !== round % 3),
      );
      await site.clock.advance(170);
      site.silenceConnections(
        allIds(site).filter((_, i) => i % 3 === round % 3),
      );
      await assertInForce(site, `round ${round}`);
    }
  });
}

for (const size of SIZES) {
  test(`${size.hostCount} hosts apply a version in time without news, with a read lost on a new connection`, async () => {
    // Guards against a retry that comes after the timeouts of two lost reads.
    for (const lateMs of [0, 300]) {
      for (let phaseMs = 0; phaseMs < 1_200; phaseMs += 150) {
        const site = await startSite(size);
        site.store.lateMs = lateMs;
        await site.clock.advance(2_000 + phaseMs);
        site.store.lateMs = 0;
        for (const {hostId} of site.hosts) {
          site.heldMs.set(hostId, NO_NEWS_MS);
          site.lostNewReads.set(hostId, 1);
        }
        site.silenceConnections(allIds(site));
        await assertInForce(site, `at ${phaseMs}, answers after ${lateMs}`);
      }
    }
  });
}

test('a confirmation is no younger than the answer of the store', async () => {
  // Guards against an older version that late answers confirm as the newest.
  const site = await startSite(SIZES[1]);
  site.store.lateMs = 500;
  await site.clock.advance(3_000);
  for (let i = 0; i < 150; i++) {
    await site.clock.advance(20);
    for (const {hostId, watch} of site.hosts) {
      const {ageMs} = watch.configurationStatus();
      assert.ok(ageMs >= site.store.lateMs, `${hostId}: ${ageMs}`);
    }
  }
});

test('a confirmation is no younger than the datagram that brought it', async () => {
  // Guards against an older version that datagrams confirm which lay in a socket.
  const site = await startSite(SIZES[0]);
  const host = site.hosts.find(each => !each.readers.isReader());
  assert.ok(host);
  site.cut.add(host.hostId);
  site.heldMs.set(host.hostId, 1_500);
  await site.clock.advance(4_000);
  for (let i = 0; i < 50; i++) {
    await site.clock.advance(20);
    assert.ok(host.watch.configurationStatus().ageMs >= 1_400);
  }
});

test('a list is in force in time while open connections are silent', async () => {
  // Guards against one timeout after the other on connections of one pool.
  for (let phaseMs = 0; phaseMs < 1_200; phaseMs += 300) {
    const site = await startSite(SIZES[1]);
    await site.clock.advance(phaseMs);
    site.silenceConnections(allIds(site));
    site.setUpstreams([]);
    await site.clock.advance(IN_FORCE_MS);
    for (const {hostId, registry} of site.live()) {
      assert.equal(registry.open('uus-pearaamat').length, 0, hostId);
    }
  }
});

test('a host that stood still confirms its version before it refuses by it', async () => {
  // Guards against a 404 by an older version, right after a host goes on.
  const site = await startSite(SIZES[0]);
  const host = site.hosts.find(each => !each.readers.isReader());
  assert.ok(host);
  site.heldMs.set(host.hostId, 3_000);
  site.cut.add(host.hostId);
  await site.clock.advance(2_000);
  site.configure();
  await site.clock.advance(600);
  assert.equal(host.routing.version(), 1);
  assert.equal(await host.watch.confirmConfiguration(true), false);
  site.cut.delete(host.hostId);
  await site.clock.advance(3_000);
  assert.equal(await host.watch.confirmConfiguration(true), true);
  assert.equal(host.routing.version(), 2);
});

test('a store that answers slowly gets few calls twice', async () => {
  // Guards against three calls for each read of a store that is slow already.
  const site = await startSite(SIZES[0]);
  site.store.lateMs = 400;
  await site.clock.advance(3_000);
  const before = site.store.calls;
  await site.clock.advance(5_000);
  const perSecond = (site.store.calls - before) / 5;
  assert.ok(
    perSecond <= 2.5 * site.hosts.length,
    `${perSecond} calls a second`,
  );
});
