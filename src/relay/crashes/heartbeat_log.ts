/**
 * When the list showed heartbeats, and whether those of an upstream that
 * answers nothing go on. One that has ended sends none. Does no I/O.
 */

import type {StoreRevision} from '../../core/store_revision.js';
import type {Upstream} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';

export type HeartbeatState =
  | 'beating'
  /** It sends none, while others do. */
  | 'stopped'
  /** The next reads of the list will show it. */
  | 'pending'
  /** The list shows no heartbeats at this host. */
  | 'unknown';

export interface HeartbeatLog {
  /**
   * The list was read or has changed. Returns how many upstreams have sent
   * another heartbeat.
   */
  update(upstreams: readonly Upstream[]): number;
  stateSince(upstream: Upstream, sinceMs: number): HeartbeatState;
}

interface Heartbeats {
  readonly heartbeat: StoreRevision;
  /** When the latest two were read. */
  readonly latestAtMs: number;
  readonly previousAtMs: number;
}

/** A list that is read this much later shows no heartbeat from before. */
export const LIST_DELAY_MS = 500;
/** Heartbeats of two intervals, and the time between two reads of the list. */
const FRESH_MS = 3_000;
/** One that is this many mean intervals late is missing. */
const MISSING_INTERVALS = 1.5;
/** This many others show that the list is up to date. */
const MIN_OTHERS = 2;
const NEVER_MS = Number.NEGATIVE_INFINITY;

export function createHeartbeatLog({
  clock,
}: {
  readonly clock: Clock;
}): HeartbeatLog {
  let records: ReadonlyMap<string, Heartbeats> = new Map();

  function toRecord({id, heartbeat}: Upstream): Heartbeats {
    const known = records.get(id);
    // Numbers of different eras can't be compared.
    if (!known || known.heartbeat.era !== heartbeat.era) {
      return {heartbeat, latestAtMs: NEVER_MS, previousAtMs: NEVER_MS};
    }
    if (known.heartbeat.counter === heartbeat.counter) return known;
    const previousAtMs = known.latestAtMs;
    return {heartbeat, latestAtMs: clock.nowMs(), previousAtMs};
  }

  /** Undefined until two heartbeats of an upstream were read. */
  function meanIntervalMs(): number | undefined {
    const intervals = [...records.values()]
      .filter(({previousAtMs}) => previousAtMs > NEVER_MS)
      .map(({latestAtMs, previousAtMs}) => latestAtMs - previousAtMs);
    if (intervals.length === 0) return undefined;
    return intervals.reduce((sum, each) => sum + each, 0) / intervals.length;
  }

  return {
    update(upstreams) {
      const before = records;
      records = new Map(upstreams.map(each => [each.id, toRecord(each)]));
      return [...records].filter(
        ([id, {latestAtMs}]) =>
          latestAtMs > NEVER_MS && latestAtMs !== before.get(id)?.latestAtMs,
      ).length;
    },
    stateSince({id}, sinceMs) {
      const nowMs = clock.nowMs();
      const {latestAtMs = NEVER_MS} = records.get(id) ?? {};
      const others = [...records]
        .filter(([otherId]) => otherId !== id)
        .map(([, each]) => each);
      const fromMs = Math.max(sinceMs, latestAtMs);
      const ahead = others.filter(({previousAtMs}) => previousAtMs > fromMs);
      const lateMs = MISSING_INTERVALS * (meanIntervalMs() ?? Infinity);
      const isMissing =
        ahead.length > 0 &&
        ahead.length >= Math.min(MIN_OTHERS, others.length) &&
        nowMs >= fromMs + lateMs;
      if (isMissing) return 'stopped';
      const freshFromMs = nowMs - FRESH_MS;
      const isBeating =
        latestAtMs >= sinceMs + LIST_DELAY_MS && latestAtMs >= freshFromMs;
      if (isBeating) return 'beating';
      const isRead = others.some(each => each.latestAtMs >= freshFromMs);
      return isRead ? 'pending' : 'unknown';
    },
  };
}
