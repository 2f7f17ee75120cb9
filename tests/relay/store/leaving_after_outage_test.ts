/**
 * Guards against requests to an upstream for more than two seconds after the
 * store listed it as leaving.
 *
 * Some of the hosts could not reach the store for eight seconds and then relied
 * on their peers' reads. When an upstream left four seconds later, these hosts
 * made their first own read since the outage. They mistook it for the moment
 * the store came back and kept the missing entry for 2.3 s, the time upstreams
 * have to register again. Hosts that had been served all along dropped it
 * within 0.8 s.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {makeSite, makeUpstream} from './store_site.js';

/**
 * An upstream gets no requests from this long after the store lists it as
 * leaving.
 */
const LEAVING_LIMIT_MS = 2_000;
/** The limits apply once the store has served a host for this long again. */
const SERVED_AGAIN_MS = 3_000;
/** By then each host has read the registry of hosts twice. */
const SETTLED_MS = 12_000;
/** More upstreams than fit into one delta. */
const UPSTREAM_COUNT = 14;

const upstreams = Array.from({length: UPSTREAM_COUNT}, (_, i) =>
  makeUpstream(`u${i}`),
);

type Site = ReturnType<typeof makeSite>;

function openAt({hosts}: Site): ReadonlyMap<string, readonly string[]> {
  return new Map(
    hosts.map(({hostId, registry}) => [
      hostId,
      registry.open('uus-pearaamat').map(({id}) => id),
    ]),
  );
}

function nonReadersOf(site: Site): readonly string[] {
  return site.hosts
    .filter(each => !each.readers.isReader())
    .map(({hostId}) => hostId);
}

/**
 * Cuts one host that is not a reader off the store while the list changes, so
 * that it fails to read the list and fetches it from a peer.
 */
async function cutOneOff(site: Site): Promise<string> {
  site.setUpstreams(upstreams);
  await site.clock.advance(SETTLED_MS);
  const [away] = nonReadersOf(site);
  site.cut.add(away);
  site.hearsNoChanges.add(away);
  site.setUpstreams(upstreams.slice(0, UPSTREAM_COUNT - 1));
  await site.clock.advance(1_500);
  site.fetchFromPeer(away);
  await site.clock.advance(6_500);
  site.cut.delete(away);
  return away;
}

test('a host that was cut off the store excludes an upstream that leaves later', async () => {
  // The datagrams with the readers' deltas are lost on the way to it.
  const site = makeSite(9);
  await cutOneOff(site);
  await site.clock.advance(SERVED_AGAIN_MS + 500);
  site.setUpstreams(upstreams.slice(1, UPSTREAM_COUNT - 1));
  await site.clock.advance(LEAVING_LIMIT_MS);
  for (const [hostId, open] of openAt(site)) {
    assert.equal(open.includes('u0'), false, hostId);
  }
});

test('hosts that all missed a change do not confirm each other', async () => {
  // Guards against hosts that confirm each other's outdated list. Too many
  // upstreams leave at once for a delta, so all hosts but the readers keep the
  // old list, and each confirmation delays the others' own reads.
  const site = makeSite(9);
  site.setUpstreams(upstreams);
  await site.clock.advance(SETTLED_MS);
  site.setUpstreams([upstreams[0]]);
  await site.clock.advance(LEAVING_LIMIT_MS);
  for (const [hostId, open] of openAt(site)) {
    assert.deepEqual(open, ['u0'], hostId);
  }
});

test('a host that can reach the store again announces it', async () => {
  // Guards against a host that, once cut off, no longer counts as a possible
  // reader or placer because it has no other reason to call the store.
  const site = makeSite(9);
  await cutOneOff(site);
  await site.clock.advance(SERVED_AGAIN_MS);
  for (const {hostId, watch} of site.hosts) {
    assert.equal(watch.isStoreReachable(), true, hostId);
  }
});

test('a host that cannot reach the store calls it rarely', async () => {
  // Guards against hosts that call the store four times a second while they are
  // cut off, for a configuration that they have already fetched from a peer.
  const site = makeSite(9);
  await site.clock.advance(SETTLED_MS);
  const away = nonReadersOf(site).slice(0, 3);
  for (const hostId of away) site.cut.add(hostId);
  await site.clock.advance(200);
  site.configure();
  await site.clock.advance(1_000);
  for (const hostId of away) site.fetchFromPeer(hostId);
  const before = site.callsOf(away);
  await site.clock.advance(6_000);
  const perSecond = (site.callsOf(away) - before) / 6 / away.length;
  assert.ok(perSecond <= 1, `${perSecond} calls a second`);
});

test('entries that lapsed in an outage for all hosts are kept on every host', async () => {
  // The store was down for all hosts; live upstreams are listed again within
  // two seconds after it is back. Until then no host may refuse callers, and
  // afterwards none may keep missing entries.
  const site = makeSite(9);
  site.setUpstreams(upstreams);
  await site.clock.advance(3_000);
  site.store.isDown = true;
  await site.clock.advance(5_000);
  site.setUpstreams([]);
  site.store.isDown = false;
  await site.clock.advance(1_500);
  for (const [hostId, open] of openAt(site)) {
    assert.equal(open.length, UPSTREAM_COUNT, hostId);
  }
  site.setUpstreams(upstreams.slice(0, 2));
  await site.clock.advance(2_500);
  for (const [hostId, open] of openAt(site)) {
    assert.deepEqual(open, ['u0', 'u1'], hostId);
  }
});

test('ages passed between hosts increase as fast as the clock', async () => {
  // Guards against requests to an upstream that has left. All readers died, and
  // the other hosts announce many times a second. An age loses the transit time
  // of its datagram at each hop, so a list that nobody reads could look fresh
  // for long.
  const site = makeSite(9, {hearMs: 30, announceEveryMs: 20});
  site.setUpstreams(upstreams);
  await site.clock.advance(SETTLED_MS);
  const readers = site.hosts.filter(each => each.readers.isReader());
  for (const {hostId} of readers) site.kill(hostId);
  site.setUpstreams(upstreams.slice(1));
  await site.clock.advance(LEAVING_LIMIT_MS);
  for (const {hostId, registry} of site.live()) {
    const open = registry.open('uus-pearaamat').map(({id}) => id);
    assert.equal(open.includes('u0'), false, hostId);
  }
});
