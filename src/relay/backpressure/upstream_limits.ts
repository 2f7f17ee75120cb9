/**
 * The request rates that upstreams in need allow all hosts together, as they
 * name them in their answers.
 *
 * Hosts tell each other what they were told, so that the rate ends everywhere
 * with the first answer that names none: a host that sends nothing to such an
 * upstream would never learn it.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MOST_REMEMBERED} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';

/** What a host knows of an upstream's limit, for its peers. */
export interface LimitRecord {
  readonly upstream: string;
  /** Requests a second; null where the upstream names none any more. */
  readonly limitPerS: number | null;
  /** Of the answer that told it. */
  readonly ageMs: number;
}

/**
 * Whose word a limit is: of an answer to this host, of a host that had such an
 * answer, or of one that was told. The last is not told on: ages lose the time
 * of each hop.
 */
type LimitOrigin = 'own' | 'peer' | 'relayed';

export interface UpstreamLimits {
  /**
   * An upstream answered a request that was sent at `sentAtMs`. Undefined when
   * the answer names no limit: an earlier one no longer holds then.
   */
  noteAnswer(
    upstreamId: string,
    limitPerS: number | undefined,
    sentAtMs: number,
  ): void;
  hear(
    records: readonly LimitRecord[],
    origin: Exclude<LimitOrigin, 'own'>,
  ): void;
  /** Undefined while the upstream names none. */
  limitPerS(upstreamId: string): number | undefined;
  /** Undefined where nothing was ever heard of a limit. */
  record(upstreamId: string): LimitRecord | undefined;
  /** What answers to this host told, for the peers. */
  own(): readonly LimitRecord[];
  /** What this host and the peers that it hears were told. */
  found(): readonly LimitRecord[];
  limitedCount(): number;
}

export interface UpstreamLimitsHost {
  readonly clock: Clock;
  readonly log: Logger;
  /** Whether the upstream is listed now. */
  isKnown(upstreamId: string): boolean;
  /** By an answer to this host a limit began or ended. */
  onChange(): void;
}

interface KnownLimit {
  /** Undefined once the upstream named none any more. */
  readonly limitPerS?: number;
  readonly atMs: number;
  readonly origin: LimitOrigin;
}

/** An end is told for this long; hosts that missed it ask the owner. */
const TELL_END_MS = 10_000;
/** Of ages that came by way of several hosts. */
const AGE_ERROR_MS = 250;
/** Named in one datagram, the newest first. */
const MOST_TOLD = 32;

export function createUpstreamLimits(host: UpstreamLimitsHost): UpstreamLimits {
  const {clock, log} = host;
  const limits = createBoundedMap<KnownLimit>(MOST_REMEMBERED);

  function set(upstreamId: string, next: KnownLimit): void {
    const before = limits.get(upstreamId);
    limits.set(upstreamId, next);
    if (before?.limitPerS === next.limitPerS) return;
    const {limitPerS, origin} = next;
    const isOther = before?.limitPerS === undefined || limitPerS === undefined;
    if (origin === 'own' && isOther) host.onChange();
    const fields = {upstream: upstreamId, limitPerS, origin};
    if (limitPerS !== undefined) {
      log.info('Upstream names a limit.', fields);
      return;
    }
    log.info('Upstream names no limit any more.', {
      ...fields,
      limitPerS: before?.limitPerS,
      namedAgoMs: before && Math.round(clock.nowMs() - before.atMs),
    });
  }

  /** An end has to be surely newer than the limit: a wrong one lets all send. */
  function end(upstreamId: string, atMs: number, origin: LimitOrigin): void {
    const known = limits.get(upstreamId);
    if (!known) return;
    const marginMs = origin === 'own' ? 0 : AGE_ERROR_MS;
    if (atMs > known.atMs + marginMs) set(upstreamId, {atMs, origin});
  }

  function hearOne(record: LimitRecord, origin: LimitOrigin): void {
    const {upstream, limitPerS, ageMs} = record;
    if (!host.isKnown(upstream)) return;
    const atMs = clock.nowMs() - ageMs;
    if (limitPerS === null) return end(upstream, atMs, origin);
    const known = limits.get(upstream);
    const marginMs = origin === 'relayed' ? AGE_ERROR_MS : 0;
    if (known && atMs <= known.atMs + marginMs) return;
    set(upstream, {limitPerS, atMs, origin});
  }

  function toRecord(upstream: string, known: KnownLimit): LimitRecord {
    return {
      upstream,
      limitPerS: known.limitPerS ?? null,
      ageMs: Math.round(clock.nowMs() - known.atMs),
    };
  }

  function tellable(
    isTold: (origin: LimitOrigin) => boolean,
  ): readonly LimitRecord[] {
    return [...limits.entries()]
      .filter(
        ([upstream, {origin}]) => isTold(origin) && host.isKnown(upstream),
      )
      .map(([upstream, known]) => toRecord(upstream, known))
      .filter(each => each.limitPerS !== null || each.ageMs < TELL_END_MS)
      .sort((a, b) => a.ageMs - b.ageMs)
      .slice(0, MOST_TOLD);
  }

  return {
    noteAnswer(upstreamId, limitPerS, sentAtMs) {
      // Answers may overtake each other: one to a request that was sent before
      // the limit was named tells nothing of what holds now.
      if (limitPerS === undefined) return end(upstreamId, sentAtMs, 'own');
      set(upstreamId, {limitPerS, atMs: clock.nowMs(), origin: 'own'});
    },
    hear(records, origin) {
      for (const record of records) hearOne(record, origin);
    },
    limitPerS: upstreamId => limits.get(upstreamId)?.limitPerS,
    record(upstreamId) {
      const known = limits.get(upstreamId);
      return known && toRecord(upstreamId, known);
    },
    own: () => tellable(origin => origin === 'own'),
    found: () => tellable(origin => origin !== 'relayed'),
    limitedCount: () =>
      [...limits.entries()].filter(
        ([upstream, {limitPerS}]) =>
          limitPerS !== undefined && host.isKnown(upstream),
      ).length,
  };
}
