/**
 * Keeps the request rates that overloaded upstreams name in their answers. Each
 * rate is a limit for all hosts together.
 *
 * Hosts exchange these limits, so that a limit ends on all hosts with the first
 * answer that names none. A host that sends nothing to the upstream would
 * otherwise never learn that it ended.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MAX_REMEMBERED_UPSTREAMS} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';

/** An upstream's limit as known to a host, in messages to its peers. */
export interface LimitRecord {
  readonly upstream: string;
  /** Requests per second; null if the upstream no longer names a limit. */
  readonly limitPerS: number | null;
  /** Age of the answer that the limit comes from. */
  readonly ageMs: number;
}

/**
 * Where a limit comes from: an answer to this host, a peer that received such
 * an answer, or a host that relayed it. A relayed limit isn't relayed again,
 * since its age doesn't include the delay of each hop.
 */
type LimitOrigin = 'own' | 'peer' | 'relayed';

export interface UpstreamLimits {
  /**
   * Records the limit in an answer to a request that was sent at `sentAtMs`. If
   * the answer names none, `limitPerS` is undefined and an earlier limit ends.
   */
  noteAnswer(
    upstreamId: string,
    limitPerS: number | undefined,
    sentAtMs: number,
  ): void;
  /** Applies limits received from another host. */
  applyRecords(
    records: readonly LimitRecord[],
    origin: Exclude<LimitOrigin, 'own'>,
  ): void;
  /** Returns undefined while the upstream names no limit. */
  limitPerS(upstreamId: string): number | undefined;
  /** Returns undefined if the upstream has never named a limit. */
  record(upstreamId: string): LimitRecord | undefined;
  /** Returns limits from answers to this host, to send to peers. */
  ownRecords(): readonly LimitRecord[];
  /** Returns limits from answers to this host and to its direct peers. */
  found(): readonly LimitRecord[];
  limitedCount(): number;
}

export interface UpstreamLimitsHost {
  readonly clock: Clock;
  readonly log: Logger;
  /** Returns whether the list of upstreams contains the upstream. */
  isKnown(upstreamId: string): boolean;
  /** Called when a limit begins or ends with an answer to this host. */
  onChange(): void;
}

interface KnownLimit {
  /** Undefined after the upstream stopped naming a limit. */
  readonly limitPerS?: number;
  readonly atMs: number;
  readonly origin: LimitOrigin;
}

/**
 * Time for which the end of a limit is sent to peers. Hosts that miss it learn
 * it from the owner of the limit.
 */
const END_SENT_MS = 10_000;
/** Maximum error of an age that was relayed by several hosts. */
const MAX_AGE_ERROR_MS = 250;
/** Maximum number of records in a datagram; the newest are sent. */
const MAX_RECORDS_SENT = 32;

export function createUpstreamLimits(host: UpstreamLimitsHost): UpstreamLimits {
  const {clock, log} = host;
  const limits = createBoundedMap<KnownLimit>(MAX_REMEMBERED_UPSTREAMS);

  function set(upstreamId: string, next: KnownLimit): void {
    const before = limits.get(upstreamId);
    limits.set(upstreamId, next);
    if (before?.limitPerS === next.limitPerS) return;
    const {limitPerS, origin} = next;
    const hasBegunOrEnded =
      before?.limitPerS === undefined || limitPerS === undefined;
    if (origin === 'own' && hasBegunOrEnded) host.onChange();
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

  /**
   * Ends a limit if the end is certainly newer than the limit. A false end
   * would let all hosts send without a limit.
   */
  function endLimit(
    upstreamId: string,
    atMs: number,
    origin: LimitOrigin,
  ): void {
    const known = limits.get(upstreamId);
    if (!known) return;
    const marginMs = origin === 'own' ? 0 : MAX_AGE_ERROR_MS;
    if (atMs > known.atMs + marginMs) set(upstreamId, {atMs, origin});
  }

  function applyRecord(record: LimitRecord, origin: LimitOrigin): void {
    const {upstream, limitPerS, ageMs} = record;
    if (!host.isKnown(upstream)) return;
    const atMs = clock.nowMs() - ageMs;
    if (limitPerS === null) return endLimit(upstream, atMs, origin);
    const known = limits.get(upstream);
    const marginMs = origin === 'relayed' ? MAX_AGE_ERROR_MS : 0;
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

  function recordsToSend(
    isIncluded: (origin: LimitOrigin) => boolean,
  ): readonly LimitRecord[] {
    return [...limits.entries()]
      .filter(
        ([upstream, {origin}]) => isIncluded(origin) && host.isKnown(upstream),
      )
      .map(([upstream, known]) => toRecord(upstream, known))
      .filter(each => each.limitPerS !== null || each.ageMs < END_SENT_MS)
      .sort((a, b) => a.ageMs - b.ageMs)
      .slice(0, MAX_RECORDS_SENT);
  }

  return {
    noteAnswer(upstreamId, limitPerS, sentAtMs) {
      // Answers may overtake each other. An answer to a request that was sent
      // before the limit was named doesn't end that limit.
      if (limitPerS === undefined) return endLimit(upstreamId, sentAtMs, 'own');
      set(upstreamId, {limitPerS, atMs: clock.nowMs(), origin: 'own'});
    },
    applyRecords(records, origin) {
      for (const record of records) applyRecord(record, origin);
    },
    limitPerS: upstreamId => limits.get(upstreamId)?.limitPerS,
    record(upstreamId) {
      const known = limits.get(upstreamId);
      return known && toRecord(upstreamId, known);
    },
    ownRecords: () => recordsToSend(origin => origin === 'own'),
    found: () => recordsToSend(origin => origin !== 'relayed'),
    limitedCount: () =>
      [...limits.entries()].filter(
        ([upstream, {limitPerS}]) =>
          limitPerS !== undefined && host.isKnown(upstream),
      ).length,
  };
}
