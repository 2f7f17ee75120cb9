/**
 * Reads the list of upstreams from the platform's store. Readers read it at an
 * interval; any other host when it lacks a change that peers announced, or when
 * the confirmation of its list becomes too old.
 *
 * An upstream that leaves gets no new work 2 s after the store has acknowledged
 * it; see docs/design/configuration_reach.md for the waits on each path.
 */

import {
  compareRevisions,
  isNewerRevision,
  NO_REVISION,
  type StoreRevision,
} from '../../core/store_revision.js';
import type {UpstreamSnapshot} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {UpstreamSource} from '../../ports/relay.js';
import type {StoreSyncState} from '../fleet/store_readers.js';
import {startHedgedCall} from './hedged_call.js';
import {createReadAttempts} from './read_attempts.js';
import {createReadLoop, LOST_STORE_CHECK_MS} from './read_loop.js';
import type {StoreCalls} from './store_calls.js';
import {
  createStoreConfirmation,
  type ConfirmedAges,
} from './store_confirmation.js';
import type {StoreEra} from './store_era.js';
import type {UpstreamRegistry} from './upstream_registry.js';

export interface ListWatchHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly calls: StoreCalls;
  readonly upstreamSource: UpstreamSource;
  readonly registry: UpstreamRegistry;
  readonly storeEra: StoreEra;
  /** Whether this host reads on behalf of all. */
  isReader(): boolean;
  /** Whether this host may become a reader if others cannot read. */
  isCandidate(): boolean;
  /** Whether this host chooses engines, for itself or for others. */
  isPlacing(): boolean;
}

export interface ListWatch {
  start(): void;
  stop(): void;
  /** Processes a peer's announced state. */
  receivePeerState(peer: StoreSyncState): void;
  onNewEra(era: number): void;
  announcedAges(): ConfirmedAges;
  /** Time since the store confirmed the list, as known to this host. */
  ageMs(): number;
  /** A list of the given age was applied from a peer. */
  noteFetched(ageMs: number): void;
}

/** At this interval, two failed reads in a row still meet the time limit. */
export const LIST_READ_INTERVAL_MS = 700;
export const MAX_UNCONFIRMED_LIST_MS = 1_000;
/** Minimum time between reads caused by successive changes. */
const MIN_READ_INTERVAL_MS = 100;
/**
 * An outdated list is read only after this time, to let a delta arrive from a
 * peer first. Datagrams may be lost, but each of the three readers sends the
 * delta twice.
 */
const DELTA_WAIT_MS = 400;

interface ListAnswer {
  readonly snapshot: UpstreamSnapshot;
  readonly sentAtMs: number;
}

export function createListWatch(host: ListWatchHost): ListWatch {
  const {clock, log, calls, registry} = host;
  const confirmation = createStoreConfirmation(clock);
  /** The newest revision that peers announced. */
  let peerRevision = NO_REVISION;
  let behindSinceMs = 0;
  let readAtMs = Number.NEGATIVE_INFINITY;
  let isReader = true;

  const isBehind = () => isNewerRevision(peerRevision, registry.revision());

  function updateReaderRole(isReaderNow: boolean): void {
    if (isReaderNow === isReader) return;
    isReader = isReaderNow;
    const ageMs = confirmation.ageMs();
    if (isReader) log.info('Reading the store for all.', {ageMs});
    else log.info('No longer reading the store for all.', {ageMs});
  }

  function delayMs(): number {
    const sinceReadMs = clock.nowMs() - readAtMs;
    updateReaderRole(host.isReader());
    const confirmationRestMs = MAX_UNCONFIRMED_LIST_MS - confirmation.ageMs();
    if (isBehind()) {
      const behindMs = clock.nowMs() - behindSinceMs;
      const deltaRestMs = DELTA_WAIT_MS - behindMs;
      const restMs = Math.min(deltaRestMs, confirmationRestMs);
      return Math.max(restMs, MIN_READ_INTERVAL_MS - sinceReadMs);
    }
    // Only the list shows the heartbeat of an unreachable upstream.
    const isNeeded =
      isReader || (host.isPlacing() && registry.hasUnreachable());
    if (isNeeded) return LIST_READ_INTERVAL_MS - sinceReadMs;
    if (calls.isReachable() || !host.isCandidate()) return confirmationRestMs;
    return Math.min(confirmationRestMs, LOST_STORE_CHECK_MS - sinceReadMs);
  }

  const attempts = createReadAttempts<ListAnswer>({
    clock,
    async read(connection, timeoutMs) {
      const sentAtMs = clock.nowMs();
      const read = await host.upstreamSource.readNow(timeoutMs, connection);
      calls.count('upstreams', read);
      if (read.kind === 'read') return {snapshot: read.value, sentAtMs};
      registry.noteReadFailed();
      return undefined;
    },
  });

  const loop = createReadLoop<ListAnswer>({
    ...host,
    delayMs,
    startRead(failures) {
      readAtMs = clock.nowMs();
      return startHedgedCall(clock, attempts.choose(failures));
    },
    onRead({snapshot, sentAtMs}) {
      calls.noteOutcome('upstreams', true);
      // The list is at most as old as its request.
      if (registry.apply(snapshot)) confirmation.noteRead(sentAtMs);
      return 0;
    },
    onFailed: () => calls.noteOutcome('upstreams', false),
  });

  /** Peers have a newer list, or the era changed, which implies one. */
  function noteNewerList(revision: StoreRevision): void {
    const wasBehind = isBehind();
    if (isNewerRevision(revision, peerRevision)) peerRevision = revision;
    if (wasBehind) return loop.check();
    behindSinceMs = clock.nowMs();
    loop.readForNews();
  }

  return {
    start: loop.start,
    stop: loop.stop,
    receivePeerState(peer) {
      registry.noteServed(clock.nowMs() - peer.upstreamAges.ageMs);
      const {upstreamRevision} = peer;
      host.storeEra.note(upstreamRevision.era);
      if (isNewerRevision(registry.revision(), upstreamRevision)) return;
      for (const delta of peer.listDeltas) registry.applyDelta(delta);
      if (peer.upstreamDigest !== registry.digest()) {
        noteNewerList(upstreamRevision);
        return;
      }
      // A peer that missed the same change has the same outdated list. If such
      // peers confirmed each other, all would keep upstreams that have left.
      if (compareRevisions(upstreamRevision, peerRevision) < 0) return;
      confirmation.notePeer(peer.upstreamAges);
      registry.confirm(upstreamRevision);
    },
    onNewEra: era => noteNewerList({...NO_REVISION, era}),
    announcedAges: confirmation.announcedAges,
    ageMs: confirmation.ageMs,
    noteFetched: confirmation.noteFetched,
  };
}
