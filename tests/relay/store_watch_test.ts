import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import type {StoreRead} from '../../src/ports/relay.js';
import {createRelayMetrics} from '../../src/relay/relay_metrics.js';
import type {Routing} from '../../src/relay/routing.js';
import {createRoutingState} from '../../src/relay/routing_state.js';
import {
  createStoreReaders,
  type ReadingPeer,
} from '../../src/relay/store_readers.js';
import {createStoreWatch} from '../../src/relay/store_watch.js';
import {
  createUpstreamRegistry,
  type Upstream,
} from '../../src/relay/upstream_registry.js';
import {silentLog} from '../support/silent_log.js';

const ANSWER_MS = 4;
const HEAR_MS = 3;
const ANNOUNCE_EVERY_MS = 250;

function makeUpstream(id: string): Upstream {
  return {
    id,
    name: id,
    service: 'uus-pearaamat',
    address: `${id}:1`,
    failureDomain: 'raadi-ruum',
    slots: 6,
    isDraining: false,
    heartbeat: 1,
  };
}

/** A store and several hosts that follow it, in virtual time. */
function makeSite(hostCount: number) {
  const clock = createVirtualClock(1_000);
  const store = {revision: 1, version: 1, calls: 0, isDown: false};
  let upstreams = [makeUpstream('a'), makeUpstream('b')];
  const cut = new Set<string>();
  const wakers = new Set<() => void>();

  function answer<T>(hostId: string, value: () => T): Promise<StoreRead<T>> {
    store.calls++;
    return new Promise(resolve => {
      clock.setTimer(ANSWER_MS, () =>
        resolve(
          store.isDown || cut.has(hostId)
            ? {kind: 'failed', detail: 'down'}
            : {kind: 'read', value: value()},
        ),
      );
    });
  }

  const readRouting = () => ({
    cursor: store.version,
    routing: {
      version: store.version,
      routes: [],
      services: [],
      limits: {
        maxHeaderBytes: 1,
        maxBodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
    } satisfies Routing,
  });

  function makeHost(hostId: string) {
    const routing = createRoutingState(silentLog);
    const registry = createUpstreamRegistry({clock, log: silentLog});
    const heard = new Map<string, ReadingPeer>();
    const readers = createStoreReaders({
      hostId,
      peers: () => [...heard.values()],
      isStoreReachable: () => watch.isStoreReachable(),
    });
    const watch = createStoreWatch(
      {
        clock,
        random: createSeededRandom(hostId.length),
        log: silentLog,
        metrics: createRelayMetrics(),
        routing,
        registry,
        isReader: readers.isReader,
        isPlacing: () => false,
        onHosts: () => undefined,
        routingSource: {
          readNow: () => answer(hostId, readRouting),
          readNext(cursor, waitMs) {
            if (cursor !== store.version) return answer(hostId, readRouting);
            return new Promise(resolve => {
              const wake = () => {
                wakers.delete(wake);
                clock.clearTimer(timer);
                resolve(answer(hostId, readRouting));
              };
              const timer = clock.setTimer(waitMs, wake);
              wakers.add(wake);
            });
          },
          encode: () => '',
          decode: () => undefined,
        },
        upstreamSource: {
          readNow: () =>
            answer(hostId, () => ({revision: store.revision, upstreams})),
        },
        hostRegistry: {
          register: () => Promise.resolve(true),
          readAll: () => Promise.resolve({kind: 'read', value: []}),
          remove: () => Promise.resolve(true),
        },
      },
      {hostId, peerAddress: `${hostId}:1`},
    );
    const host = {hostId, routing, registry, watch, heard, readers};
    watch.start();
    return host;
  }

  const dead = new Set<string>();
  const hosts = Array.from({length: hostCount}, (_, i) =>
    makeHost(`host-${i}`),
  );

  function announce(): void {
    for (const from of hosts) {
      if (dead.has(from.hostId)) continue;
      const knowledge = {hostId: from.hostId, ...from.watch.knowledge()};
      clock.setTimer(HEAR_MS, () => {
        for (const to of hosts) {
          if (to === from || dead.has(to.hostId)) continue;
          to.heard.set(from.hostId, knowledge);
          to.watch.hear(knowledge);
        }
      });
    }
    clock.setTimer(ANNOUNCE_EVERY_MS, announce);
  }
  clock.setTimer(10, announce);

  return {
    clock,
    store,
    hosts,
    cut,
    kill(hostId: string) {
      dead.add(hostId);
      hosts.find(each => each.hostId === hostId)?.watch.stop();
      for (const each of hosts) each.heard.delete(hostId);
    },
    live: () => hosts.filter(({hostId}) => !dead.has(hostId)),
    setUpstreams(next: Upstream[]) {
      upstreams = next;
      store.revision++;
    },
    beat() {
      upstreams = upstreams.map(each => ({
        ...each,
        heartbeat: each.heartbeat + 1,
      }));
      store.revision++;
    },
    configure() {
      store.version++;
      for (const wake of [...wakers]) wake();
    },
  };
}

test('of many hosts three read the store, and all stay fresh', async () => {
  // Each call to the store costs as much as a fifth of a posting; 90 hosts
  // made 160 calls a second to learn that nothing had changed.
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
    assert.ok(watch.knowledge().upstreamAgeMs < 1_200);
    assert.ok(watch.knowledge().routingAgeMs < 1_500);
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

test('a configuration is in force everywhere soon after its acknowledgement', async () => {
  const {clock, hosts, configure} = makeSite(30);
  await clock.advance(3_000);
  configure();
  await clock.advance(300);
  for (const {routing} of hosts) assert.equal(routing.version(), 2);
});

test('when all readers die at once the others read within the bounds', async () => {
  // Requests go to an upstream that drains: those who read for all died just
  // before, and the others still believe what they confirmed last.
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

test('readers that the store turns away are replaced', async () => {
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

test('a change of the list costs the calls of the readers only', async () => {
  // Engines come and go each second on a bad day. Each of 65 hosts that heard
  // that its list was behind read it once more: 5,000 calls to the store a day.
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
  // The datagram with one of two changes was lost; the next change starts from
  // a list that this host never had.
  const {clock, hosts, setUpstreams} = makeSite(30);
  await clock.advance(3_000);
  const reader = hosts.find(each => each.readers.isReader());
  const other = hosts.find(each => !each.readers.isReader());
  assert.ok(reader && other);
  other.registry.apply({revision: 1, upstreams: [makeUpstream('odd')]}, 'peer');
  setUpstreams([makeUpstream('b')]);
  await clock.advance(1_700);
  const ids = other.registry.open('uus-pearaamat').map(({id}) => id);
  assert.deepEqual(ids, ['b']);
});
