/**
 * A store and several hosts that follow it and tell each other, in virtual
 * time.
 */

import type {Routing} from '../../../src/core/routing_types.js';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {HostRecord, StoreRead} from '../../../src/ports/relay.js';
import {createRelayMetrics} from '../../../src/relay/relay_metrics.js';
import {createConfigurationFreshness} from '../../../src/relay/accounts/configuration_freshness.js';
import {
  createStoreEra,
  type StoreEra,
} from '../../../src/relay/store/store_era.js';
import {createStoreTime} from '../../../src/relay/accounts/store_time.js';
import {createRoutingState} from '../../../src/relay/routing_state.js';
import {
  createStoreReaders,
  type StoreSyncState,
} from '../../../src/relay/fleet/store_readers.js';
import {createStoreWatch} from '../../../src/relay/store/store_watch.js';
import type {Upstream} from '../../../src/core/upstream.js';
import {createUpstreamRegistry} from '../../../src/relay/store/upstream_registry.js';
import {silentLog} from '../../support/silent_log.js';
import {revisionAt} from '../../support/store_revisions.js';

const ANSWER_MS = 4;

/** How hosts tell each other. */
export interface Chatter {
  /** From the making of a datagram until the receiver takes it up. */
  readonly hearMs: number;
  readonly announceEveryMs: number;
}

const CALM: Chatter = {hearMs: 3, announceEveryMs: 250};
/**
 * Of many, three tell all, each twice a second and not at the same time; the
 * others tell these.
 */
export const OF_MANY: Chatter = {hearMs: 3, announceEveryMs: 200};
const MOST_IN_MESH = 16;

export function makeUpstream(id: string): Upstream {
  return {
    id,
    name: id,
    service: 'uus-pearaamat',
    address: `${id}:1`,
    failureDomain: 'raadi-ruum',
    slots: 6,
    isDraining: false,
    heartbeat: revisionAt(1),
  };
}

/** All that the store had at one moment. */
export interface StoreCopy {
  readonly revision: number;
  readonly version: number;
  readonly configuredAt: number;
  readonly upstreams: Upstream[];
  readonly registered: readonly HostRecord[];
}

export function makeSite(hostCount: number, chatter = CALM) {
  const clock = createVirtualClock(1_000);
  const store = {
    era: 0,
    /** The counter of all writes. */
    revision: 1,
    /** The operator's number of the configuration, and when it was written. */
    version: 1,
    configuredAt: 1,
    calls: 0,
    isDown: false,
    /** Of the store's steady clock, against that of the hosts. */
    clockShiftMs: 0,
  };
  let upstreams = [makeUpstream('a'), makeUpstream('b')];
  let accounts: Routing['accounts'] = [];
  /** The registry of hosts. */
  const registered = new Map<string, HostRecord>();
  /** Hosts that the store turns away. */
  const cut = new Set<string>();
  /** Hosts to which the datagrams that tell a change are lost. */
  const hearsNoChanges = new Set<string>();
  const calls = new Map<string, number>();
  /** Told of the era by each answer, by host. */
  const eras = new Map<string, StoreEra>();
  const wakers = new Set<() => void>();
  const isMesh = hostCount <= MOST_IN_MESH;
  /** Where hosts are many, what all of them know of each other. */
  let known: ReadonlyArray<{
    readonly hostId: string;
    readonly isStoreReachable: boolean;
  }> = [];

  function answer<T>(hostId: string, value: () => T): Promise<StoreRead<T>> {
    store.calls++;
    calls.set(hostId, (calls.get(hostId) ?? 0) + 1);
    return new Promise(resolve => {
      clock.setTimer(ANSWER_MS, () => {
        if (store.isDown || cut.has(hostId)) {
          resolve({kind: 'failed', detail: 'down'});
          return;
        }
        eras.get(hostId)?.note(store.era);
        resolve({kind: 'read', value: value()});
      });
    });
  }

  /** The store does not have the history that was asked for. */
  const answerLost = (): Promise<StoreRead<never>> =>
    Promise.resolve({kind: 'history-lost'});

  const storeNow = () => ({
    era: store.era,
    storeMs: clock.nowMs() + store.clockShiftMs,
  });

  const cursorNow = () => revisionAt(store.revision, store.era);

  const readRouting = () => ({
    cursor: cursorNow(),
    storeNow: storeNow(),
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
      accounts,
    } satisfies Routing,
  });

  const readNothing = () => ({
    cursor: cursorNow(),
    storeNow: storeNow(),
  });

  function makeHost(hostId: string) {
    const routing = createRoutingState(silentLog);
    const registry = createUpstreamRegistry({clock, log: silentLog});
    const storeEra = createStoreEra({clock, log: silentLog});
    eras.set(hostId, storeEra);
    const storeTime = createStoreTime(clock);
    const freshness = createConfigurationFreshness({clock, storeTime});
    const heard = new Map<string, {hostId: string} & StoreSyncState>();
    const readers = createStoreReaders({
      hostId,
      peers: () => (isMesh ? [...heard.values()] : known),
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
        storeEra,
        storeTime,
        freshness,
        isReader: readers.isReader,
        isCandidate: readers.isCandidate,
        isPlacing: () => false,
        isSought: () => isMesh || tellers.includes(hostId),
        isAlone: () => false,
        onHosts: () => undefined,
        routingSource: {
          readNow: () => answer(hostId, readRouting),
          readNext(cursor, waitMs) {
            const {counter} = cursor;
            if (counter > store.revision) return answerLost();
            if (counter < store.configuredAt) {
              return answer(hostId, readRouting);
            }
            return new Promise(resolve => {
              const wake = () => {
                wakers.delete(wake);
                clock.clearTimer(timer);
                resolve(
                  answer(hostId, () =>
                    counter < store.configuredAt
                      ? readRouting()
                      : readNothing(),
                  ),
                );
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
            answer(hostId, () => {
              const revision = revisionAt(store.revision, store.era);
              return {revision, upstreams};
            }),
        },
        hostRegistry: {
          async register(record) {
            const write = () => void registered.set(record.hostId, record);
            return (await answer(hostId, write)).kind === 'read';
          },
          readAll: () => answer(hostId, () => [...registered.values()]),
          async remove(id) {
            const write = () => registered.delete(id);
            return (await answer(hostId, write)).kind === 'read';
          },
        },
      },
      {hostId, peerAddress: `${hostId}:1`},
    );
    const host = {hostId, routing, registry, watch, heard, readers, freshness};
    watch.start();
    return host;
  }

  const dead = new Set<string>();
  const live = () => hosts.filter(({hostId}) => !dead.has(hostId));
  const hosts = Array.from({length: hostCount}, (_, i) =>
    makeHost(`host-${i}`),
  );

  function noteMembers(): void {
    known = live().map(({hostId, watch}) => ({
      hostId,
      isStoreReachable: watch.isStoreReachable(),
    }));
  }

  const doesTell = (fromHostId: string, toHostId: string) =>
    isMesh || tellers.includes(fromHostId) || tellers.includes(toHostId);

  function announce(): void {
    noteMembers();
    for (const from of hosts) {
      if (dead.has(from.hostId)) continue;
      const knowledge = {hostId: from.hostId, ...from.watch.knowledge()};
      clock.setTimer(chatter.hearMs, () => {
        for (const to of hosts) {
          if (to === from || dead.has(to.hostId)) continue;
          if (!doesTell(from.hostId, to.hostId)) continue;
          const heard = hearsNoChanges.has(to.hostId)
            ? {...knowledge, listDeltas: []}
            : knowledge;
          to.heard.set(from.hostId, heard);
          to.watch.hear(heard);
        }
      });
    }
    clock.setTimer(chatter.announceEveryMs, announce);
  }
  noteMembers();
  /** They hear all and tell all. */
  const tellers = isMesh ? [] : hosts[0].readers.readerIds();
  clock.setTimer(10, announce);

  return {
    clock,
    store,
    registeredIds: () => [...registered.keys()],
    hosts,
    cut,
    hearsNoChanges,
    callsOf: (hostIds: readonly string[]) =>
      hostIds.reduce((sum, hostId) => sum + (calls.get(hostId) ?? 0), 0),
    /** Another host, or one that starts anew, joins. */
    join(hostId: string) {
      const host = makeHost(hostId);
      hosts.push(host);
      return host;
    },
    /** A peer that the store serves hands over what it has. */
    handOver(hostId: string) {
      const host = hosts.find(each => each.hostId === hostId);
      const peer = hosts.find(each => !cut.has(each.hostId));
      const snapshot = peer?.registry.snapshot();
      if (!host || !peer || !snapshot) return;
      host.routing.offer(readRouting().routing, 'peer');
      host.watch.noteHandedList(peer.watch.listAgeMs());
      host.registry.apply(snapshot, 'peer');
    },
    kill(hostId: string) {
      dead.add(hostId);
      hosts.find(each => each.hostId === hostId)?.watch.stop();
      for (const each of hosts) each.heard.delete(hostId);
    },
    live,
    setUpstreams(next: Upstream[]) {
      upstreams = next;
      store.revision++;
    },
    beat() {
      upstreams = upstreams.map(each => ({
        ...each,
        heartbeat: revisionAt(each.heartbeat.counter + 1, store.era),
      }));
      store.revision++;
    },
    setAccounts(next: Routing['accounts']) {
      accounts = next;
    },
    /** Writes of others, which change neither list nor configuration. */
    write(count: number) {
      store.revision += count;
    },
    copy: () => ({
      revision: store.revision,
      version: store.version,
      configuredAt: store.configuredAt,
      upstreams,
      registered: [...registered.values()],
    }),
    /** The store comes back from an older copy. */
    restore({upstreams: listed, registered: known, ...numbers}: StoreCopy) {
      Object.assign(store, numbers);
      registered.clear();
      for (const each of known) registered.set(each.hostId, each);
      upstreams = listed;
      store.era++;
    },
    /** The operator writes its newest version, or one that was lost again. */
    configure(version = store.version + 1) {
      store.version = version;
      store.configuredAt = ++store.revision;
      for (const wake of [...wakers]) wake();
    },
  };
}
