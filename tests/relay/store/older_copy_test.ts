/** Hosts before a store that comes back from a copy some seconds old. */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {WRITTEN_AGAIN_MS} from '../../../src/relay/store/store_era.js';
import {makeSite, makeUpstream, OF_MANY} from './store_site.js';

/** After the store's word, an upstream gets nothing more from then on. */
const LEAVING_BOUND_MS = 2_000;
/** By then each host has read the registry of hosts twice. */
const SETTLED_MS = 12_000;
const AWAY_MS = 500;
/** Hosts are held to bounds once the store has served them for so long. */
const SERVED_AGAIN_MS = 1_500;

/** What has not come back by then is taken for gone. */
const FORGOTTEN_MS = 2_500;

/** A key may work for so long after its withdrawal. */
const MOST_UNSURE_MS = 5_000;
const CALLS_COUNTED_MS = 3_000;

const SERVICE = 'uus-pearaamat';
const upstreams = ['u0', 'u1', 'u2'].map(makeUpstream);

const SIZES = [
  {hostCount: 9, chatter: undefined},
  {hostCount: 300, chatter: OF_MANY},
] as const;

type Site = ReturnType<typeof makeSite>;

async function startSite({
  hostCount,
  chatter,
}: (typeof SIZES)[number]): Promise<Site> {
  const site = makeSite(hostCount, chatter);
  site.setUpstreams(upstreams);
  await site.clock.advance(SETTLED_MS);
  return site;
}

/**
 * The store is away for a moment, too short for any call to fail where that is
 * 0, and comes back as of `copy`. What `writeFirst`
 * writes is there before any host is served.
 */
async function comeBack(
  site: Site,
  copy: ReturnType<Site['copy']>,
  {awayMs = AWAY_MS, writeFirst = () => {}} = {},
): Promise<void> {
  site.store.isDown = true;
  await site.clock.advance(awayMs);
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
  test(`${size.hostCount} hosts take the lists of a store that lost writes`, async () => {
    // Guards against lists that are left out until numbers are as high as before.
    const site = await startSite(size);
    const copy = site.copy();
    site.write(100);
    await site.clock.advance(3_000);
    await comeBack(site, copy);
    await site.clock.advance(SERVED_AGAIN_MS);
    site.setUpstreams(upstreams.slice(1));
    await site.clock.advance(LEAVING_BOUND_MS);
    assertOpen(site, ['u1', 'u2']);
  });

  test(`${size.hostCount} hosts take a list that has a number which was given out before`, async () => {
    // Guards against another list that hosts take for the one they have.
    const site = await startSite(size);
    const copy = site.copy();
    site.setUpstreams([...upstreams, makeUpstream('lost')]);
    await site.clock.advance(3_000);
    await comeBack(site, copy);
    await site.clock.advance(SERVED_AGAIN_MS);
    site.setUpstreams(upstreams.slice(1));
    assert.equal(site.store.revision, copy.revision + 1);
    await site.clock.advance(LEAVING_BOUND_MS + AWAY_MS);
    assertOpen(site, ['u1', 'u2']);
  });

  test(`${size.hostCount} hosts get a configuration that the store has below their cursor`, async () => {
    // Guards against a feed that goes on behind a version written after the copy.
    const site = await startSite(size);
    const copy = site.copy();
    site.write(100);
    await site.clock.advance(3_000);
    const writeFirst = () => {
      site.configure();
      site.write(200);
    };
    await comeBack(site, copy, {awayMs: 0, writeFirst});
    await site.clock.advance(SERVED_AGAIN_MS);
    for (const {hostId, routing} of site.live()) {
      assert.equal(routing.version(), site.store.version, hostId);
    }
  });

  test(`${size.hostCount} hosts keep upstreams that are newer than the copy`, async () => {
    // Guards against callers that are refused until live upstreams register again.
    const site = await startSite(size);
    const copy = site.copy();
    site.setUpstreams([...upstreams, makeUpstream('new')]);
    await site.clock.advance(3_000);
    await comeBack(site, copy);
    await site.clock.advance(SERVED_AGAIN_MS);
    assertOpen(site, ['new', 'u0', 'u1', 'u2']);
    await site.clock.advance(FORGOTTEN_MS);
    assertOpen(site, ['u0', 'u1', 'u2']);
  });

  test(`${size.hostCount} hosts leave out what left and comes back with the copy`, async () => {
    // Guards against calls to addresses that may be another upstream's by now.
    const site = await startSite(size);
    const copy = site.copy();
    site.setUpstreams(upstreams.slice(1));
    await site.clock.advance(3_000);
    await comeBack(site, copy);
    await site.clock.advance(SERVED_AGAIN_MS);
    assertOpen(site, ['u1', 'u2']);
  });

  test(`${size.hostCount} hosts leave out what drains though the copy has it as ready`, async () => {
    // Guards against an upstream whose word that it leaves the store has lost.
    const site = await startSite(size);
    const copy = site.copy();
    const draining = {...upstreams[0], isDraining: true};
    site.setUpstreams([draining, ...upstreams.slice(1)]);
    await site.clock.advance(3_000);
    await comeBack(site, copy);
    await site.clock.advance(SERVED_AGAIN_MS);
    assertOpen(site, ['u1', 'u2']);
  });
}

test('a host that starts after the store came back is sure by the word of others, or after a while', async () => {
  // Guards against a host that takes the older copy's configuration for the newest.
  const site = await startSite(SIZES[0]);
  const copy = site.copy();
  site.configure();
  await site.clock.advance(3_000);
  await comeBack(site, copy);
  const late = site.join('late');
  await site.clock.advance(200);
  assert.equal(late.routing.version(), copy.version);
  assert.equal(late.freshness.ageMs(), Number.POSITIVE_INFINITY);
  site.configure(copy.version + 1);
  await site.clock.advance(WRITTEN_AGAIN_MS + SERVED_AGAIN_MS);
  assert.equal(late.routing.version(), copy.version + 1);
  assert.ok(late.freshness.ageMs() < SERVED_AGAIN_MS);
});

test('a host that joins others is sure as soon as one of them tells it', async () => {
  // Guards against waiting in an era that has lasted for long.
  const site = await startSite(SIZES[0]);
  await comeBack(site, site.copy());
  await site.clock.advance(SETTLED_MS);
  const late = site.join('late');
  await site.clock.advance(500);
  assert.ok(late.freshness.ageMs() < SERVED_AGAIN_MS);
});

for (const size of SIZES) {
  test(`${size.hostCount} hosts stay sure of their configuration over an era`, async () => {
    // Guards against callers with keys who are refused for good by most hosts.
    const site = await startSite(size);
    site.setAccounts([{name: 'rmtp', keyDigests: ['k'], priority: 1}]);
    site.configure();
    await site.clock.advance(3_000);
    await comeBack(site, site.copy(), {awayMs: 0});
    for (let i = 0; i < 20; i++) {
      await site.clock.advance(500);
      for (const {hostId, freshness} of site.live()) {
        assert.ok(freshness.ageMs() < MOST_UNSURE_MS, `${hostId} at ${i}`);
      }
    }
  });
}

test('hosts that the older copy lacks register again', async () => {
  // Guards against hosts that no host finds which knows a stale address only.
  const site = makeSite(9);
  const empty = site.copy();
  await site.clock.advance(SETTLED_MS);
  assert.equal(site.registeredIds().length, 9);
  await comeBack(site, empty);
  await site.clock.advance(LEAVING_BOUND_MS + SERVED_AGAIN_MS);
  assert.equal(site.registeredIds().length, 9);
});

test('a host that leaves takes itself out again where the copy has it', async () => {
  // Guards against probes of addresses at which nobody is any more.
  const site = await startSite(SIZES[0]);
  const copy = site.copy();
  site.hosts[4].watch.unregister();
  await site.clock.advance(1_000);
  assert.equal(site.registeredIds().length, 8);
  await comeBack(site, copy);
  await site.clock.advance(SERVED_AGAIN_MS);
  assert.equal(site.registeredIds().length, 8);
});

for (const size of SIZES) {
  test(`${size.hostCount} hosts hear of an era without calling the store each`, async () => {
    // Guards the store, just back, against a call of each host at once.
    const site = await startSite(size);
    const copy = site.copy();
    site.write(100);
    const quiet = await countCalls(site);
    await comeBack(site, copy, {awayMs: 0});
    const busy = await countCalls(site);
    assert.ok(busy - quiet <= size.hostCount / 4 + 12, `${quiet}, ${busy}`);
    for (const {hostId, registry} of site.live()) {
      assert.equal(registry.revision().era, 1, hostId);
    }
  });
}

test('a host that the store turns away goes by the era of its peers', async () => {
  // Guards against a host that takes its peers' lists for older than its own.
  const site = await startSite(SIZES[0]);
  const [away] = site.hosts;
  const copy = site.copy();
  site.write(100);
  await site.clock.advance(3_000);
  site.cut.add(away.hostId);
  await comeBack(site, copy);
  await site.clock.advance(SERVED_AGAIN_MS);
  site.setUpstreams(upstreams.slice(1));
  await site.clock.advance(LEAVING_BOUND_MS);
  assertOpen(site, ['u1', 'u2']);
});
