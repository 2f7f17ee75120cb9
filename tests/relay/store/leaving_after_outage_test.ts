/**
 * Calls reached an upstream over two seconds after the store had said that it
 * leaves. The store had turned some hosts away for eight seconds and served
 * them again; from then on they went by what their peers read. The upstream
 * left four seconds later. That change brought about the first read of their
 * own since the outage; they took it for the moment at which the store came
 * back, and kept the missing entry for the time that upstreams have to return.
 *
 * Evidence: of nine hosts only one sent such calls, one of the three that the
 * store had turned away; the last came 2.07 s after the change, and missing
 * entries are kept for 2.3 s. In the first test below the host that was turned
 * away keeps the entry, and the eight others drop it within 0.8 s.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {makeSite, makeUpstream} from './store_site.js';

/** After the store's word, an upstream gets nothing more from then on. */
const LEAVING_BOUND_MS = 2_000;
/** Hosts are held to the bound once the store has served them for so long. */
const SERVED_AGAIN_MS = 3_000;
/** By then each host has read the registry of hosts twice. */
const SETTLED_MS = 12_000;
/** More than one peer tells another as a change. */
const MANY = 14;

const upstreams = Array.from({length: MANY}, (_, i) => makeUpstream(`u${i}`));

type Site = ReturnType<typeof makeSite>;

function openAt({hosts}: Site): ReadonlyMap<string, readonly string[]> {
  return new Map(
    hosts.map(({hostId, registry}) => [
      hostId,
      registry.open('uus-pearaamat').map(({id}) => id),
    ]),
  );
}

function othersOf(site: Site): readonly string[] {
  return site.hosts
    .filter(each => !each.readers.isReader())
    .map(({hostId}) => hostId);
}

/**
 * Turns one host away that goes by what others read. The list changes
 * meanwhile, so that it tries to read it, and is handed over by a peer.
 */
async function turnOneAway(site: Site): Promise<string> {
  site.setUpstreams(upstreams);
  await site.clock.advance(SETTLED_MS);
  const [away] = othersOf(site);
  site.cut.add(away);
  site.hearsNoChanges.add(away);
  site.setUpstreams(upstreams.slice(0, MANY - 1));
  await site.clock.advance(1_500);
  site.handOver(away);
  await site.clock.advance(6_500);
  site.cut.delete(away);
  return away;
}

test('a host that was turned away leaves out what leaves later', async () => {
  // The datagrams in which readers tell changes are lost on the way to it.
  const site = makeSite(9);
  await turnOneAway(site);
  await site.clock.advance(SERVED_AGAIN_MS + 500);
  site.setUpstreams(upstreams.slice(1, MANY - 1));
  await site.clock.advance(LEAVING_BOUND_MS);
  for (const [hostId, open] of openAt(site)) {
    assert.equal(open.includes('u0'), false, hostId);
  }
});

test('hosts that all missed a change do not take each other for up to date', async () => {
  // Calls go to upstreams that left. Too many left at once for peers to tell,
  // so that all hosts but the readers keep the same old list; each is told by
  // the others that it is right, sooner than it reads the list itself.
  const site = makeSite(9);
  site.setUpstreams(upstreams);
  await site.clock.advance(SETTLED_MS);
  site.setUpstreams([upstreams[0]]);
  await site.clock.advance(LEAVING_BOUND_MS);
  for (const [hostId, open] of openAt(site)) {
    assert.deepEqual(open, ['u0'], hostId);
  }
});

test('a host that the store serves again says so', async () => {
  // A host that was turned away once stayed out of those that read for all and
  // that may plan, for as long as it had no reason of its own to call the store.
  const site = makeSite(9);
  await turnOneAway(site);
  await site.clock.advance(SERVED_AGAIN_MS);
  for (const {hostId, watch} of site.hosts) {
    assert.equal(watch.isStoreReachable(), true, hostId);
  }
});

test('a host that the store turns away does not ask it all the time', async () => {
  // Each of the hosts asked four times a second for as long as it was turned
  // away, for a configuration that a peer had handed over to it long before.
  const site = makeSite(9);
  await site.clock.advance(SETTLED_MS);
  const away = othersOf(site).slice(0, 3);
  for (const hostId of away) site.cut.add(hostId);
  await site.clock.advance(200);
  site.configure();
  await site.clock.advance(1_000);
  for (const hostId of away) site.handOver(hostId);
  const before = site.callsOf(away);
  await site.clock.advance(6_000);
  const perSecond = (site.callsOf(away) - before) / 6 / away.length;
  assert.ok(perSecond <= 1, `${perSecond} calls a second`);
});

test('entries that lapsed in an outage for all are kept at every host', async () => {
  // The store was away for all; upstreams that live are listed again within
  // two seconds of its return. No host may refuse callers meanwhile, and none
  // may keep what is missing after that.
  const site = makeSite(9);
  site.setUpstreams(upstreams);
  await site.clock.advance(3_000);
  site.store.isDown = true;
  await site.clock.advance(5_000);
  site.setUpstreams([]);
  site.store.isDown = false;
  await site.clock.advance(1_500);
  for (const [hostId, open] of openAt(site)) {
    assert.equal(open.length, MANY, hostId);
  }
  site.setUpstreams(upstreams.slice(0, 2));
  await site.clock.advance(2_500);
  for (const [hostId, open] of openAt(site)) {
    assert.deepEqual(open, ['u0', 'u1'], hostId);
  }
});

test('what hosts hear from each other grows old as fast as the clock', async () => {
  // Calls go to an upstream that left: those who read for all died, and the
  // others are under load and tell each other many times a second. The age of
  // a list loses the time that its datagram takes at each hop, so that a list
  // that nobody reads looks fresh for long.
  const site = makeSite(9, {hearMs: 30, announceEveryMs: 20});
  site.setUpstreams(upstreams);
  await site.clock.advance(SETTLED_MS);
  const readers = site.hosts.filter(each => each.readers.isReader());
  for (const {hostId} of readers) site.kill(hostId);
  site.setUpstreams(upstreams.slice(1));
  await site.clock.advance(LEAVING_BOUND_MS);
  for (const {hostId, registry} of site.live()) {
    const open = registry.open('uus-pearaamat').map(({id}) => id);
    assert.equal(open.includes('u0'), false, hostId);
  }
});
