/**
 * Reads the configuration and the list of upstreams from the platform's store,
 * and keeps this host in the registry of hosts. A host that is not a reader
 * relies on its peers' confirmations, and reads when one is overdue or its data
 * is outdated.
 *
 * Each call has its own short timeout, so a connection that goes silent costs
 * one call and breaks no time limit of the system. A failed call is soon
 * retried on another connection.
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
import {
  createStoreConfirmation,
  type ConfirmedBy,
} from './store_confirmation.js';
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
  /** Whether this host reads on behalf of all. */
  isReader(): boolean;
  /** Whether this host may become a reader if others cannot read. */
  isCandidate(): boolean;
  /** Whether this host chooses engines, for itself or for others. */
  isPlacing(): boolean;
  /** Whether other hosts need to find this host in the registry. */
  isRegistrationNeeded(): boolean;
  /** Whether this host knows no other host. */
  isAlone(): boolean;
  onHosts(records: readonly HostRecord[]): void;
}

/** What this host knows about the configuration in force, for logs. */
export interface ConfigurationStatus {
  readonly version: number;
  /** Time since the store is known to have had no newer version. */
  readonly ageMs: number;
  readonly confirmedBy: ConfirmedBy;
  /** The newest version that a peer announced; 0 without one. */
  readonly announcedVersion: number;
  /** Time since a peer announced a version newer than the one in force. */
  readonly behindMs: number;
}

export interface StoreWatch {
  start(): void;
  /** Removes this host from the registry; reading continues. */
  unregister(): void;
  stop(): void;
  /** The state of this host's data from the store, for announcements. */
  syncState(): StoreSyncState;
  /** Time since the store confirmed the list, as known to this host. */
  listAgeMs(): number;
  configurationStatus(): ConfigurationStatus;
  /** Whether the last call to the store was answered. */
  isStoreReachable(): boolean;
  /**
   * Processes a peer's announced state, which may confirm or outdate the data.
   */
  receivePeerState(peer: StoreSyncState): void;
  /** A list of the given age was applied from a peer. */
  noteFetchedList(ageMs: number): void;
}

/**
 * A change must be in force within 2 s after it is acknowledged, so a call on a
 * connection gone silent must time out well before that.
 */
const FEED_WAIT_MS = 1_000;
const FEED_TIMEOUT_MS = 1_500;
/** At this interval, two failed reads in a row still meet the time limit. */
export const LIST_READ_INTERVAL_MS = 700;
const READ_TIMEOUT_MS = 600;
/**
 * Data without a confirmation for this long is read again. Even if that read
 * times out, it ends within the 2 s in which a change must be in force, and by
 * then the data has been requested from a peer.
 */
export const MAX_UNCONFIRMED_LIST_MS = 1_000;
export const MAX_UNCONFIRMED_ROUTING_MS = 1_300;
/** Minimum time between reads caused by successive changes. */
const MIN_READ_INTERVAL_MS = 100;
/**
 * An outdated list is read only after this time, to let a delta arrive from a
 * peer first. Datagrams may be lost, but each of the three readers sends the
 * delta twice.
 */
const DELTA_WAIT_MS = 400;
/**
 * A reader candidate whose last call failed checks the store this often, even
 * if its peers confirm all its data: it may read for others again only once it
 * knows that the store answers.
 */
const LOST_STORE_CHECK_MS = 2_000;
/**
 * Ages in announcements are rounded, and datagrams are in transit for some ms.
 */
const MIN_CHECK_DELAY_MS = 20;
/**
 * A host that is not a reader needs one answer per era to learn the store's
 * time. Spreading these avoids hundreds of simultaneous calls.
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
  /** The newest version this host has read; undefined if it was unreadable. */
  let readVersion: number | undefined;
  const listConfirmation = createStoreConfirmation(clock);
  const routingConfirmation = createStoreConfirmation(clock);
  /** The newest revision and version that peers announced. */
  let peerListRevision = NO_REVISION;
  let peerRoutingVersion = 0;
  let routingBehindSinceMs = 0;
  let listBehindSinceMs = 0;
  let listReadAtMs = Number.NEGATIVE_INFINITY;
  let routingReadAtMs = Number.NEGATIVE_INFINITY;
  let isStoreLost = false;
  let isReader = true;
  /** The time by which to read the store's time after the era changed. */
  let storeTimeDueAtMs = Number.NEGATIVE_INFINITY;
  /** Consecutive failed reads. */
  let routingFailures = 0;
  let listFailures = 0;
  /**
   * Set while the next check is scheduled; undefined during a read or a retry.
   */
  let routingTimer: TimerHandle | undefined;
  let listTimer: TimerHandle | undefined;
  const registration = createHostRegistration(
    {...host, onRead: read => recordCall('hosts', read)},
    self,
  );

  function schedule(delayMs: number, action: () => Promise<void>): TimerHandle {
    const timer = clock.setTimer(Math.max(0, delayMs), () => {
      timers.delete(timer);
      if (!isStopped) void action();
    });
    timers.add(timer);
    return timer;
  }

  /**
   * Limits the load on the store, and its cost, during an outage in which
   * hundreds of hosts would each call four times a second. Hosts that are not
   * reader candidates learn from peers that it has ended. The first retry still
   * comes soon, in case only a connection went silent.
   */
  function retryMs(failures: number): number {
    const firstMs = RETRY_MS + RETRY_SPREAD_MS * random.nextFloat();
    if (host.isCandidate()) return firstMs;
    return Math.min(firstMs * 2 ** (failures - 1), LOST_STORE_CHECK_MS);
  }

  function recordCall(call: string, read: StoreRead<unknown>): void {
    // Calls that end because this process stops do not count as failures.
    if (isStopped) return;
    metrics.count('store_calls', `call="${call}",outcome="${read.kind}"`);
    const isLost = read.kind === 'failed';
    if (isLost === isStoreLost) return;
    isStoreLost = isLost;
    if (isLost) log.warn('The store is lost.', {call, reason: read.detail});
    else log.info('The store is back.', {call});
  }

  function applyRouting(update: RoutingUpdate, by: 'read' | 'feed'): void {
    cursor = update.cursor;
    routingConfirmation.noteRead(clock.nowMs(), by);
    if (update.routing) routing.applyIfNewer(update.routing, 'store');
    readVersion = update.isUnreadable
      ? undefined
      : (update.routing?.version ?? readVersion);
    const isNewest =
      readVersion !== undefined && readVersion <= routing.version();
    // After a restore, a lost version may be missing until it is written again.
    if (isNewest && storeEra.isSettled()) {
      freshness.noteCompleteUntil(update.storeNow);
    }
  }

  /*
   * Whether this host is outdated is computed from its current data, whatever
   * the data's source. As flags cleared only by this host's own reads, these
   * made a host that had fetched the newer data from a peer call the store four
   * times a second.
   */
  const isListBehind = () =>
    isNewerRevision(peerListRevision, registry.revision());
  const isRoutingBehind = () => peerRoutingVersion > routing.version();

  function updateReaderRole(isReaderNow: boolean): void {
    if (isReaderNow === isReader) return;
    isReader = isReaderNow;
    const ageMs = listConfirmation.ageMs();
    if (isReader) log.info('Reading the store for all.', {ageMs});
    else log.info('No longer reading the store for all.', {ageMs});
  }

  /**
   * Whether keys are configured and the store's time in this era is unknown.
   */
  const isStoreTimeMissing = () =>
    routing.accounts().requiresKey &&
    storeTime.latest()?.era !== storeEra.current();

  /** Time until the configuration has to be read; 0 or less means now. */
  function routingDelayMs(): number {
    if (host.isReader()) return 0;
    if (isRoutingBehind()) {
      return MIN_READ_INTERVAL_MS - (clock.nowMs() - routingReadAtMs);
    }
    const restMs = MAX_UNCONFIRMED_ROUTING_MS - routingConfirmation.ageMs();
    const timeRestMs = storeTimeDueAtMs - clock.nowMs();
    return isStoreTimeMissing() ? Math.min(restMs, timeRestMs) : restMs;
  }

  function listDelayMs(): number {
    const sinceReadMs = clock.nowMs() - listReadAtMs;
    updateReaderRole(host.isReader());
    const confirmationRestMs =
      MAX_UNCONFIRMED_LIST_MS - listConfirmation.ageMs();
    if (isListBehind()) {
      const behindMs = clock.nowMs() - listBehindSinceMs;
      const deltaRestMs = DELTA_WAIT_MS - behindMs;
      const restMs = Math.min(deltaRestMs, confirmationRestMs);
      return Math.max(restMs, MIN_READ_INTERVAL_MS - sinceReadMs);
    }
    // Only the list shows the heartbeat of an unreachable upstream.
    const isNeeded =
      isReader || (host.isPlacing() && registry.hasUnreachable());
    if (isNeeded) return LIST_READ_INTERVAL_MS - sinceReadMs;
    if (!isStoreLost || !host.isCandidate()) return confirmationRestMs;
    return Math.min(confirmationRestMs, LOST_STORE_CHECK_MS - sinceReadMs);
  }

  /** Avoids a busy loop if the store returns to an earlier era. */
  const isOfEarlierEra = ({cursor: {era}}: RoutingUpdate) =>
    era < storeEra.current();

  async function followRouting(): Promise<void> {
    const restMs = routingDelayMs();
    if (restMs > 0) {
      // After a pause, a full read replaces the feed.
      cursor = undefined;
      routingTimer = schedule(
        Math.max(restMs, MIN_CHECK_DELAY_MS),
        followRouting,
      );
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
    recordCall(from ? 'configuration-feed' : 'configuration', read);
    routingFailures = read.kind === 'failed' ? routingFailures + 1 : 0;
    switch (read.kind) {
      case 'read':
        storeTime.note(sentAt, read.value.storeNow);
        applyRouting(read.value, from ? 'feed' : 'read');
        // A feed misses what was written before its cursor's revision number.
        if (from && from.era !== read.value.cursor.era) cursor = undefined;
        // Until a first version exists, the feed waits for it.
        routingTimer = schedule(
          isOfEarlierEra(read.value) ? MIN_READ_INTERVAL_MS : 0,
          followRouting,
        );
        return;
      case 'history-lost':
        log.info(
          'The history of the configuration is lost; reading the latest version.',
        );
        cursor = undefined;
        routingTimer = schedule(0, followRouting);
        return;
      case 'failed':
        // The cursor is kept: a feed can be resumed after any outage.
        schedule(retryMs(routingFailures), followRouting);
    }
  }

  async function followUpstreams(): Promise<void> {
    const restMs = listDelayMs();
    if (restMs > 0) {
      listTimer = schedule(
        Math.max(restMs, MIN_CHECK_DELAY_MS),
        followUpstreams,
      );
      return;
    }
    listTimer = undefined;
    const sentAtMs = clock.nowMs();
    listReadAtMs = sentAtMs;
    const read = await host.upstreamSource.readNow(READ_TIMEOUT_MS);
    recordCall('upstreams', read);
    listFailures = read.kind === 'read' ? 0 : listFailures + 1;
    if (read.kind !== 'read') {
      registry.noteReadFailed();
      schedule(retryMs(listFailures), followUpstreams);
      return;
    }
    // The list is at most as old as its request.
    if (registry.apply(read.value)) listConfirmation.noteRead(sentAtMs);
    listTimer = schedule(0, followUpstreams);
  }

  /** Checks again now, unless a read or its retry is in progress. */
  function checkRoutingNow(): void {
    if (!routingTimer || isStopped) return;
    cancel(routingTimer);
    routingTimer = undefined;
    void followRouting();
  }

  function checkUpstreamsNow(): void {
    if (!listTimer || isStopped) return;
    cancel(listTimer);
    listTimer = undefined;
    void followUpstreams();
  }

  function cancel(timer: TimerHandle): void {
    clock.clearTimer(timer);
    timers.delete(timer);
  }

  function receiveRoutingState(peer: StoreSyncState): void {
    const {routingCompleteUntil} = peer;
    if (routingCompleteUntil && peer.routingVersion <= routing.version()) {
      freshness.noteCompleteUntil(routingCompleteUntil);
    }
    if (peer.routingVersion === routing.version()) {
      routingConfirmation.notePeer(peer.routingAges);
    } else if (peer.routingVersion > routing.version()) {
      if (!isRoutingBehind()) routingBehindSinceMs = clock.nowMs();
      peerRoutingVersion = Math.max(peerRoutingVersion, peer.routingVersion);
      checkRoutingNow();
    }
  }

  /** Peers have a newer list, or the era changed, which implies one. */
  function noteNewerList(revision: StoreRevision): void {
    if (!isListBehind()) listBehindSinceMs = clock.nowMs();
    if (isNewerRevision(revision, peerListRevision)) {
      peerListRevision = revision;
    }
    checkUpstreamsNow();
  }

  function receiveUpstreamState(peer: StoreSyncState): void {
    registry.noteServed(clock.nowMs() - peer.upstreamAges.ageMs);
    const {upstreamRevision} = peer;
    storeEra.note(upstreamRevision.era);
    if (isNewerRevision(registry.revision(), upstreamRevision)) return;
    for (const delta of peer.listDeltas) registry.applyDelta(delta);
    if (peer.upstreamDigest !== registry.digest()) {
      noteNewerList(upstreamRevision);
      return;
    }
    // A peer that missed the same change has the same outdated list. If such
    // peers confirmed each other, all would keep upstreams that have left.
    if (compareRevisions(upstreamRevision, peerListRevision) < 0) return;
    listConfirmation.notePeer(peer.upstreamAges);
    registry.confirm(upstreamRevision);
  }

  function onNewEra(era: number): void {
    noteNewerList({...NO_REVISION, era});
    storeTimeDueAtMs = clock.nowMs() + TIME_READ_SPREAD_MS * random.nextFloat();
    checkRoutingNow();
    registration.onNewEra();
  }

  return {
    start() {
      storeEra.onChange(onNewEra);
      void followRouting();
      void followUpstreams();
      registration.start();
    },
    unregister: registration.unregister,
    stop() {
      isStopped = true;
      registration.stop();
      for (const timer of timers) clock.clearTimer(timer);
    },
    isStoreReachable: () => !isStoreLost,
    listAgeMs: listConfirmation.ageMs,
    configurationStatus: () => ({
      version: routing.version(),
      ageMs: routingConfirmation.ageMs(),
      confirmedBy: routingConfirmation.confirmedBy(),
      announcedVersion: peerRoutingVersion,
      behindMs: isRoutingBehind()
        ? Math.round(clock.nowMs() - routingBehindSinceMs)
        : 0,
    }),
    syncState: () => ({
      routingVersion: routing.version(),
      routingAges: routingConfirmation.announcedAges(),
      routingCompleteUntil: freshness.completeUntil(),
      upstreamRevision: registry.revision(),
      upstreamDigest: registry.digest(),
      upstreamAges: listConfirmation.announcedAges(),
      listDeltas: host.isReader() ? registry.deltas() : [],
      isStoreReachable: !isStoreLost,
    }),
    receivePeerState(peer) {
      receiveRoutingState(peer);
      receiveUpstreamState(peer);
    },
    noteFetchedList: listConfirmation.noteFetched,
  };
}
