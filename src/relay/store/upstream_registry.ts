/**
 * The upstreams of all services, from the platform's list of them.
 *
 * An entry that is missing means that its upstream has left, unless the list
 * could not be kept up: while the platform's store was away, heartbeats could
 * not arrive and entries lapsed though their upstreams live. Such entries are
 * kept until their upstreams have had time to register again.
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
  MOST_REMEMBERED,
  type Upstream,
  type UpstreamSnapshot,
} from '../../core/upstream.js';

/** Where a list was read. */
export type UpstreamOrigin = 'store' | 'peer';

/** Who found something out about an upstream. */
export type UpstreamFinder = 'self' | 'peer';

export interface UpstreamRegistryHost {
  readonly clock: Clock;
  readonly log: Logger;
}

export interface UpstreamRegistry {
  /**
   * Takes a list over; false for one that is older than the last. A peer's
   * list already has what the peer still waits for after an outage.
   */
  apply(snapshot: UpstreamSnapshot, origin?: UpstreamOrigin): boolean;
  /** Takes over a change that a peer read, if it leads to the peer's list. */
  applyDelta(delta: ListDelta): void;
  /** Changes of the last moments, for the peers. */
  deltas(): readonly ListDelta[];
  /** This host could not read the list. */
  noteReadFailed(): void;
  /** The store answered a read of the list, of this host or of a peer. */
  noteServed(atMs: number): void;
  /** New work must not go there: another instance has its address. */
  markGone(id: string): void;
  /**
   * The upstream said that it leaves, whatever the list says of it. That holds
   * for its life: the list may lose it and have it as ready again.
   */
  markLeaving(id: string, finder?: UpstreamFinder): void;
  /** Those that said so lately: to this host, or to any that it hears. */
  leaving(finder: UpstreamFinder | 'any'): readonly string[];
  /**
   * No connection could be made, from here or from a peer; it is left out
   * until it gives a sign of life.
   */
  markUnreachable(id: string, finder?: UpstreamFinder): void;
  /** Those that this host found by itself, for the peers. */
  unreachable(): readonly string[];
  /** Whether any is left out since it could not be reached. */
  hasUnreachable(): boolean;
  /** Lists that were not taken, as older than the one gone by. */
  leftOutCount(): number;
  /** Missing entries that are kept, as their upstreams may return. */
  keptCount(): number;
  revision(): StoreRevision;
  /** The same for lists that differ in nothing but signs of life. */
  digest(): number;
  /** The store had the same list at a later revision. */
  confirm(revision: StoreRevision): void;
  isKnown(): boolean;
  /** Upstreams of a service that take new work. */
  open(service: string): readonly Upstream[];
  /** Any upstream of the list that has not left, draining ones too. */
  get(id: string): Upstream | undefined;
  /**
   * The same, unless it drains or has left. For what another host chose: its
   * list may be older than this one's, and the upstream get new work long
   * after this host learned that it leaves.
   */
  getOpen(id: string): Upstream | undefined;
  /** The list as this host goes by it, for peers. */
  snapshot(): UpstreamSnapshot | undefined;
  onChange(listener: () => void): void;
}

/**
 * An upstream that lives shows it within a heartbeat of about a second and the
 * list's own age; a dead one leaves the list after three of them.
 */
const UNREACHABLE_FOR_MS = 4_000;
/** Peers are told for this long that an upstream leaves, of the latest ones. */
const TELL_LEAVING_MS = 10_000;
const MOST_TOLD = 64;
/** A timer may fire this much early by the clock that is read. */
const TIMER_EARLY_MS = 5;
/** Failed reads closer together than this are told once. */
const SAME_FAILURE_MS = 1_500;
/** Lists that are left out closer together than this are told once. */
const SAME_LEFT_OUT_MS = 1_000;

const digestOf = (upstreams: readonly Upstream[]) =>
  digestList(new Map(upstreams.map(each => [each.id, each])));

interface LeavingRecord {
  readonly finder: UpstreamFinder;
  readonly saidAtMs: number;
}

interface SilentRecord {
  readonly heartbeat: StoreRevision;
  readonly untilMs: number;
  readonly finder: UpstreamFinder;
}

export function createUpstreamRegistry(
  host: UpstreamRegistryHost,
): UpstreamRegistry {
  const {clock, log} = host;
  const entries = new Map<string, Upstream>();
  /** Missing entries that may come back. */
  const lapsed = new Set<string>();
  const gone = new Set<string>();
  /** Upstreams that said that they leave; kept beyond their entries. */
  const saidLeaving = createBoundedMap<LeavingRecord>(MOST_REMEMBERED);
  /** Upstreams that could not be reached, as they were listed then. */
  const silent = new Map<string, SilentRecord>();
  const listeners: Array<() => void> = [];
  let last: UpstreamSnapshot | undefined;
  let byService = new Map<string, Upstream[]>();
  const outage = createListOutage();
  let digest = 0;
  let leftOutCount = 0;
  let leftOutLoggedAtMs = Number.NEGATIVE_INFINITY;
  const deltas = createDeltaLog(clock);
  const departures = createDepartures(clock);

  function rebuild(): void {
    byService = new Map();
    for (const upstream of entries.values()) {
      if (isLeaving(upstream)) continue;
      if (isSilent(upstream)) continue;
      const known = byService.get(upstream.service);
      if (known) known.push(upstream);
      else byService.set(upstream.service, [upstream]);
    }
    addSilentServices();
    for (const listener of listeners) listener();
  }

  const isLeaving = ({id, isDraining}: Upstream) =>
    isDraining ||
    gone.has(id) ||
    saidLeaving.has(id) ||
    departures.isHeldBack(id);

  function isSilent({id, heartbeat}: Upstream): boolean {
    const record = silent.get(id);
    if (!record) return false;
    // An entry of another era has another number without a sign of life.
    const isOtherEra = record.heartbeat.era !== heartbeat.era;
    if (isOtherEra) silent.set(id, {...record, heartbeat});
    const isSame = isOtherEra || record.heartbeat.counter === heartbeat.counter;
    if (isSame && clock.nowMs() < record.untilMs) return true;
    silent.delete(id);
    return false;
  }

  /**
   * When all upstreams of a service seem unreachable, the fault is more likely
   * on this side; then all are tried.
   */
  function addSilentServices(): void {
    const unserved = new Map<string, Upstream[]>();
    for (const upstream of entries.values()) {
      if (byService.has(upstream.service)) continue;
      if (isLeaving(upstream)) continue;
      const known = unserved.get(upstream.service) ?? [];
      unserved.set(upstream.service, [...known, upstream]);
    }
    for (const [service, upstreams] of unserved) {
      byService.set(service, upstreams);
    }
  }

  function drop(id: string, reason: string, origin: UpstreamOrigin): void {
    entries.delete(id);
    lapsed.delete(id);
    gone.delete(id);
    silent.delete(id);
    departures.noteLeft(id, registry.revision().era);
    const revision = formatRevision(registry.revision());
    log.info('Upstream left.', {upstream: id, reason, origin, revision});
  }

  /**
   * An upstream that started again under its name has lost all that its
   * earlier life knew and held: nothing of that life may be used any more,
   * though entries that are missing are kept after an outage.
   */
  function takeMissing(
    upstreams: readonly Upstream[],
    nowMs: number,
    origin: UpstreamOrigin,
  ): void {
    const listed = new Set(upstreams.map(({id}) => id));
    const names = new Set(
      upstreams
        .filter(({id}) => !departures.isHeldBack(id))
        .map(({name}) => name),
    );
    for (const {id, name} of [...entries.values()]) {
      if (listed.has(id)) continue;
      if (names.has(name)) {
        drop(id, 'started again', origin);
      } else if (origin === 'peer' || !outage.isKeeping(nowMs)) {
        drop(id, 'no longer listed', origin);
      } else if (!lapsed.has(id)) {
        lapsed.add(id);
        log.info('Upstream missing after an outage.', {
          upstream: id,
          keptMs: Math.round(outage.keepUntilMs() - nowMs),
          lastFailedReadAgoMs: Math.round(nowMs - outage.lastFailureAtMs()),
          revision: formatRevision(registry.revision()),
        });
      }
    }
  }

  function noteEra({era}: StoreRevision, nowMs: number): void {
    if (last && era > last.revision.era) outage.cameBack(nowMs);
  }

  function noteLeftOut(revision: StoreRevision, origin: UpstreamOrigin): void {
    leftOutCount++;
    const nowMs = clock.nowMs();
    if (nowMs - leftOutLoggedAtMs < SAME_LEFT_OUT_MS) return;
    leftOutLoggedAtMs = nowMs;
    log.warn('List of upstreams left out.', {
      revision: formatRevision(revision),
      known: formatRevision(registry.revision()),
      origin,
      leftOut: leftOutCount,
    });
  }

  /** False if it was known. */
  function noteLeaving(id: string, finder: UpstreamFinder): boolean {
    if (saidLeaving.has(id)) return false;
    saidLeaving.set(id, {finder, saidAtMs: clock.nowMs()});
    log.info('Upstream says that it leaves.', {upstream: id, finder});
    return true;
  }

  /** Those of which a later life under the same name is known. */
  function findEarlierLives(
    upstreams: readonly Upstream[],
  ): ReadonlySet<string> {
    const starts = new Map<string, number>();
    for (const {name, startedAtMs = 0} of entries.values()) {
      starts.set(name, Math.max(startedAtMs, starts.get(name) ?? 0));
    }
    const isEarlier = ({name, startedAtMs = 0}: Upstream) =>
      startedAtMs < (starts.get(name) ?? 0);
    return new Set(upstreams.filter(isEarlier).map(({id}) => id));
  }

  function holdBack(id: string, revision: StoreRevision): void {
    departures.holdBack(id);
    log.info('Upstream held back: listed by an older copy of the store.', {
      upstream: id,
      revision: formatRevision(revision),
    });
    clock.setTimer(HOLD_BACK_MS + TIMER_EARLY_MS, rebuild);
  }

  function takeListed(
    upstream: Upstream,
    revision: StoreRevision,
    isEarlierLife: boolean,
  ): void {
    const {id} = upstream;
    const known = entries.get(id);
    if (upstream.isDraining) departures.noteDraining(id);
    // The store has lost its word; hosts that start now never had it.
    else if (departures.hasDrained(id)) noteLeaving(id, 'self');
    const isOfOlderCopy = departures.isOfOlderCopy(id, revision.era);
    if (!known && (isOfOlderCopy || isEarlierLife)) {
      holdBack(id, revision);
    }
    lapsed.delete(id);
    entries.set(id, upstream);
    if (!known) {
      log.info('Upstream listed.', {
        upstream: upstream.id,
        service: upstream.service,
        address: upstream.address,
        role: upstream.role,
      });
    } else if (upstream.isDraining && !known.isDraining) {
      log.info('Upstream draining.', {upstream: upstream.id});
    }
  }

  const registry: UpstreamRegistry = {
    apply(snapshot, origin = 'store') {
      if (last && isNewerRevision(last.revision, snapshot.revision)) {
        noteLeftOut(snapshot.revision, origin);
        return false;
      }
      const nowMs = clock.nowMs();
      if (origin === 'store') outage.served(nowMs);
      noteEra(snapshot.revision, nowMs);
      last = snapshot;
      const before = {entries: new Map(entries), digest};
      const earlierLives = findEarlierLives(snapshot.upstreams);
      for (const upstream of snapshot.upstreams) {
        const isEarlierLife = earlierLives.has(upstream.id);
        takeListed(upstream, snapshot.revision, isEarlierLife);
      }
      takeMissing(snapshot.upstreams, nowMs, origin);
      digest = digestList(entries);
      deltas.note(before, {entries, digest}, snapshot.revision);
      rebuild();
      return true;
    },
    applyDelta(delta) {
      const {fromDigest, toDigest, revision} = delta;
      const isOld = compareRevisions(revision, registry.revision()) < 0;
      if (toDigest === digest || isOld) return;
      const upstreams = applyDelta(entries, delta);
      // Readers see a series of changes in different steps. A step from
      // another list than this one is right if it leads to the reader's.
      const isStep = fromDigest === digest || digestOf(upstreams) === toDigest;
      if (isStep) registry.apply({revision, upstreams}, 'peer');
    },
    deltas: deltas.recent,
    noteReadFailed() {
      const nowMs = clock.nowMs();
      if (nowMs - outage.lastFailureAtMs() > SAME_FAILURE_MS) {
        log.warn('The list of upstreams cannot be read.', {
          revision: formatRevision(registry.revision()),
        });
      }
      outage.readFailed(nowMs);
    },
    noteServed: outage.served,
    markGone(id) {
      if (!entries.has(id) || gone.has(id)) return;
      gone.add(id);
      log.info('Upstream taken out.', {upstream: id});
      rebuild();
    },
    markLeaving(id, finder = 'self') {
      if (noteLeaving(id, finder)) rebuild();
    },
    leaving: wanted =>
      [...saidLeaving.entries()]
        .filter(([, {finder}]) => wanted === 'any' || finder === wanted)
        .filter(([, {saidAtMs}]) => clock.nowMs() - saidAtMs < TELL_LEAVING_MS)
        .map(([id]) => id)
        .slice(-MOST_TOLD),
    markUnreachable(id, finder = 'self') {
      const upstream = entries.get(id);
      if (!upstream || silent.has(id)) return;
      silent.set(id, {
        heartbeat: upstream.heartbeat,
        untilMs: clock.nowMs() + UNREACHABLE_FOR_MS,
        finder,
      });
      log.info('Upstream unreachable.', {upstream: id, finder});
      rebuild();
      // A host that goes by what others read sees no sign of life itself.
      clock.setTimer(UNREACHABLE_FOR_MS + TIMER_EARLY_MS, rebuild);
    },
    unreachable: () => [
      ...[...silent]
        .filter(([, each]) => each.finder === 'self')
        .map(([id]) => id),
      // Hosts that do not know them as lost leave them out by this.
      ...departures.heldBack(),
    ],
    hasUnreachable: () => silent.size > 0,
    leftOutCount: () => leftOutCount,
    keptCount: () => lapsed.size,
    revision: () => last?.revision ?? NO_REVISION,
    digest: () => digest,
    confirm(revision) {
      if (last && isNewerRevision(revision, last.revision)) {
        noteEra(revision, clock.nowMs());
        last = {...last, revision};
      }
    },
    isKnown: () => last !== undefined,
    open: service => byService.get(service) ?? [],
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
