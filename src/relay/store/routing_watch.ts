/**
 * Reads the configuration from the platform's store. A reader follows the feed;
 * any other host reads when a peer announces a newer version, or when the
 * confirmation of its own version becomes too old.
 *
 * A version must be in force within 2 s after it is acknowledged. The waits on
 * each path to a host, and their sums, are listed in
 * docs/design/configuration_reach.md.
 */

import type {StoreRevision} from '../../core/store_revision.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {
  RoutingSource,
  RoutingUpdate,
  StoreRead,
} from '../../ports/relay.js';
import type {ConfigurationFreshness} from '../accounts/configuration_freshness.js';
import type {LocalInstant, StoreTime} from '../accounts/store_time.js';
import type {StoreSyncState} from '../fleet/store_readers.js';
import type {RoutingState} from '../routing_state.js';
import {startHedgedCall} from './hedged_call.js';
import {createReadAttempts, type FeedCall} from './read_attempts.js';
import {createReadLoop} from './read_loop.js';
import type {StoreCalls} from './store_calls.js';
import {
  createStoreConfirmation,
  type ConfirmedAges,
  type ConfirmedBy,
} from './store_confirmation.js';
import type {StoreEra} from './store_era.js';

export interface RoutingWatchHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly calls: StoreCalls;
  readonly routingSource: RoutingSource;
  readonly routing: RoutingState;
  readonly storeEra: StoreEra;
  readonly storeTime: StoreTime;
  readonly freshness: ConfigurationFreshness;
  /** Whether this host reads on behalf of all. */
  isReader(): boolean;
  /** Whether this host may become a reader if others cannot read. */
  isCandidate(): boolean;
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

export interface RoutingWatch {
  start(): void;
  stop(): void;
  /** Processes a peer's announced state. */
  receivePeerState(peer: StoreSyncState): void;
  onNewEra(): void;
  announcedAges(): ConfirmedAges;
  status(): ConfigurationStatus;
  /**
   * Resolves to whether the store confirmed the version in force recently
   * enough to refuse a request by it. Asks the store if that isn't so yet, and
   * waits for its answer if `mayWait` is set.
   */
  confirm(mayWait: boolean): Promise<boolean>;
}

const FEED_WAIT_MS = 700;
const FEED_TIMEOUT_MS = 1_300;
export const MAX_UNCONFIRMED_ROUTING_MS = 1_000;
/** Minimum time between reads caused by successive changes. */
const MIN_READ_INTERVAL_MS = 100;
/** A version confirmed within this time may refuse a request. */
const MAX_CONFIRMED_AGE_MS = 1_500;
/** The longest wait of a request for a confirmation. */
const CONFIRM_TIMEOUT_MS = 700;
const CONFIRM_POLL_MS = 20;
/**
 * A host that is not a reader needs one answer per era to learn the store's
 * time. Spreading these avoids hundreds of simultaneous calls.
 */
const TIME_READ_SPREAD_MS = 1_500;

interface RoutingAnswer {
  readonly read: Exclude<StoreRead<RoutingUpdate>, {kind: 'failed'}>;
  /** The cursor that the feed was read from; undefined for a full read. */
  readonly from?: StoreRevision;
  readonly sentAt: LocalInstant;
}

export function createRoutingWatch(host: RoutingWatchHost): RoutingWatch {
  const {clock, random, log, calls, routing, storeEra, storeTime} = host;
  const {freshness, routingSource} = host;
  const confirmation = createStoreConfirmation(clock);
  /** Where to resume the feed; undefined if a full read has to come first. */
  let cursor: StoreRevision | undefined;
  /** The newest version this host has read; undefined if it was unreadable. */
  let readVersion: number | undefined;
  /** The newest version that peers announced. */
  let peerVersion = 0;
  let behindSinceMs = 0;
  let readAtMs = Number.NEGATIVE_INFINITY;
  let isConfirmationRequested = false;
  /** The time by which to read the store's time after the era changed. */
  let storeTimeDueAtMs = Number.NEGATIVE_INFINITY;

  /*
   * Whether this host is outdated is computed from its current data, whatever
   * the data's source. As flags cleared only by this host's own reads, these
   * made a host that had fetched the newer data from a peer call the store four
   * times a second.
   */
  const isBehind = () => peerVersion > routing.version();

  /**
   * Whether keys are configured and the store's time in this era is unknown.
   */
  const isStoreTimeMissing = () =>
    routing.accounts().requiresKey &&
    storeTime.latest()?.era !== storeEra.current();

  const isConfirmed = () => confirmation.ageMs() <= MAX_CONFIRMED_AGE_MS;

  /** Ends early if the requested read fails. */
  async function waitForConfirmation(untilMs: number): Promise<boolean> {
    while (isConfirmationRequested && clock.nowMs() < untilMs) {
      await new Promise<void>(resolve => {
        clock.setTimer(CONFIRM_POLL_MS, resolve);
      });
      if (isConfirmed()) return true;
    }
    return isConfirmed();
  }

  function delayMs(): number {
    if (host.isReader()) return 0;
    if (isBehind() || isConfirmationRequested) {
      return MIN_READ_INTERVAL_MS - (clock.nowMs() - readAtMs);
    }
    const restMs = MAX_UNCONFIRMED_ROUTING_MS - confirmation.ageMs();
    const timeRestMs = storeTimeDueAtMs - clock.nowMs();
    return isStoreTimeMissing() ? Math.min(restMs, timeRestMs) : restMs;
  }

  const attempts = createReadAttempts<RoutingAnswer>({
    clock,
    async read(connection, timeoutMs) {
      const sentAt = storeTime.now();
      const read = await routingSource.readNow(timeoutMs, connection);
      calls.count('configuration', read);
      return read.kind === 'failed' ? undefined : {read, sentAt};
    },
  });

  async function readFeed(
    from: StoreRevision,
  ): Promise<RoutingAnswer | undefined> {
    const sentAt = storeTime.now();
    const read = await routingSource.readNext(
      from,
      FEED_WAIT_MS,
      FEED_TIMEOUT_MS,
    );
    calls.count('configuration-feed', read);
    return read.kind === 'failed' ? undefined : {read, from, sentAt};
  }

  function chooseFeed(): FeedCall<RoutingAnswer> | undefined {
    const from = cursor;
    if (from?.era !== storeEra.current()) return undefined;
    return {waitMs: FEED_WAIT_MS, run: () => readFeed(from)};
  }

  /**
   * An upper bound on the time since the store made its answer. An answer of
   * the feed without a change was made at the end of the feed's wait.
   */
  function answerAgeMs({read, from, sentAt}: RoutingAnswer): number {
    const elapsedMs = clock.nowMs() - sentAt.steadyMs;
    if (read.kind !== 'read') return elapsedMs;
    const {routing: changed, isUnreadable, storeNow} = read.value;
    const isWaitOver = from && !changed && !isUnreadable;
    const waitedMs = isWaitOver && elapsedMs >= FEED_WAIT_MS ? FEED_WAIT_MS : 0;
    const storeAgeMs = storeTime.ageMs(storeNow) ?? Number.POSITIVE_INFINITY;
    return Math.min(elapsedMs - waitedMs, storeAgeMs);
  }

  function applyUpdate(update: RoutingUpdate): void {
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

  function onRead(answer: RoutingAnswer): number {
    const {read, from, sentAt} = answer;
    calls.noteOutcome('configuration', true);
    if (read.kind === 'history-lost') {
      log.debug(
        'The history of the configuration is lost; reading it in full.',
      );
      cursor = undefined;
      return 0;
    }
    const update = read.value;
    storeTime.note(sentAt, update.storeNow);
    confirmation.noteRead(
      clock.nowMs() - answerAgeMs(answer),
      from ? 'feed' : 'read',
    );
    isConfirmationRequested = false;
    cursor = update.cursor;
    applyUpdate(update);
    // A feed misses what was written before its cursor's revision number.
    if (from && from.era !== update.cursor.era) cursor = undefined;
    // Avoids a busy loop if the store returns to an earlier era.
    const isOfEarlierEra = update.cursor.era < storeEra.current();
    // Until a first version exists, the feed waits for it.
    return isOfEarlierEra ? MIN_READ_INTERVAL_MS : 0;
  }

  const loop = createReadLoop<RoutingAnswer>({
    clock,
    random,
    isCandidate: host.isCandidate,
    delayMs,
    onRest() {
      // After a pause, a full read replaces the feed.
      cursor = undefined;
    },
    startRead(failures) {
      readAtMs = clock.nowMs();
      return startHedgedCall(clock, attempts.choose(failures, chooseFeed()));
    },
    onRead,
    onFailed() {
      calls.noteOutcome('configuration', false);
      isConfirmationRequested = false;
    },
  });

  function notePeerVersion(version: number): void {
    if (!isBehind()) behindSinceMs = clock.nowMs();
    const isNews = version > peerVersion;
    peerVersion = Math.max(peerVersion, version);
    if (isNews) loop.readForNews();
    else loop.check();
  }

  /**
   * A datagram may lie in a socket, here or at a suspended peer. Its ages don't
   * show that, but the store's time in it does.
   */
  function minimumAgeMs({routingCompleteUntil}: StoreSyncState): number {
    if (!routingCompleteUntil || !storeEra.isSettled()) return 0;
    return storeTime.ageMs(routingCompleteUntil) ?? 0;
  }

  function notePeerAges(peer: StoreSyncState): void {
    const minimumMs = minimumAgeMs(peer);
    const {readAgeMs, ageMs} = peer.routingAges;
    confirmation.notePeer({
      readAgeMs: Math.max(readAgeMs, minimumMs),
      ageMs: Math.max(ageMs, minimumMs),
    });
  }

  return {
    start: loop.start,
    stop: loop.stop,
    receivePeerState(peer) {
      const {routingCompleteUntil, routingVersion} = peer;
      if (routingCompleteUntil && routingVersion <= routing.version()) {
        freshness.noteCompleteUntil(routingCompleteUntil);
      }
      if (routingVersion === routing.version()) notePeerAges(peer);
      else if (routingVersion > routing.version()) {
        notePeerVersion(routingVersion);
      }
    },
    onNewEra() {
      storeTimeDueAtMs =
        clock.nowMs() + TIME_READ_SPREAD_MS * random.nextFloat();
      loop.check();
    },
    announcedAges: confirmation.announcedAges,
    status: () => ({
      version: routing.version(),
      ageMs: confirmation.ageMs(),
      confirmedBy: confirmation.confirmedBy(),
      announcedVersion: peerVersion,
      behindMs: isBehind() ? Math.round(clock.nowMs() - behindSinceMs) : 0,
    }),
    confirm(mayWait) {
      if (isConfirmed()) return Promise.resolve(true);
      // A caller is better off with another host than waiting for a store that
      // doesn't answer.
      if (!calls.isReachable()) return Promise.resolve(false);
      if (!isConfirmationRequested) {
        isConfirmationRequested = true;
        loop.readForNews();
      }
      return mayWait
        ? waitForConfirmation(clock.nowMs() + CONFIRM_TIMEOUT_MS)
        : Promise.resolve(false);
    },
  };
}
