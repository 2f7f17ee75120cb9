/**
 * Tests of hosts whose store is restored from a copy that is some seconds old.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {REWRITE_MS} from '../../../src/relay/store/store_era.js';
import {makeSite, makeUpstream, LARGE_DEPLOYMENT_TIMING} from './store_site.js';

/**
 * An upstream gets no requests from this long after the store lists it as
 * leaving.
 */
const LEAVING_LIMIT_MS = 2_000;
/** By then each host has read the registry of hosts twice. */
const SETTLED_MS = 12_000;
const OUTAGE_MS = 500;
/** The limits apply once the store has served a host for this long again. */
const SERVED_AGAIN_MS = 1_500;

/** Entries still missing after this long have been dropped. */
const DROPPED_MS = 2_500;

/** A key may be accepted for this long after it is withdrawn. */
const MAX_UNCONFIRMED_MS = 5_000;
const CALLS_COUNTED_MS = 3_000;

const SERVICE = 'uus-pearaamat';
const upstreams = ['u0', 'u1', 'u2'].map(makeUpstream);

const SIZES = [
  {hostCount: 9, timing: undefined},
  {hostCount: 300, timing: LARGE_DEPLOYMENT_TIMING},
] as const;

type Site = ReturnType<typeof makeSite>;

async function startSite({
  hostCount,
  timing,
}: (typeof SIZES)[number]): Promise<Site> {
  const site = makeSite(hostCount, timing);
  site.setUpstreams(upstreams);
  await site.clock.advance(SETTLED_MS);
  return site;
}

/**
 * Takes the store down, without any failed call if `outageMs` is 0, and restores
 * it from `copy`. The writes of `writeFirst` are applied before any host is
 * served.
 */
async function restoreStore(
  site: Site,
  copy: ReturnType<Site['copy']>,
  {outageMs = OUTAGE_MS, writeFirst = () => {}} = {},
): Promise<void> {
  site.store.isDown = true;
  await site.clock.advance(outageMs);
  site.restore(copy);
  writeFirst();
  site.store.isDown = false;
}

async function countCalls(site: Site): Promise<number> {
  const before = site.store.calls;
  await site.clock.advance(CALLS_COUNTED_MS);
  return site.store.calls - before;
}

function assertOpen(site: Site, expected: readonly string[]): void {
  for (const {hostId, registry} of site.live()) {
    const open = registry.open(SERVICE).map(({id}) => id);
    assert.deepEqual(open.sort(), expected, hostId);
  }
}

for (const size of SIZES) {
  test(`${size.hostCount} hosts accept the lists of a store that lost writes`, async () => {
    // Guards against lists that are rejected until revisions exceed the earlier
    // ones.
    const site = await startSite(size);
    const copy = site.copy();
    site.write(100);
    await site.clock.advance(3_000);
    await restoreStore(site, copy);
    await site.clock.advance(SERVED_AGAIN_MS);
    site.setUpstreams(upstreams.slice(1));
    await site.clock.advance(LEAVING_LIMIT_MS);
    assertOpen(site, ['u1', 'u2']);
  });

  test(`${size.hostCount} hosts accept a different list with a reused revision`, async () => {
    // Guards against hosts that mistake a different list for the one they have.
    const site = await startSite(size);
    const copy = site.copy();
    site.setUpstreams([...upstreams, makeUpstream('lost')]);
    await site.clock.advance(3_000);
    await restoreStore(site, copy);
    await site.clock.advance(SERVED_AGAIN_MS);
    site.setUpstreams(upstreams.slice(1));
    assert.equal(site.store.revision, copy.revision + 1);
    await site.clock.advance(LEAVING_LIMIT_MS + OUTAGE_MS);
    assertOpen(site, ['u1', 'u2']);
  });

  test(`${size.hostCount} hosts read a configuration written below their cursor`, async () => {
    // Guards against a feed that resumes after a version written since the
    // copy.
    const site = await startSite(size);
    const copy = site.copy();
    site.write(100);
    await site.clock.advance(3_000);
    const writeFirst = () => {
      site.configure();
      site.write(200);
    };
    await restoreStore(site, copy, {outageMs: 0, writeFirst});
    await site.clock.advance(SERVED_AGAIN_MS);
    for (const {hostId, routing} of site.live()) {
      assert.equal(routing.version(), site.store.version, hostId);
    }
  });

  test(`${size.hostCount} hosts keep upstreams that registered after the copy`, async () => {
    // Guards against refused callers until live upstreams register again.
    const site = await startSite(size);
    const copy = site.copy();
    site.setUpstreams([...upstreams, makeUpstream('new')]);
    await site.clock.advance(3_000);
    await restoreStore(site, copy);
    await site.clock.advance(SERVED_AGAIN_MS);
    assertOpen(site, ['new', 'u0', 'u1', 'u2']);
    await site.clock.advance(DROPPED_MS);
    assertOpen(site, ['u0', 'u1', 'u2']);
  });

  test(`${size.hostCount} hosts exclude an upstream that had left and returns with the copy`, async () => {
    // Guards against requests to addresses that may belong to other upstreams
    // by now.
    const site = await startSite(size);
    const copy = site.copy();
    site.setUpstreams(upstreams.slice(1));
    await site.clock.advance(3_000);
    await restoreStore(site, copy);
    await site.clock.advance(SERVED_AGAIN_MS);
    assertOpen(site, ['u1', 'u2']);
  });

  test(`${size.hostCount} hosts exclude a draining upstream that the copy lists as ready`, async () => {
    // Guards against an upstream whose drain state was lost with the store's
    // writes.
    const site = await startSite(size);
    const copy = site.copy();
    const draining = {...upstreams[0], isDraining: true};
    site.setUpstreams([draining, ...upstreams.slice(1)]);
    await site.clock.advance(3_000);
    await restoreStore(site, copy);
    await site.clock.advance(SERVED_AGAIN_MS);
    assertOpen(site, ['u1', 'u2']);
  });
}

test('a host that starts after a restore trusts its configuration once enough time has passed', async () => {
  // Guards against a host that takes the copy's configuration for the newest.
  const site = await startSite(SIZES[0]);
  const copy = site.copy();
  site.configure();
  await site.clock.advance(3_000);
  await restoreStore(site, copy);
  const late = site.join('late');
  await site.clock.advance(200);
  assert.equal(late.routing.version(), copy.version);
  assert.equal(late.freshness.ageMs(), Number.POSITIVE_INFINITY);
  site.configure(copy.version + 1);
  await site.clock.advance(REWRITE_MS + SERVED_AGAIN_MS);
  assert.equal(late.routing.version(), copy.version + 1);
  assert.ok(late.freshness.ageMs() < SERVED_AGAIN_MS);
});

test('a joining host trusts its configuration as soon as a peer confirms it', async () => {
  // Guards against waiting again in an era that began long ago.
  const site = await startSite(SIZES[0]);
  await restoreStore(site, site.copy());
  await site.clock.advance(SETTLED_MS);
  const late = site.join('late');
  await site.clock.advance(500);
  assert.ok(late.freshness.ageMs() < SERVED_AGAIN_MS);
});

for (const size of SIZES) {
  test(`${size.hostCount} hosts keep a confirmed configuration when the era changes`, async () => {
    // Guards against most hosts refusing callers with keys indefinitely.
    const site = await startSite(size);
    site.setAccounts([{name: 'rmtp', keyDigests: ['k'], priority: 1}]);
    site.configure();
    await site.clock.advance(3_000);
    await restoreStore(site, site.copy(), {outageMs: 0});
    for (let i = 0; i < 20; i++) {
      await site.clock.advance(500);
      for (const {hostId, freshness} of site.live()) {
        assert.ok(freshness.ageMs() < MAX_UNCONFIRMED_MS, `${hostId} at ${i}`);
      }
    }
  });
}

test('hosts that are missing from the copy register again', async () => {
  // Guards against hosts that cannot be found from a stale seed address alone.
  const site = makeSite(9);
  const empty = site.copy();
  await site.clock.advance(SETTLED_MS);
  assert.equal(site.registeredIds().length, 9);
  await restoreStore(site, empty);
  await site.clock.advance(LEAVING_LIMIT_MS + SERVED_AGAIN_MS);
  assert.equal(site.registeredIds().length, 9);
});

test('a leaving host removes itself again when the copy contains it', async () => {
  // Guards against probes of addresses that no host uses any more.
  const site = await startSite(SIZES[0]);
  const copy = site.copy();
  site.hosts[4].watch.unregister();
  await site.clock.advance(1_000);
  assert.equal(site.registeredIds().length, 8);
  await restoreStore(site, copy);
  await site.clock.advance(SERVED_AGAIN_MS);
  assert.equal(site.registeredIds().length, 8);
});

for (const size of SIZES) {
  test(`${size.hostCount} hosts learn of a new era without a call to the store by each`, async () => {
    // Guards against a call by every host at once to a store that is just back.
    const site = await startSite(size);
    const copy = site.copy();
    site.write(100);
    const quiet = await countCalls(site);
    await restoreStore(site, copy, {outageMs: 0});
    const busy = await countCalls(site);
    assert.ok(busy - quiet <= size.hostCount / 4 + 12, `${quiet}, ${busy}`);
    for (const {hostId, registry} of site.live()) {
      assert.equal(registry.revision().era, 1, hostId);
    }
  });
}

test('a host that cannot reach the store adopts the era of its peers', async () => {
  // Guards against a host that considers its peers' lists older than its own.
  const site = await startSite(SIZES[0]);
  const [away] = site.hosts;
  const copy = site.copy();
  site.write(100);
  await site.clock.advance(3_000);
  site.cut.add(away.hostId);
  await restoreStore(site, copy);
  await site.clock.advance(SERVED_AGAIN_MS);
  site.setUpstreams(upstreams.slice(1));
  await site.clock.advance(LEAVING_LIMIT_MS);
  assertOpen(site, ['u1', 'u2']);
});
