/**
 * The upstreams of all services, from the list in the platform's store.
 *
 * An upstream whose entry is missing has left, except after an outage of the
 * store: heartbeats could not arrive, and entries lapsed although their
 * upstreams are alive. Such entries are kept until the upstreams have had time
 * to register again.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {
  compareRevisions,
  formatRevision,
  isNewerRevision,
  NO_REVISION,
  type StoreRevision,
} from '../../core/store_revision.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import {
  applyDelta,
  createDeltaLog,
  digestList,
  type ListDelta,
} from './list_deltas.js';
import {createDepartures, HOLD_BACK_MS} from './departures.js';
import {createListOutage} from './list_outage.js';
import {
  MAX_REMEMBERED_UPSTREAMS,
  type Upstream,
  type UpstreamSnapshot,
} from '../../core/upstream.js';

/** The source of a list. */
export type UpstreamOrigin = 'store' | 'peer';

/** The host that found something out about an upstream. */
export type UpstreamFinder = 'self' | 'peer';

export interface UpstreamRegistryHost {
  readonly clock: Clock;
  readonly log: Logger;
}

export interface UpstreamRegistry {
  /**
   * Applies a list; returns false if it is older than the last one. Entries
   * missing from a peer's list are removed at once, since the peer's list
   * already includes those it keeps after an outage.
   */
  apply(snapshot: UpstreamSnapshot, origin?: UpstreamOrigin): boolean;
  /** Applies a peer's delta if it results in the peer's list. */
  applyDelta(delta: ListDelta): void;
  /** Recent changes, to be sent to peers. */
  deltas(): readonly ListDelta[];
  /** This host failed to read the list. */
  noteReadFailed(): void;
  /** The store answered a read of the list, by this host or by a peer. */
  noteServed(atMs: number): void;
  /** Stops new work for the upstream: another instance has its address. */
  markReplaced(id: string): void;
  /**
   * The upstream announced that it is leaving. This holds until its instance
   * ends, whatever the list says: an entry may lapse and return as ready.
   */
  markLeaving(id: string, finder?: UpstreamFinder): void;
  /** Upstreams that announced this recently, to this host or to any host. */
  leaving(finder: UpstreamFinder | 'any'): readonly string[];
  /**
   * A connection to the upstream failed, here or at a peer. The upstream is
   * excluded until its next heartbeat, or for a limited time.
   */
  markUnreachable(id: string, finder?: UpstreamFinder): void;
  /** Upstreams that this host found unreachable itself, to be sent to peers. */
  unreachable(): readonly string[];
  /** Whether any upstream is currently excluded as unreachable. */
  hasUnreachable(): boolean;
  /** Number of lists rejected because they are older than the current one. */
  rejectedListCount(): number;
  /** Number of missing entries that are kept because they may return. */
  keptCount(): number;
  revision(): StoreRevision;
  /** Equal for lists that differ only in heartbeats. */
  digest(): number;
  /** The store had the same list at a later revision. */
  confirm(revision: StoreRevision): void;
  isKnown(): boolean;
  /** Upstreams of a service that accept new work. */
  open(service: string): readonly Upstream[];
  /** Same, but includes upstreams that are unreachable for now. */
  notLeaving(service: string): readonly Upstream[];
  /** Any upstream that is listed or kept, including draining ones. */
  get(id: string): Upstream | undefined;
  /**
   * Like `get`, but excludes upstreams that drain or have left. Used for an
   * upstream chosen by another host, whose list may be older: otherwise it
   * would get new work long after this host learned that it is leaving.
   */
  getOpen(id: string): Upstream | undefined;
  /** The current list with its kept entries, to be served to peers. */
  snapshot(): UpstreamSnapshot | undefined;
  onChange(listener: () => void): void;
}

/**
 * A live upstream shows a heartbeat within about a second plus the age of the
 * list; a dead one is dropped from the list after three missed ones.
 */
const UNREACHABLE_FOR_MS = 4_000;
/** The latest leaving upstreams are reported to peers for this long. */
const LEAVING_REPORTED_FOR_MS = 10_000;
const MAX_REPORTED_LEAVING = 64;
/** A timer may fire this much early relative to the clock. */
const TIMER_TOLERANCE_MS = 5;
/** Failed reads within this time are logged once. */
const FAILURE_LOG_INTERVAL_MS = 1_500;
/** Rejected lists within this time are logged once. */
const REJECTED_LOG_INTERVAL_MS = 1_000;

const digestOf = (upstreams: readonly Upstream[]) =>
  digestList(new Map(upstreams.map(each => [each.id, each])));

interface LeavingRecord {
  readonly finder: UpstreamFinder;
  readonly announcedAtMs: number;
}

interface UnreachableRecord {
  readonly heartbeat: StoreRevision;
  readonly untilMs: number;
  readonly finder: UpstreamFinder;
}

export function createUpstreamRegistry(
  host: UpstreamRegistryHost,
): UpstreamRegistry {
  const {clock, log} = host;
  const entries = new Map<string, Upstream>();
  /** Missing entries that are kept. */
  const keptIds = new Set<string>();
  const replacedIds = new Set<string>();
  /**
   * Upstreams that announced that they leave; kept after their entries are
   * removed.
   */
  const leavingRecords = createBoundedMap<LeavingRecord>(
    MAX_REMEMBERED_UPSTREAMS,
  );
  /**
   * Unreachable upstreams, with their heartbeats as of when they were found.
   */
  const unreachableRecords = new Map<string, UnreachableRecord>();
  const listeners: Array<() => void> = [];
  let last: UpstreamSnapshot | undefined;
  let byService = new Map<string, Upstream[]>();
  const outage = createListOutage();
  let digest = 0;
  let rejectedCount = 0;
  let rejectedLoggedAtMs = Number.NEGATIVE_INFINITY;
  const deltas = createDeltaLog(clock);
  const departures = createDepartures(clock);

  function rebuild(): void {
    byService = new Map();
    for (const upstream of entries.values()) {
      if (isLeaving(upstream)) continue;
      if (isUnreachable(upstream)) continue;
      const known = byService.get(upstream.service);
      if (known) known.push(upstream);
      else byService.set(upstream.service, [upstream]);
    }
    addUnreachableRoles();
    for (const listener of listeners) listener();
  }

  const isLeaving = ({id, isDraining}: Upstream) =>
    isDraining ||
    replacedIds.has(id) ||
    leavingRecords.has(id) ||
    departures.isHeldBack(id);

  function isUnreachable({id, heartbeat}: Upstream): boolean {
    const record = unreachableRecords.get(id);
    if (!record) return false;
    // The number differs in another era even without a new heartbeat.
    const isOtherEra = record.heartbeat.era !== heartbeat.era;
    if (isOtherEra) unreachableRecords.set(id, {...record, heartbeat});
    const isSame = isOtherEra || record.heartbeat.counter === heartbeat.counter;
    if (isSame && clock.nowMs() < record.untilMs) return true;
    unreachableRecords.delete(id);
    return false;
  }

  /**
   * If all upstreams of a service and role seem unreachable, the fault is more
   * likely on this host's side, or they pause; then all of them are tried.
   * Decode engines can do without prefill engines.
   */
  function addUnreachableRoles(): void {
    const groupOf = ({service, role}: Upstream) =>
      role === 'prefill' ? service : `${service}|${role ?? ''}`;
    const served = new Set([...byService.keys()]);
    for (const upstream of [...byService.values()].flat()) {
      served.add(groupOf(upstream));
    }
    for (const upstream of entries.values()) {
      if (isLeaving(upstream) || served.has(groupOf(upstream))) continue;
      const {service} = upstream;
      byService.set(service, [...(byService.get(service) ?? []), upstream]);
    }
  }

  function removeEntry(
    id: string,
    reason: string,
    origin: UpstreamOrigin,
  ): void {
    entries.delete(id);
    keptIds.delete(id);
    replacedIds.delete(id);
    unreachableRecords.delete(id);
    departures.noteLeft(id, registry.revision().era);
    const revision = formatRevision(registry.revision());
    log.info('Upstream left.', {upstream: id, reason, origin, revision});
  }

  /**
   * Removes or keeps the entries missing from a list. An upstream that
   * restarted under the same name has lost the state of its earlier instance,
   * so the earlier entry is removed even while missing entries are kept after
   * an outage.
   */
  function applyMissing(
    upstreams: readonly Upstream[],
    nowMs: number,
    origin: UpstreamOrigin,
  ): void {
    const listedIds = new Set(upstreams.map(({id}) => id));
    const listedNames = new Set(
      upstreams
        .filter(({id}) => !departures.isHeldBack(id))
        .map(({name}) => name),
    );
    for (const {id, name} of [...entries.values()]) {
      if (listedIds.has(id)) continue;
      if (listedNames.has(name)) {
        removeEntry(id, 'started again', origin);
      } else if (origin === 'peer' || !outage.isKeepingMissing(nowMs)) {
        removeEntry(id, 'no longer listed', origin);
      } else if (!keptIds.has(id)) {
        keptIds.add(id);
        log.info('Upstream missing after an outage.', {
          upstream: id,
          keptMs: Math.round(outage.keepUntilMs() - nowMs),
          lastFailedReadAgoMs: Math.round(nowMs - outage.lastFailureAtMs()),
          revision: formatRevision(registry.revision()),
        });
      }
    }
  }

  function checkForNewEra({era}: StoreRevision, nowMs: number): void {
    if (last && era > last.revision.era) outage.noteRestored(nowMs);
  }

  function noteRejected(revision: StoreRevision, origin: UpstreamOrigin): void {
    rejectedCount++;
    const nowMs = clock.nowMs();
    if (nowMs - rejectedLoggedAtMs < REJECTED_LOG_INTERVAL_MS) return;
    rejectedLoggedAtMs = nowMs;
    log.warn('List of upstreams left out.', {
      revision: formatRevision(revision),
      known: formatRevision(registry.revision()),
      origin,
      leftOut: rejectedCount,
    });
  }

  /** Returns false if it was already known. */
  function noteLeaving(id: string, finder: UpstreamFinder): boolean {
    if (leavingRecords.has(id)) return false;
    leavingRecords.set(id, {finder, announcedAtMs: clock.nowMs()});
    log.info('Upstream says that it leaves.', {upstream: id, finder});
    return true;
  }

  /** Ids of instances for which a later instance of the same name is known. */
  function findEarlierInstances(
    upstreams: readonly Upstream[],
  ): ReadonlySet<string> {
    const latestStarts = new Map<string, number>();
    for (const {name, startedAtMs = 0} of entries.values()) {
      latestStarts.set(
        name,
        Math.max(startedAtMs, latestStarts.get(name) ?? 0),
      );
    }
    const isEarlier = ({name, startedAtMs = 0}: Upstream) =>
      startedAtMs < (latestStarts.get(name) ?? 0);
    return new Set(upstreams.filter(isEarlier).map(({id}) => id));
  }

  function holdBack(id: string, revision: StoreRevision): void {
    departures.holdBack(id);
    log.info('Upstream held back: listed by an older copy of the store.', {
      upstream: id,
      revision: formatRevision(revision),
    });
    clock.setTimer(HOLD_BACK_MS + TIMER_TOLERANCE_MS, rebuild);
  }

  function applyListed(
    upstream: Upstream,
    revision: StoreRevision,
    isEarlierInstance: boolean,
  ): void {
    const {id} = upstream;
    const known = entries.get(id);
    if (upstream.isDraining) departures.noteDraining(id);
    // The restored store has lost the drain state; new hosts never received it.
    else if (departures.hasDrained(id)) noteLeaving(id, 'self');
    const isFromOlderCopy = departures.isFromOlderCopy(id, revision.era);
    if (!known && (isFromOlderCopy || isEarlierInstance)) {
      holdBack(id, revision);
    }
    keptIds.delete(id);
    entries.set(id, upstream);
    if (!known) {
      log.info('Upstream listed.', {
        upstream: upstream.id,
        service: upstream.service,
        address: upstream.address,
        role: upstream.role,
        version: upstream.version,
      });
    } else if (upstream.isDraining && !known.isDraining) {
      log.info('Upstream draining.', {upstream: upstream.id});
    }
  }

  const registry: UpstreamRegistry = {
    apply(snapshot, origin = 'store') {
      if (last && isNewerRevision(last.revision, snapshot.revision)) {
        noteRejected(snapshot.revision, origin);
        return false;
      }
      const nowMs = clock.nowMs();
      if (origin === 'store') outage.noteServed(nowMs);
      checkForNewEra(snapshot.revision, nowMs);
      last = snapshot;
      const before = {entries: new Map(entries), digest};
      const earlierInstances = findEarlierInstances(snapshot.upstreams);
      for (const upstream of snapshot.upstreams) {
        const isEarlierInstance = earlierInstances.has(upstream.id);
        applyListed(upstream, snapshot.revision, isEarlierInstance);
      }
      applyMissing(snapshot.upstreams, nowMs, origin);
      digest = digestList(entries);
      deltas.record(before, {entries, digest}, snapshot.revision);
      rebuild();
      return true;
    },
    applyDelta(delta) {
      const {fromDigest, toDigest, revision} = delta;
      const isOld = compareRevisions(revision, registry.revision()) < 0;
      if (toDigest === digest || isOld) return;
      const upstreams = applyDelta(entries, delta);
      // Readers may see a series of changes in different steps, so a delta from
      // another list is applied if it results in the reader's list.
      const isStep = fromDigest === digest || digestOf(upstreams) === toDigest;
      if (isStep) registry.apply({revision, upstreams}, 'peer');
    },
    deltas: deltas.recent,
    noteReadFailed() {
      const nowMs = clock.nowMs();
      if (nowMs - outage.lastFailureAtMs() > FAILURE_LOG_INTERVAL_MS) {
        log.warn('The list of upstreams cannot be read.', {
          revision: formatRevision(registry.revision()),
        });
      }
      outage.noteReadFailed(nowMs);
    },
    noteServed: outage.noteServed,
    markReplaced(id) {
      if (!entries.has(id) || replacedIds.has(id)) return;
      replacedIds.add(id);
      log.info('Upstream excluded: another instance has its address.', {
        upstream: id,
      });
      rebuild();
    },
    markLeaving(id, finder = 'self') {
      if (noteLeaving(id, finder)) rebuild();
    },
    leaving: wanted =>
      [...leavingRecords.entries()]
        .filter(([, {finder}]) => wanted === 'any' || finder === wanted)
        .filter(
          ([, {announcedAtMs}]) =>
            clock.nowMs() - announcedAtMs < LEAVING_REPORTED_FOR_MS,
        )
        .map(([id]) => id)
        .slice(-MAX_REPORTED_LEAVING),
    markUnreachable(id, finder = 'self') {
      const upstream = entries.get(id);
      if (!upstream || unreachableRecords.has(id)) return;
      unreachableRecords.set(id, {
        heartbeat: upstream.heartbeat,
        untilMs: clock.nowMs() + UNREACHABLE_FOR_MS,
        finder,
      });
      log.info('Upstream unreachable.', {upstream: id, finder});
      rebuild();
      // A host that does not read the list itself sees no heartbeats.
      clock.setTimer(UNREACHABLE_FOR_MS + TIMER_TOLERANCE_MS, rebuild);
    },
    unreachable: () => [
      ...[...unreachableRecords]
        .filter(([, each]) => each.finder === 'self')
        .map(([id]) => id),
      // Tells hosts that never saw these upstreams leave to exclude them as
      // well.
      ...departures.heldBack(),
    ],
    hasUnreachable: () => unreachableRecords.size > 0,
    rejectedListCount: () => rejectedCount,
    keptCount: () => keptIds.size,
    revision: () => last?.revision ?? NO_REVISION,
    digest: () => digest,
    confirm(revision) {
      if (last && isNewerRevision(revision, last.revision)) {
        checkForNewEra(revision, clock.nowMs());
        last = {...last, revision};
      }
    },
    isKnown: () => last !== undefined,
    open: service => byService.get(service) ?? [],
    notLeaving: service =>
      [...entries.values()].filter(
        each => each.service === service && !isLeaving(each),
      ),
    get: id => entries.get(id),
    getOpen(id) {
      const upstream = entries.get(id);
      return upstream && !isLeaving(upstream) ? upstream : undefined;
    },
    snapshot: () =>
      last && {revision: last.revision, upstreams: [...entries.values()]},
    onChange(listener) {
      listeners.push(listener);
    },
  };
  return registry;
}
