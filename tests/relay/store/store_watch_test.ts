import assert from 'node:assert/strict';
import {test} from 'node:test';
import {makeSite, makeUpstream} from './store_site.js';
import {revisionAt} from '../../support/store_revisions.js';

test('in a large deployment three hosts read the store and all stay current', async () => {
  // Guards against the cost of reads by every host. A call to the store costs
  // as much as a fifth of a posting, and 90 hosts made 160 calls a second to
  // learn that nothing had changed.
  const {clock, store, hosts, beat} = makeSite(30);
  await clock.advance(3_000);
  const before = store.calls;
  for (let i = 0; i < 10; i++) {
    beat();
    await clock.advance(1_000);
  }
  assert.equal(hosts.filter(each => each.readers.isReader()).length, 3);
  const perSecond = (store.calls - before) / 10;
  assert.ok(perSecond < 12, `${perSecond} calls a second`);
  for (const {watch} of hosts) {
    assert.ok(watch.listAgeMs() < 1_200);
    assert.ok(watch.syncState().routingAges.ageMs < 1_500);
  }
});

test('an upstream that begins to drain is known everywhere within a second', async () => {
  const {clock, hosts, setUpstreams} = makeSite(30);
  await clock.advance(3_000);
  setUpstreams([{...makeUpstream('a'), isDraining: true}, makeUpstream('b')]);
  await clock.advance(1_100);
  for (const {registry} of hosts) {
    assert.deepEqual(
      registry.open('uus-pearaamat').map(({id}) => id),
      ['b'],
    );
  }
});

test('a configuration is in force everywhere soon after it is acknowledged', async () => {
  const {clock, hosts, configure} = makeSite(30);
  await clock.advance(3_000);
  configure();
  await clock.advance(300);
  for (const {routing} of hosts) assert.equal(routing.version(), 2);
});

test('when all readers die at once, the others read within the time limits', async () => {
  // Guards against requests to a draining upstream: the readers died just
  // before, and their last confirmations are still valid.
  const {clock, hosts, kill, live, setUpstreams, configure} = makeSite(30);
  await clock.advance(3_000);
  const readers = hosts.filter(each => each.readers.isReader());
  for (const {hostId} of readers) kill(hostId);
  setUpstreams([makeUpstream('b')]);
  configure();
  await clock.advance(1_700);
  assert.equal(live().length, 27);
  for (const {registry, routing} of live()) {
    assert.equal(registry.open('uus-pearaamat').length, 1);
    assert.equal(routing.version(), 2);
  }
});

test('readers that cannot reach the store are replaced', async () => {
  const {clock, hosts, cut, setUpstreams} = makeSite(30);
  await clock.advance(3_000);
  const readers = hosts.filter(each => each.readers.isReader());
  for (const {hostId} of readers) cut.add(hostId);
  await clock.advance(3_000);
  const served = hosts.filter(({hostId}) => !cut.has(hostId));
  assert.ok(served.filter(each => each.readers.isReader()).length >= 3);
  setUpstreams([makeUpstream('b')]);
  await clock.advance(1_700);
  for (const {registry} of served) {
    assert.equal(registry.open('uus-pearaamat').length, 1);
  }
});

test('only readers call the store for a change of the list', async () => {
  // Guards against an extra read by every host for each change: with 65 hosts
  // and frequent engine changes, that took 5,000 calls a day.
  const {clock, store, hosts, setUpstreams} = makeSite(30);
  await clock.advance(3_000);
  const before = store.calls;
  for (let i = 0; i < 10; i++) {
    setUpstreams([makeUpstream('a'), makeUpstream(`b${i}`)]);
    await clock.advance(1_000);
    for (const {registry} of hosts) {
      const ids = registry.open('uus-pearaamat').map(({id}) => id);
      assert.deepEqual(ids.sort(), ['a', `b${i}`]);
    }
  }
  const perSecond = (store.calls - before) / 10;
  assert.ok(perSecond < 12, `${perSecond} calls a second`);
});

test('a host that missed a change reads the list itself', async () => {
  // The datagram with the first of two deltas was lost, so the second one
  // starts from a list that this host never had.
  const {clock, hosts, setUpstreams} = makeSite(30);
  await clock.advance(3_000);
  const reader = hosts.find(each => each.readers.isReader());
  const other = hosts.find(each => !each.readers.isReader());
  assert.ok(reader && other);
  other.registry.apply(
    {revision: revisionAt(1), upstreams: [makeUpstream('odd')]},
    'peer',
  );
  setUpstreams([makeUpstream('b')]);
  await clock.advance(1_700);
  const ids = other.registry.open('uus-pearaamat').map(({id}) => id);
  assert.deepEqual(ids, ['b']);
});

test('hosts that are not reader candidates make few calls during an outage', async () => {
  // Guards against hundreds of hosts that each call the store eight times a
  // second during an outage, although three readers would detect its end and
  // inform them.
  const {clock, store, hosts, callsOf, setUpstreams} = makeSite(30);
  await clock.advance(3_000);
  const others = hosts
    .filter(each => !each.readers.isCandidate())
    .map(({hostId}) => hostId);
  const before = callsOf(others);
  store.isDown = true;
  await clock.advance(8_000);
  const perHost = (callsOf(others) - before) / others.length;
  assert.ok(perHost <= 16, `${perHost} calls a host`);
  store.isDown = false;
  // Entries that lapsed in the outage may return until then.
  await clock.advance(3_000);
  setUpstreams([makeUpstream('b')]);
  await clock.advance(1_700);
  for (const {hostId, registry} of hosts) {
    const ids = registry.open('uus-pearaamat').map(({id}) => id);
    assert.deepEqual(ids, ['b'], hostId);
  }
});
