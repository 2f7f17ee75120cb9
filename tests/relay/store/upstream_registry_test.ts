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

test('an upstream that is no longer listed gets no new work', () => {
  const {list, open} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  list(makeUpstream('b'));
  assert.deepEqual(open(), ['b']);
});

test('a draining upstream gets no new work', () => {
  const {list, open} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  list(makeUpstream('a', {isDraining: true}), makeUpstream('b'));
  assert.deepEqual(open(), ['b']);
});

test('upstreams that lapsed in an outage are kept until they have had time to return', async () => {
  // Guards against refused callers although all upstreams are alive: heartbeats
  // could not arrive during an outage, so the first list after it is empty.
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

test('missing upstreams are not kept if only this host failed to read', async () => {
  // Guards against requests to an upstream that has left: this host could not
  // reach the store, but its peers and the upstreams could.
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

test('a single failed read is not an outage', async () => {
  const {clock, registry, list, open} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  await clock.advance(1_300);
  registry.noteReadFailed();
  await clock.advance(300);
  list(makeUpstream('b'));
  assert.deepEqual(open(), ['b']);
});

test('an unreachable upstream is excluded until its next heartbeat', async () => {
  // Guards against a dead upstream that stays listed: each request on each host
  // would lose the time of a connection attempt.
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

test('if no upstream is reachable, all are tried', () => {
  // Guards against refusing all callers for seconds after a short fault of the
  // host's own link.
  const {registry, list, open} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  registry.markUnreachable('a');
  registry.markUnreachable('b');
  assert.deepEqual(open(), ['a', 'b']);
});

test('if no upstream of a role is reachable, all of the role are tried', () => {
  // Guards against refusing all streams while the decode engines pause and take
  // no connections, since the prefill engines do.
  const {registry, list, open} = makeRegistry();
  const [p, a, b] = ['p', 'a', 'b'].map(id =>
    makeUpstream(id, {role: id === 'p' ? 'prefill' : 'decode'}),
  );
  list(p, a, b);
  registry.markUnreachable('a');
  assert.deepEqual(open(), ['p', 'b']);
  registry.markUnreachable('b');
  assert.deepEqual(open(), ['p', 'a', 'b']);
  registry.markUnreachable('p');
  assert.deepEqual(open(), ['p', 'a', 'b']);
});

test('unreachable prefill engines are not tried while decode engines are reachable', () => {
  // Guards against prompts that lose the time of connection attempts although
  // the decode engines can read them.
  const {registry, list, open} = makeRegistry();
  list(
    makeUpstream('p', {role: 'prefill'}),
    makeUpstream('d', {role: 'decode'}),
  );
  registry.markUnreachable('p');
  assert.deepEqual(open(), ['d']);
});

test('an older list is rejected', () => {
  const {registry, open} = makeRegistry();
  registry.apply({revision: revisionAt(5), upstreams: [makeUpstream('a')]});
  registry.apply({revision: revisionAt(4), upstreams: [makeUpstream('old')]});
  assert.deepEqual(open(), ['a']);
});

test('a list from a peer is applied while this host cannot reach the store', async () => {
  // Guards against requests to an upstream that left seconds ago. The host's
  // own failed reads look like an outage in which entries lapse, but its peers
  // still read the list.
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

test('the list served to peers includes entries kept after an outage', async () => {
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

test('an upstream unreachable for a peer is excluded, but not passed on', () => {
  // Without exclusion, each host in turn would lose a request to the same
  // upstream. If hosts passed the finding on, it would circulate forever.
  const {registry, list, open} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  registry.markUnreachable('a', 'peer');
  assert.deepEqual(open(), ['b']);
  assert.deepEqual(registry.unreachable(), []);
});

test('an upstream that restarts under the same name is a new instance', async () => {
  // Guards against keeping an engine's earlier instance. The engine restarts
  // under the same name within a second, just after an outage. Its new instance
  // is listed, and the earlier one is missing like entries that may return.
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

test('a host that does not read the list retries an unreachable upstream after some time', async () => {
  // Guards against excluding a live upstream after one failed connection. Only
  // readers see its heartbeats; other hosts excluded it until the list changed,
  // which took minutes.
  const {clock, registry, list, open} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  registry.markUnreachable('a');
  assert.deepEqual(open(), ['b']);
  await clock.advance(4_500);
  assert.deepEqual(open(), ['a', 'b']);
  assert.equal(registry.hasUnreachable(), false);
});

test('a delta that combines several steps is applied', async () => {
  // Guards against a read by every host when engines are replaced one after the
  // other. Readers read the list at different times, so two changes for one are
  // a single change for another. A host that had applied the first change could
  // not apply the combined one, and read the store itself.
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

test('a delta that does not result in the list of the reader is ignored', async () => {
  const [reader, host] = [makeRegistry(), makeRegistry()];
  reader.list(makeUpstream('a'), makeUpstream('b'));
  reader.list(makeUpstream('b'));
  host.list(makeUpstream('a'), makeUpstream('b'), makeUpstream('missed'));
  const digest = host.registry.digest();
  for (const delta of reader.registry.deltas()) host.registry.applyDelta(delta);
  assert.equal(host.registry.digest(), digest);
});

test('an upstream that announced leaving stays excluded if its entry lapses and returns', () => {
  // Guards against the announcement being dropped together with the list entry.
  const {registry, list, open} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  registry.markLeaving('a');
  assert.deepEqual(open(), ['b']);
  list(makeUpstream('b'));
  list(makeUpstream('a'), makeUpstream('b'));
  assert.deepEqual(open(), ['b']);
  assert.equal(registry.getOpen('a'), undefined);
});

test('leaving upstreams are not used even if no others remain', () => {
  // Guards against a service that uses all its upstreams if none is usable.
  const {registry, list, open} = makeRegistry();
  list(makeUpstream('a'));
  registry.markLeaving('a');
  assert.deepEqual(open(), []);
});

test('leaving upstreams can be listed by who found them', () => {
  const {registry, list} = makeRegistry();
  list(makeUpstream('a'), makeUpstream('b'));
  registry.markLeaving('a');
  registry.markLeaving('b', 'peer');
  assert.deepEqual(registry.leaving('self'), ['a']);
  assert.deepEqual(registry.leaving('any'), ['a', 'b']);
});

test('an upstream that returns with an older copy is used once the store has had time to drop it', async () => {
  // Guards against excluding a live upstream permanently.
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

test('a draining upstream that an older copy lists as ready is reported to peers as leaving', () => {
  // Guards against a host that started after the store lost the drain state.
  const {registry, list, open} = makeRegistry();
  const [a, b] = [makeUpstream('a'), makeUpstream('b')];
  list({...a, isDraining: true}, b);
  assert.deepEqual(registry.leaving('self'), []);
  registry.apply({revision: revisionAt(1, 1), upstreams: [a, b]});
  assert.deepEqual(open(), ['b']);
  assert.deepEqual(registry.leaving('self'), ['a']);
});

test('an earlier instance listed by an older copy does not replace the current one', () => {
  // Guards against sending requests to the ended instance instead of the live
  // one.
  const {registry, list, open} = makeRegistry();
  const first = makeUpstream('a~1', {name: 'a', startedAtMs: 1});
  const second = makeUpstream('a~2', {name: 'a', startedAtMs: 2});
  list(first);
  list(second);
  registry.apply({revision: revisionAt(1, 1), upstreams: [first]});
  assert.deepEqual(open(), ['a~2']);
});

test('an earlier instance is held back by a host that never saw it', () => {
  // Guards against a host that started after the earlier instance had ended.
  const {registry, list, open} = makeRegistry();
  const second = makeUpstream('a~2', {name: 'a', startedAtMs: 2});
  const first = makeUpstream('a~1', {name: 'a', startedAtMs: 1});
  list(second);
  registry.apply({revision: revisionAt(1, 1), upstreams: [first]});
  assert.deepEqual(open(), ['a~2']);
});

test('an older copy is not a heartbeat of an unreachable upstream', () => {
  // Guards against taking a lower heartbeat number for a change.
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
