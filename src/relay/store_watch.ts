/**
 * Follows what the operator and the upstreams write to the platform's store,
 * and keeps this host in the registry of hosts.
 *
 * Guards: each call has its own short limit, so that a connection that went
 * silent costs one call and not a bound of the system; a failed call is made
 * again soon, on another connection.
 */

import type {Clock, TimerHandle} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';
import type {Random} from '../ports/random.js';
import type {
  HostRecord,
  HostRegistry,
  RoutingSource,
  RoutingUpdate,
  StoreRead,
  UpstreamSource,
} from '../ports/relay.js';
import type {RelayMetrics} from './relay_metrics.js';
import type {RoutingState} from './routing_state.js';
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
  onHosts(records: readonly HostRecord[]): void;
}

export interface StoreWatch {
  start(): void;
  /** Takes this host out of the registry; it goes on reading. */
  unregister(): void;
  stop(): void;
  /** Age of the list of upstreams. */
  upstreamAgeMs(): number;
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
const UPSTREAMS_EVERY_MS = 700;
const READ_TIMEOUT_MS = 600;
const RETRY_MS = 200;
const RETRY_SPREAD_MS = 100;
/** Registering is done once; hosts hear of each other by any of them. */
const REGISTER_TIMEOUT_MS = 800;
const HOSTS_EVERY_MS = 10_000;
const HOSTS_RETRY_MS = 1_000;

export function createStoreWatch(
  host: StoreWatchHost,
  self: HostRecord,
): StoreWatch {
  const {clock, random, log, metrics, routing, registry} = host;
  const timers = new Set<TimerHandle>();
  let isStopped = false;
  let isLeaving = false;
  let cursor: number | undefined;
  let isRegistered = false;
  let listReadAtMs = Number.NEGATIVE_INFINITY;
  let isStoreLost = false;

  function later(delayMs: number, action: () => Promise<void>): void {
    if (isStopped) return;
    const timer = clock.setTimer(delayMs, () => {
      timers.delete(timer);
      void action();
    });
    timers.add(timer);
  }

  const retryMs = () => RETRY_MS + RETRY_SPREAD_MS * random.nextFloat();

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
    if (update.routing) routing.offer(update.routing, 'store');
  }

  async function followRouting(): Promise<void> {
    const isNew = cursor === undefined;
    const read =
      cursor === undefined
        ? await host.routingSource.readNow(READ_TIMEOUT_MS)
        : await host.routingSource.readNext(
            cursor,
            FEED_WAIT_MS,
            FEED_TIMEOUT_MS,
          );
    note(isNew ? 'configuration' : 'configuration-feed', read);
    switch (read.kind) {
      case 'read':
        takeRouting(read.value);
        // Until there is a first version, the feed wakes for it.
        return later(0, followRouting);
      case 'history-lost':
        log.info('The history of the configuration is gone; reading anew.');
        cursor = undefined;
        return later(0, followRouting);
      case 'failed':
        // The cursor stays: a feed can be resumed after any outage.
        return later(retryMs(), followRouting);
    }
  }

  async function pollUpstreams(): Promise<void> {
    const sentAtMs = clock.nowMs();
    const read = await host.upstreamSource.readNow(READ_TIMEOUT_MS);
    note('upstreams', read);
    if (read.kind !== 'read') {
      registry.noteOutage();
      return later(retryMs(), pollUpstreams);
    }
    // The list is as old as its request at most.
    listReadAtMs = sentAtMs;
    registry.apply(read.value);
    later(UPSTREAMS_EVERY_MS - (clock.nowMs() - sentAtMs), pollUpstreams);
  }

  async function keepRegistered(): Promise<void> {
    if (!isRegistered && !isLeaving) {
      const {hostRegistry} = host;
      isRegistered = await hostRegistry.register(self, REGISTER_TIMEOUT_MS);
      metrics.count('store_calls', `call="register",outcome="${isRegistered}"`);
    }
    const read = await host.hostRegistry.readAll(READ_TIMEOUT_MS);
    note('hosts', read);
    if (read.kind === 'read') host.onHosts(read.value);
    const isDone = isRegistered && read.kind === 'read';
    later(isDone ? HOSTS_EVERY_MS : HOSTS_RETRY_MS, keepRegistered);
  }

  return {
    start() {
      void followRouting();
      void pollUpstreams();
      void keepRegistered();
    },
    unregister() {
      isLeaving = true;
      if (!isRegistered) return;
      void host.hostRegistry.remove(self.hostId, REGISTER_TIMEOUT_MS);
    },
    stop() {
      isStopped = true;
      for (const timer of timers) clock.clearTimer(timer);
    },
    upstreamAgeMs: () => clock.nowMs() - listReadAtMs,
    noteHandedList(ageMs) {
      listReadAtMs = Math.max(listReadAtMs, clock.nowMs() - ageMs);
    },
  };
}
