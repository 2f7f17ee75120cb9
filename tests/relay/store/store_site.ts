/**
 * A simulated store and several hosts that read it and exchange their state, in
 * virtual time.
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
import type {StoreRevision} from '../../../src/core/store_revision.js';
import type {Upstream} from '../../../src/core/upstream.js';
import {createUpstreamRegistry} from '../../../src/relay/store/upstream_registry.js';
import {silentLog} from '../../support/silent_log.js';
import {revisionAt} from '../../support/store_revisions.js';
import {createStoreLinks} from './store_links.js';

/** The timing of announcements between hosts. */
export interface AnnouncementTiming {
  /** Time from creating a datagram to processing it at the receiver. */
  readonly hearMs: number;
  readonly announceEveryMs: number;
}

const DEFAULT_TIMING: AnnouncementTiming = {hearMs: 3, announceEveryMs: 250};
/**
 * In a large deployment: three coordinators, each sending to all others twice a
 * second at different times, while the others send to the coordinators.
 */
export const LARGE_DEPLOYMENT_TIMING: AnnouncementTiming = {
  hearMs: 3,
  announceEveryMs: 200,
};
const MAX_MESH_HOSTS = 16;

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

/** The contents of the store at one moment. */
export interface StoreCopy {
  readonly revision: number;
  readonly version: number;
  readonly configuredAt: number;
  readonly upstreams: Upstream[];
  readonly registered: readonly HostRecord[];
}

export function makeSite(hostCount: number, timing = DEFAULT_TIMING) {
  const clock = createVirtualClock(1_000);
  const store = {
    era: 0,
    /** The revision counter, increased by each write. */
    revision: 1,
    /**
     * The version of the configuration, and the revision at which it was
     * written.
     */
    version: 1,
    configuredAt: 1,
    calls: 0,
    isDown: false,
    /** The store gets no call, and no call gets its answer. */
    isSilent: false,
    /** How much later its answers arrive than they were made. */
    lateMs: 0,
    /** Offset of the store's steady clock from that of the hosts. */
    clockShiftMs: 0,
  };
  let upstreams = [makeUpstream('a'), makeUpstream('b')];
  let accounts: Routing['accounts'] = [];
  /** The registry of hosts. */
  const registered = new Map<string, HostRecord>();
  /** Hosts that cannot reach the store. */
  const cut = new Set<string>();
  /** Hosts that do not receive any deltas. */
  const hearsNoChanges = new Set<string>();
  /** By host: how long its incoming datagrams wait in its socket. */
  const heldMs = new Map<string, number>();
  /** By host: how many reads of the configuration on new connections get lost. */
  const lostNewReads = new Map<string, number>();
  /** By host: the era tracker, updated by each answer. */
  const eras = new Map<string, StoreEra>();
  const links = createStoreLinks({clock, store, cut, eras});
  const {call} = links;
  const wakers = new Set<() => void>();
  const isMesh = hostCount <= MAX_MESH_HOSTS;
  /** In a large deployment: the list of members, known to all hosts. */
  let known: ReadonlyArray<{
    readonly hostId: string;
    readonly isStoreReachable: boolean;
  }> = [];

  /** The store no longer has the history that was requested. */
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

  const readNothing = (from: StoreRevision) => ({
    cursor: from,
    storeNow: storeNow(),
  });

  /** Answers when the store wakes its feeds, or at the end of the wait. */
  function waitForChange(waitMs: number, answer: () => void): void {
    const wake = () => {
      wakers.delete(wake);
      clock.clearTimer(timer);
      answer();
    };
    const timer = clock.setTimer(waitMs, wake);
    wakers.add(wake);
  }

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
        isRegistrationNeeded: () => isMesh || coordinatorIds.includes(hostId),
        isAlone: () => false,
        onHosts: () => undefined,
        routingSource: {
          readNow(timeoutMs, connection) {
            const lost = lostNewReads.get(hostId) ?? 0;
            if (connection === 'pooled' || lost === 0) {
              return call(hostId, readRouting, timeoutMs, connection);
            }
            lostNewReads.set(hostId, lost - 1);
            const wait = () => undefined;
            return call(hostId, readRouting, timeoutMs, connection, wait);
          },
          readNext(cursor, waitMs, timeoutMs) {
            const {counter} = cursor;
            if (counter > store.revision) return answerLost();
            const isChanged = () => counter < store.configuredAt;
            return call(
              hostId,
              () => (isChanged() ? readRouting() : readNothing(cursor)),
              timeoutMs,
              'pooled',
              answer =>
                isChanged() ? answer() : waitForChange(waitMs, answer),
            );
          },
          encode: () => '',
          decode: () => undefined,
        },
        upstreamSource: {
          readNow: (timeoutMs, connection) =>
            call(
              hostId,
              () => ({revision: cursorNow(), upstreams}),
              timeoutMs,
              connection,
            ),
        },
        hostRegistry: {
          async register(record, timeoutMs) {
            const write = () => void registered.set(record.hostId, record);
            return (await call(hostId, write, timeoutMs)).kind === 'read';
          },
          readAll: timeoutMs =>
            call(hostId, () => [...registered.values()], timeoutMs),
          async remove(id, timeoutMs) {
            const write = () => registered.delete(id);
            return (await call(hostId, write, timeoutMs)).kind === 'read';
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

  const isSentTo = (fromHostId: string, toHostId: string) =>
    isMesh ||
    coordinatorIds.includes(fromHostId) ||
    coordinatorIds.includes(toHostId);

  function announce(): void {
    noteMembers();
    for (const from of hosts) {
      if (dead.has(from.hostId)) continue;
      const knowledge = {hostId: from.hostId, ...from.watch.syncState()};
      clock.setTimer(timing.hearMs, () => {
        for (const to of hosts) {
          if (to === from || dead.has(to.hostId)) continue;
          if (!isSentTo(from.hostId, to.hostId)) continue;
          const heard = hearsNoChanges.has(to.hostId)
            ? {...knowledge, listDeltas: []}
            : knowledge;
          clock.setTimer(heldMs.get(to.hostId) ?? 0, () => {
            to.heard.set(from.hostId, heard);
            to.watch.receivePeerState(heard);
          });
        }
      });
    }
    clock.setTimer(timing.announceEveryMs, announce);
  }
  noteMembers();
  /** The coordinators, which exchange datagrams with all hosts. */
  const coordinatorIds = isMesh ? [] : hosts[0].readers.readerIds();
  clock.setTimer(10, announce);

  return {
    clock,
    store,
    registeredIds: () => [...registered.keys()],
    hosts,
    cut,
    hearsNoChanges,
    heldMs,
    lostNewReads,
    silenceConnections: links.silenceConnections,
    callsOf: links.callsOf,
    /** Adds a host, or restarts one. */
    join(hostId: string) {
      const host = makeHost(hostId);
      hosts.push(host);
      return host;
    },
    /** Gives the host the data of a peer that can reach the store. */
    fetchFromPeer(hostId: string) {
      const host = hosts.find(each => each.hostId === hostId);
      const peer = hosts.find(each => !cut.has(each.hostId));
      const snapshot = peer?.registry.snapshot();
      if (!host || !peer || !snapshot) return;
      host.routing.applyIfNewer(readRouting().routing, 'peer');
      host.watch.noteFetchedList(peer.watch.listAgeMs());
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
    /**
     * Makes other writes, which change neither the list nor the configuration.
     */
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
    /** Restores the store from an older copy. */
    restore({upstreams: listed, registered: known, ...numbers}: StoreCopy) {
      Object.assign(store, numbers);
      registered.clear();
      for (const each of known) registered.set(each.hostId, each);
      upstreams = listed;
      store.era++;
    },
    /** Writes the next version of the configuration, or repeats a lost one. */
    configure(version = store.version + 1) {
      store.version = version;
      store.configuredAt = ++store.revision;
      for (const wake of [...wakers]) wake();
    },
  };
}
