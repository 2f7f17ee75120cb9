/**
 * Follows what the operator and the upstreams write to the platform's store,
 * and keeps this host in the registry of hosts. A host that is no reader goes
 * by what its peers confirm and reads when that is not enough.
 *
 * Guards: each call has its own short limit, so that a connection that went
 * silent costs one call and not a bound of the system; a failed call is made
 * again soon, on another connection.
 */

import {
  compareRevisions,
  isNewerRevision,
  NO_REVISION,
  type StoreRevision,
} from '../../core/store_revision.js';
import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {
  HostRecord,
  HostRegistry,
  RoutingSource,
  RoutingUpdate,
  StoreRead,
  UpstreamSource,
} from '../../ports/relay.js';
import type {ConfigurationFreshness} from '../accounts/configuration_freshness.js';
import type {StoreTime} from '../accounts/store_time.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {RoutingState} from '../routing_state.js';
import {createHostRegistration} from './host_registration.js';
import {createStoreConfirmation} from './store_confirmation.js';
import type {StoreSyncState} from '../fleet/store_readers.js';
import type {StoreEra} from './store_era.js';
import type {UpstreamRegistry} from './upstream_registry.js';

export interface StoreWatchHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: RelayMetrics;
  readonly routingSource: RoutingSource;
  readonly upstreamSource: UpstreamSource;
  readonly hostRegistry: HostRegistry;
  readonly routing: RoutingState;
  readonly registry: UpstreamRegistry;
  readonly storeEra: StoreEra;
  readonly storeTime: StoreTime;
  readonly freshness: ConfigurationFreshness;
  /** Whether this host reads for all. */
  isReader(): boolean;
  /** Whether this host would read for all if others could not. */
  isCandidate(): boolean;
  /** Whether this host chooses engines, for itself or for others. */
  isPlacing(): boolean;
  /** Whether others have to find this host by the registry of hosts. */
  isSought(): boolean;
  /** Whether this host knows no other. */
  isAlone(): boolean;
  onHosts(records: readonly HostRecord[]): void;
}

export interface StoreWatch {
  start(): void;
  /** Takes this host out of the registry; it goes on reading. */
  unregister(): void;
  stop(): void;
  /** What is known, and since when the store has confirmed it. */
  knowledge(): StoreSyncState;
  /** Since the store confirmed the list, as far as this host can tell. */
  listAgeMs(): number;
  /** Whether the last call to the store was answered. */
  isStoreReachable(): boolean;
  /** A peer confirms what is known here, or has something newer. */
  hear(peer: StoreSyncState): void;
  /** A peer handed its list over, as old as this. */
  noteHandedList(ageMs: number): void;
}

/**
 * A change is in force within 2 s of its acknowledgement; a call that waits
 * on a connection gone silent must end well before that.
 */
const FEED_WAIT_MS = 1_000;
const FEED_TIMEOUT_MS = 1_500;
/** The list is read so often that two failed reads still leave the bound. */
export const UPSTREAMS_EVERY_MS = 700;
const READ_TIMEOUT_MS = 600;
/**
 * What nobody has confirmed for this long is read anew. A read that times out
 * still ends within the 2 s in which a change is to be in force; by then a
 * peer has been asked to hand its own over.
 */
export const LIST_CONFIRMED_MS = 1_000;
export const ROUTING_CONFIRMED_MS = 1_300;
/** Changes that follow each other closely are read once in this time. */
const READ_SPACING_MS = 100;
/**
 * A list that is behind is read if no peer has told the change by then: its
 * word is lost now and then, and three readers tell it twice.
 */
const TOLD_WITHIN_MS = 400;
/**
 * A host whose last call to the store failed looks again this often, though
 * its peers tell it all: it may read for others, and plan, only once it knows
 * that the store serves it.
 */
const LOST_STORE_LOOK_MS = 2_000;
/** Ages in announcements are rounded, and datagrams take some ms. */
const SHORTEST_LOOK_MS = 20;
/**
 * Hosts that go by what others read need one answer in each era for the time of
 * the store; all at once would be hundreds of calls.
 */
const TIME_READ_SPREAD_MS = 1_500;
const RETRY_MS = 200;
const RETRY_SPREAD_MS = 100;

export function createStoreWatch(
  host: StoreWatchHost,
  self: HostRecord,
): StoreWatch {
  const {clock, random, log, metrics, routing, registry, storeEra} = host;
  const {freshness, storeTime} = host;
  const timers = new Set<TimerHandle>();
  let isStopped = false;
  let cursor: StoreRevision | undefined;
  /** The newest version of which own reads have told, if it can be read. */
  let readVersion: number | undefined;
  const listConfirmation = createStoreConfirmation(clock);
  const routingConfirmation = createStoreConfirmation(clock);
  /** The newest that a peer had and this host had not. */
  let otherListRevision = NO_REVISION;
  let otherRoutingVersion = 0;
  let listBehindSinceMs = 0;
  let listReadAtMs = Number.NEGATIVE_INFINITY;
  let routingReadAtMs = Number.NEGATIVE_INFINITY;
  let isStoreLost = false;
  let isReader = true;
  /** When the time of the store is to be known again, where an era began. */
  let timeDueAtMs = Number.NEGATIVE_INFINITY;
  /** Reads that failed one after the other. */
  let routingFailures = 0;
  let listFailures = 0;
  /** Set while the next look waits; a running read has none. */
  let routingTimer: TimerHandle | undefined;
  let listTimer: TimerHandle | undefined;
  const registration = createHostRegistration(
    {...host, onRead: read => note('hosts', read)},
    self,
  );

  function later(delayMs: number, action: () => Promise<void>): TimerHandle {
    const timer = clock.setTimer(Math.max(0, delayMs), () => {
      timers.delete(timer);
      if (!isStopped) void action();
    });
    timers.add(timer);
    return timer;
  }

  /**
   * Guards the store and its price against an outage in which hundreds of
   * hosts call four times a second. Those that never read for others hear
   * that it is over; a second try soon covers a connection gone silent.
   */
  function retryMs(failures: number): number {
    const firstMs = RETRY_MS + RETRY_SPREAD_MS * random.nextFloat();
    if (host.isCandidate()) return firstMs;
    return Math.min(firstMs * 2 ** (failures - 1), LOST_STORE_LOOK_MS);
  }

  function note(call: string, read: StoreRead<unknown>): void {
    // The calls that end with the process are no loss of the store.
    if (isStopped) return;
    metrics.count('store_calls', `call="${call}",outcome="${read.kind}"`);
    const isLost = read.kind === 'failed';
    if (isLost === isStoreLost) return;
    isStoreLost = isLost;
    if (isLost) log.warn('The store is lost.', {call, reason: read.detail});
    else log.info('The store is back.', {call});
  }

  function takeRouting(update: RoutingUpdate): void {
    cursor = update.cursor;
    routingConfirmation.noteRead(clock.nowMs());
    if (update.routing) routing.offer(update.routing, 'store');
    readVersion = update.isUnreadable
      ? undefined
      : (update.routing?.version ?? readVersion);
    const isNewest =
      readVersion !== undefined && readVersion <= routing.version();
    // A version that the store lost may be missing until it is written again.
    if (isNewest && storeEra.isSettled()) {
      freshness.noteCompleteUntil(update.storeNow);
    }
  }

  /*
   * Whether this host is behind follows from what it has, however it came by
   * it. As marks that only an own read took off, they made a host that had
   * been handed the newer one ask the store for it four times a second.
   */
  const isListBehind = () =>
    isNewerRevision(otherListRevision, registry.revision());
  const isRoutingBehind = () => otherRoutingVersion > routing.version();

  function noteReader(isNow: boolean): void {
    if (isNow === isReader) return;
    isReader = isNow;
    const ageMs = listConfirmation.ageMs();
    if (isReader) log.info('Reading the store for all.', {ageMs});
    else log.info('Going by what others read.', {ageMs});
  }

  /** Whether the time of the store in the present era is wanted for keys. */
  const isTimeMissing = () =>
    !routing.accounts().isEmpty &&
    storeTime.latest()?.era !== storeEra.current();

  /** How long the configuration may go unread; 0 to read now. */
  function routingRestMs(): number {
    if (host.isReader()) return 0;
    if (isRoutingBehind()) {
      return READ_SPACING_MS - (clock.nowMs() - routingReadAtMs);
    }
    const restMs = ROUTING_CONFIRMED_MS - routingConfirmation.ageMs();
    const timeRestMs = timeDueAtMs - clock.nowMs();
    return isTimeMissing() ? Math.min(restMs, timeRestMs) : restMs;
  }

  function listRestMs(): number {
    const sinceReadMs = clock.nowMs() - listReadAtMs;
    noteReader(host.isReader());
    const confirmedRestMs = LIST_CONFIRMED_MS - listConfirmation.ageMs();
    if (isListBehind()) {
      const behindMs = clock.nowMs() - listBehindSinceMs;
      const toldRestMs = TOLD_WITHIN_MS - behindMs;
      const restMs = Math.min(toldRestMs, confirmedRestMs);
      return Math.max(restMs, READ_SPACING_MS - sinceReadMs);
    }
    // Only the list itself shows that an unreachable upstream lives again.
    const isNeeded =
      isReader || (host.isPlacing() && registry.hasUnreachable());
    if (isNeeded) return UPSTREAMS_EVERY_MS - sinceReadMs;
    if (!isStoreLost || !host.isCandidate()) return confirmedRestMs;
    return Math.min(confirmedRestMs, LOST_STORE_LOOK_MS - sinceReadMs);
  }

  /** A store that goes back to an earlier era must not be read without rest. */
  const isOutdated = ({cursor: {era}}: RoutingUpdate) =>
    era < storeEra.current();

  async function followRouting(): Promise<void> {
    const restMs = routingRestMs();
    if (restMs > 0) {
      // What happens until then is for a fresh read, not for the feed.
      cursor = undefined;
      routingTimer = later(Math.max(restMs, SHORTEST_LOOK_MS), followRouting);
      return;
    }
    routingTimer = undefined;
    routingReadAtMs = clock.nowMs();
    if (cursor?.era !== storeEra.current()) cursor = undefined;
    const from = cursor;
    const sentAt = storeTime.now();
    const read = from
      ? await host.routingSource.readNext(from, FEED_WAIT_MS, FEED_TIMEOUT_MS)
      : await host.routingSource.readNow(READ_TIMEOUT_MS);
    note(from ? 'configuration-feed' : 'configuration', read);
    routingFailures = read.kind === 'failed' ? routingFailures + 1 : 0;
    switch (read.kind) {
      case 'read':
        storeTime.note(sentAt, read.value.storeNow);
        takeRouting(read.value);
        // The feed passes over what was written before its cursor's number.
        if (from && from.era !== read.value.cursor.era) cursor = undefined;
        // Until there is a first version, the feed wakes for it.
        routingTimer = later(
          isOutdated(read.value) ? READ_SPACING_MS : 0,
          followRouting,
        );
        return;
      case 'history-lost':
        log.info('The history of the configuration is gone; reading anew.');
        cursor = undefined;
        routingTimer = later(0, followRouting);
        return;
      case 'failed':
        // The cursor stays: a feed can be resumed after any outage.
        later(retryMs(routingFailures), followRouting);
    }
  }

  async function followUpstreams(): Promise<void> {
    const restMs = listRestMs();
    if (restMs > 0) {
      listTimer = later(Math.max(restMs, SHORTEST_LOOK_MS), followUpstreams);
      return;
    }
    listTimer = undefined;
    const sentAtMs = clock.nowMs();
    listReadAtMs = sentAtMs;
    const read = await host.upstreamSource.readNow(READ_TIMEOUT_MS);
    note('upstreams', read);
    listFailures = read.kind === 'read' ? 0 : listFailures + 1;
    if (read.kind !== 'read') {
      registry.noteReadFailed();
      later(retryMs(listFailures), followUpstreams);
      return;
    }
    // The list is as old as its request at most.
    if (registry.apply(read.value)) listConfirmation.noteRead(sentAtMs);
    listTimer = later(0, followUpstreams);
  }

  /** Looks again now, unless a read or its retry is under way. */
  function wakeRouting(): void {
    if (!routingTimer || isStopped) return;
    cancel(routingTimer);
    routingTimer = undefined;
    void followRouting();
  }

  function wakeUpstreams(): void {
    if (!listTimer || isStopped) return;
    cancel(listTimer);
    listTimer = undefined;
    void followUpstreams();
  }

  function cancel(timer: TimerHandle): void {
    clock.clearTimer(timer);
    timers.delete(timer);
  }

  function hearRouting(peer: StoreSyncState): void {
    const {routingCompleteUntil} = peer;
    if (routingCompleteUntil && peer.routingVersion <= routing.version()) {
      freshness.noteCompleteUntil(routingCompleteUntil);
    }
    if (peer.routingVersion === routing.version()) {
      routingConfirmation.notePeer(peer.routingAges);
    } else if (peer.routingVersion > routing.version()) {
      otherRoutingVersion = Math.max(otherRoutingVersion, peer.routingVersion);
      wakeRouting();
    }
  }

  /** Others have, or there must be, a newer list than the one known here. */
  function noteOtherList(revision: StoreRevision): void {
    if (!isListBehind()) listBehindSinceMs = clock.nowMs();
    if (isNewerRevision(revision, otherListRevision)) {
      otherListRevision = revision;
    }
    wakeUpstreams();
  }

  function hearUpstreams(peer: StoreSyncState): void {
    registry.noteServed(clock.nowMs() - peer.upstreamAges.ageMs);
    const {upstreamRevision} = peer;
    storeEra.note(upstreamRevision.era);
    if (isNewerRevision(registry.revision(), upstreamRevision)) return;
    for (const delta of peer.listDeltas) registry.applyDelta(delta);
    if (peer.upstreamDigest !== registry.digest()) {
      noteOtherList(upstreamRevision);
      return;
    }
    // A peer that missed the same change as this host has the same old list;
    // hosts that took its word kept upstreams that had left, all together.
    if (compareRevisions(upstreamRevision, otherListRevision) < 0) return;
    listConfirmation.notePeer(peer.upstreamAges);
    registry.confirm(upstreamRevision);
  }

  function noteEra(era: number): void {
    noteOtherList({...NO_REVISION, era});
    timeDueAtMs = clock.nowMs() + TIME_READ_SPREAD_MS * random.nextFloat();
    wakeRouting();
    registration.noteEra();
  }

  return {
    start() {
      storeEra.onChange(noteEra);
      void followRouting();
      void followUpstreams();
      registration.start();
    },
    unregister: registration.leave,
    stop() {
      isStopped = true;
      registration.stop();
      for (const timer of timers) clock.clearTimer(timer);
    },
    isStoreReachable: () => !isStoreLost,
    listAgeMs: listConfirmation.ageMs,
    knowledge: () => ({
      routingVersion: routing.version(),
      routingAges: routingConfirmation.announced(),
      routingCompleteUntil: freshness.completeUntil(),
      upstreamRevision: registry.revision(),
      upstreamDigest: registry.digest(),
      upstreamAges: listConfirmation.announced(),
      listDeltas: host.isReader() ? registry.deltas() : [],
      isStoreReachable: !isStoreLost,
    }),
    hear(peer) {
      hearRouting(peer);
      hearUpstreams(peer);
    },
    noteHandedList: listConfirmation.noteHanded,
  };
}
