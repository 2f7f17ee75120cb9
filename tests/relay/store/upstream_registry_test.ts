import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {Upstream} from '../../../src/core/upstream.js';
import {createUpstreamRegistry} from '../../../src/relay/store/upstream_registry.js';
import {silentLog} from '../../support/silent_log.js';
import {revisionAt} from '../../support/store_revisions.js';

const SERVICE = 'uus-pearaamat';

function makeUpstream(id: string, changes: Partial<Upstream> = {}): Upstream {
  return {
    id,
    name: id,
    service: SERVICE,
    address: `10.0.0.1:${id.length}`,
    failureDomain: 'raadi-ruum',
    slots: 6,
    isDraining: false,
    heartbeat: revisionAt(1),
    ...changes,
  };
}

function makeRegistry() {
  const clock = createVirtualClock(1_000);
  const registry = createUpstreamRegistry({clock, log: silentLog});
  let revision = 0;
  return {
    clock,
    registry,
    list(...upstreams: readonly Upstream[]) {
      registry.apply({revision: revisionAt(++revision), upstreams});
    },
    open: () => registry.open(SERVICE).map(({id}) => id),
  };
}

test('an upstream that is no longer listed gets nothing more', () => {
  const {list, open} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  list(makeUpstream('b'));
  assert.deepEqual(open(), ['b']);
});

test('a draining upstream gets nothing more', () => {
  const {list, open} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  list(makeUpstream('a', {isDraining: true}), makeUpstream('b'));
  assert.deepEqual(open(), ['b']);
});

test('upstreams that lapsed in an outage are kept until they had time to return', async () => {
  // Callers are refused though all upstreams live: the store was away for some
  // seconds, heartbeats could not arrive, and its first list is empty.
  const {clock, registry, list, open} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  registry.noteReadFailed();
  await clock.advance(5_000);
  list();
  assert.deepEqual(open(), ['a', 'b']);
  await clock.advance(1_000);
  list(makeUpstream('b', {heartbeat: revisionAt(2)}));
  assert.deepEqual(open(), ['a', 'b']);
  await clock.advance(1_500);
  list(makeUpstream('b', {heartbeat: revisionAt(3)}));
  assert.deepEqual(open(), ['b'], 'what is still missing has left');
});

test('what is missing is not kept when only this host failed to read', async () => {
  // Calls go to an upstream that left: the store turned this host away and
  // served its peers, so that heartbeats arrived all the time.
  const {clock, registry, list, open} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  for (let i = 0; i < 8; i++) {
    registry.noteReadFailed();
    await clock.advance(1_000);
    registry.noteServed(clock.nowMs() - 300);
  }
  list(makeUpstream('b'));
  assert.deepEqual(open(), ['b']);
});

test('one read that fails is no outage', async () => {
  const {clock, registry, list, open} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  await clock.advance(1_300);
  registry.noteReadFailed();
  await clock.advance(300);
  list(makeUpstream('b'));
  assert.deepEqual(open(), ['b']);
});

test('an unreachable upstream is left out until it shows a sign of life', async () => {
  // Each request loses the time of a connection attempt to a dark host, on
  // every host again, for as long as the list still has it.
  const {registry, list, open} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  registry.markUnreachable('a');
  assert.deepEqual(open(), ['b']);
  list(makeUpstream('a'), makeUpstream('b', {heartbeat: revisionAt(2)}));
  assert.deepEqual(open(), ['b'], 'no heartbeat since');
  list(
    makeUpstream('a', {heartbeat: revisionAt(2)}),
    makeUpstream('b', {heartbeat: revisionAt(2)}),
  );
  assert.deepEqual(open(), ['a', 'b']);
});

test('when none can be reached all are tried', () => {
  // The host's own link was harmed for a moment; with none left it would
  // refuse its callers for seconds after.
  const {registry, list, open} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  registry.markUnreachable('a');
  registry.markUnreachable('b');
  assert.deepEqual(open(), ['a', 'b']);
});

test('an older list is left out', () => {
  const {registry, open} = makeRegistry();
  registry.apply({revision: revisionAt(5), upstreams: [makeUpstream('a')]});
  registry.apply({revision: revisionAt(4), upstreams: [makeUpstream('old')]});
  assert.deepEqual(open(), ['a']);
});

test('a list from a peer counts though the store is away for this host', async () => {
  // A host that the store turns away sends to upstreams that left seconds ago:
  // its own failed reads look like an outage in which entries lapse, but the
  // peers still read the list.
  const {clock, registry, list, open} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  registry.noteReadFailed();
  await clock.advance(2_000);
  registry.apply(
    {revision: revisionAt(9), upstreams: [makeUpstream('b')]},
    'peer',
  );
  assert.deepEqual(open(), ['b']);
});

test('peers are handed what is still waited for after an outage', async () => {
  const {clock, registry, list} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  registry.noteReadFailed();
  await clock.advance(3_000);
  list();
  assert.deepEqual(
    registry.snapshot()?.upstreams.map(({id}) => id),
    ['a', 'b'],
  );
});

test('what a peer could not reach is left out here, and not told on', () => {
  // Each host in turn loses a request to the same dark upstream; and what
  // hosts told each other would go round for ever.
  const {registry, list, open} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  registry.markUnreachable('a', 'peer');
  assert.deepEqual(open(), ['b']);
  assert.deepEqual(registry.unreachable(), []);
});

test('an upstream that started again under its name is another one', async () => {
  // An engine crashes and is back under its name within a second, while the
  // store is just back from an outage. The list has its new life; the old one
  // is missing, like entries that may still return, and would be kept.
  const {clock, registry, list, open} = makeRegistry();
  const before = makeUpstream('a~1', {name: 'a'});
  list(before, makeUpstream('b'));
  registry.markUnreachable('a~1');
  registry.noteReadFailed();
  await clock.advance(3_000);
  list(
    makeUpstream('a~2', {name: 'a', heartbeat: revisionAt(1)}),
    makeUpstream('b'),
  );
  assert.deepEqual(open(), ['b', 'a~2']);
  assert.equal(registry.get('a~1'), undefined);
  assert.equal(registry.hasUnreachable(), false);
});

test('a host that reads no list tries an unreachable upstream again by itself', async () => {
  // One connection failed, and the upstream lives. Only readers of the list see
  // its signs of life; a host that goes by their word left it out until the
  // list changed, for minutes where nothing else happened.
  const {clock, registry, list, open} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  registry.markUnreachable('a');
  assert.deepEqual(open(), ['b']);
  await clock.advance(4_500);
  assert.deepEqual(open(), ['a', 'b']);
  assert.equal(registry.hasUnreachable(), false);
});

test('a change that another reader saw in fewer steps is taken over, too', async () => {
  // Engines are replaced one after the other. Three hosts read the list at
  // different times and tell what changed for them: what one saw in two steps
  // is one for the next. A host that had the first step knew its list to be
  // behind with the word of the second reader, and read the store itself; so
  // did hundreds, with each change.
  const [first, second, host] = [
    makeRegistry(),
    makeRegistry(),
    makeRegistry(),
  ];
  const before = [makeUpstream('a'), makeUpstream('b'), makeUpstream('c')];
  for (const each of [first, second, host]) each.list(...before);
  const draining = makeUpstream('a', {isDraining: true});
  first.list(draining, makeUpstream('b'), makeUpstream('c'));
  const after = {
    revision: revisionAt(3),
    upstreams: [draining, makeUpstream('c')],
  };
  second.registry.apply(after);
  for (const reader of [first, second]) {
    for (const delta of reader.registry.deltas()) {
      host.registry.applyDelta(delta);
    }
  }
  assert.equal(host.registry.digest(), second.registry.digest());
  assert.deepEqual(host.open(), ['c']);
});

test('a change that leads elsewhere from this list is left alone', async () => {
  const [reader, host] = [makeRegistry(), makeRegistry()];
  reader.list(makeUpstream('a'), makeUpstream('b'));
  reader.list(makeUpstream('b'));
  host.list(makeUpstream('a'), makeUpstream('b'), makeUpstream('missed'));
  const digest = host.registry.digest();
  for (const delta of reader.registry.deltas()) host.registry.applyDelta(delta);
  assert.equal(host.registry.digest(), digest);
});

test('an upstream that said that it leaves stays out while its entry comes and goes', () => {
  // Guards against a word that is forgotten with the entry of the list.
  const {registry, list, open} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  registry.markLeaving('a');
  assert.deepEqual(open(), ['b']);
  list(makeUpstream('b'));
  list(makeUpstream('a'), makeUpstream('b'));
  assert.deepEqual(open(), ['b']);
  assert.equal(registry.getOpen('a'), undefined);
});

test('upstreams that leave are not used when no other is left', () => {
  // Guards against a service without sound upstreams that uses all it has.
  const {registry, list, open} = makeRegistry();
  list(makeUpstream('a'));
  registry.markLeaving('a');
  assert.deepEqual(open(), []);
});

test('peers are told who leaves by the host that was told, and by those that tell all', () => {
  const {registry, list} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  registry.markLeaving('a');
  registry.markLeaving('b', 'peer');
  assert.deepEqual(registry.leaving('self'), ['a']);
  assert.deepEqual(registry.leaving('any'), ['a', 'b']);
});

test('an upstream that comes back with an older copy is used once the store has had time to drop it', async () => {
  // Guards against a live upstream that is left out for good.
  const {clock, registry, list, open} = makeRegistry();
  const [a, b] = [makeUpstream('a'), makeUpstream('b')];
  list(a, b);
  list(b);
  registry.apply({revision: revisionAt(1, 1), upstreams: [a, b]});
  assert.deepEqual(open(), ['b']);
  assert.deepEqual(registry.unreachable(), ['a']);
  await clock.advance(6_000);
  assert.deepEqual(open().sort(), ['a', 'b']);
  assert.deepEqual(registry.unreachable(), []);
});

test('an upstream that is listed again in the same era is used at once', () => {
  const {list, open} = makeRegistry();
  const [a, b] = [makeUpstream('a'), makeUpstream('b')];
  list(a, b);
  list(b);
  list(a, b);
  assert.deepEqual(open().sort(), ['a', 'b']);
});

test('peers are told who leaves where an older copy has it as ready', () => {
  // Guards against a host that started after the store lost the word.
  const {registry, list, open} = makeRegistry();
  const [a, b] = [makeUpstream('a'), makeUpstream('b')];
  list({...a, isDraining: true}, b);
  assert.deepEqual(registry.leaving('self'), []);
  registry.apply({revision: revisionAt(1, 1), upstreams: [a, b]});
  assert.deepEqual(open(), ['b']);
  assert.deepEqual(registry.leaving('self'), ['a']);
});

test('an earlier life that an older copy lists does not replace the present one', () => {
  // Guards against calls to a life that ended, and none to the one that runs.
  const {registry, list, open} = makeRegistry();
  const first = makeUpstream('a~1', {name: 'a', startedAtMs: 1});
  const second = makeUpstream('a~2', {name: 'a', startedAtMs: 2});
  list(first);
  list(second);
  registry.apply({revision: revisionAt(1, 1), upstreams: [first]});
  assert.deepEqual(open(), ['a~2']);
});

test('an earlier life is held back by a host that never knew it', () => {
  // Guards against a host that started after the earlier life had ended.
  const {registry, list, open} = makeRegistry();
  const second = makeUpstream('a~2', {name: 'a', startedAtMs: 2});
  const first = makeUpstream('a~1', {name: 'a', startedAtMs: 1});
  list(second);
  registry.apply({revision: revisionAt(1, 1), upstreams: [first]});
  assert.deepEqual(open(), ['a~2']);
});

test('an older copy is no sign of life of an upstream that cannot be reached', () => {
  // Guards against the number of a row that goes back and looks like a change.
  const {registry, list, open} = makeRegistry();
  const a = makeUpstream('a', {heartbeat: revisionAt(7)});
  list(a, makeUpstream('b'));
  registry.markUnreachable('a');
  const copied = {...a, heartbeat: revisionAt(3, 1)};
  const b = makeUpstream('b', {heartbeat: revisionAt(3, 1)});
  registry.apply({revision: revisionAt(1, 1), upstreams: [copied, b]});
  assert.deepEqual(open(), ['b']);
  const alive = {...a, heartbeat: revisionAt(7, 1)};
  registry.apply({revision: revisionAt(7, 1), upstreams: [alive, b]});
  assert.deepEqual(open().sort(), ['a', 'b']);
});
