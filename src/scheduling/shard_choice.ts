/**
 * Scheduling at the entry: chooses the shard home to request a grant from, and
 * the next one after a refusal or a timeout. It compares shards by their
 * summaries, which are always a little out of date.
 */

import {
  DEFAULT_SHARD_WEIGHTS,
  scoreShard,
  type ShardWeights,
} from '../core/scheduling/shard_score.js';
import type {Clock} from '../ports/clock.js';
import type {
  Grant,
  GrantPort,
  GrantProgress,
  GrantRefusal,
  GrantRequest,
} from '../ports/grants.js';
import type {Logger} from '../ports/log.js';
import type {Random} from '../ports/random.js';
import type {AnnouncedGrant, ShardSummary} from './dispatcher_types.js';

export interface ShardChoiceHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/** What this entry knows of a shard. */
export interface ShardView {
  readonly shardId: string;
  readonly failureDomain: string;
  readonly grantPort: GrantPort;
  /** Undefined before the first summary. */
  readonly summary: ShardSummary | undefined;
  /** Age of the summary. */
  readonly ageMs: number;
}

export interface ShardChoiceOptions {
  readonly ownFailureDomain: string;
  /** The known shards of a service. */
  readonly shards: (service: string) => readonly ShardView[];
  readonly weights?: Partial<ShardWeights>;
  /**
   * Maximum attempts for each request. A grant request to a home counts as one,
   * and so does a wait for a new home.
   */
  readonly maxAttempts?: number;
  /** Maximum homes for each request that refuse it for lack of capacity. */
  readonly maxBusyHomes?: number;
  /**
   * If the best shard found in the own failure domain scores above this, which
   * is worse, shards of other failure domains are considered too.
   */
  readonly otherDomainScoreMs?: number;
}

export interface ShardChoice extends GrantPort {
  /** Grants of a shard that this entry holds, to announce to a new home. */
  heldGrants(shardId: string): readonly AnnouncedGrant[];
}

const DEFAULT_MAX_ATTEMPTS = 6;
const DEFAULT_MAX_BUSY_HOMES = 2;
const DEFAULT_OTHER_DOMAIN_SCORE_MS = 30;
const SUSPECT_MS = 2_000;
const MAX_PREFIXES = 4_096;
/**
 * Timeout of a grant request as a multiple of the time left to the first token.
 */
const HOME_TIMEOUT_FACTOR = 1.1;
const HOME_TIMEOUT_EXTRA_MS = 250;
/** A home whose last summary is older than this gets a shorter timeout. */
const OLD_SUMMARY_MS = 3_000;
const OLD_SUMMARY_TIMEOUT_FACTOR = 0.25;
const UNREACHABLE_RETRY_MS = 1_000;

/** Refusals after which another home may grant the request. */
const mayOtherHomeGrant: Readonly<Record<GrantRefusal['reason'], boolean>> = {
  'not-feasible': true,
  'queue-full': true,
  'no-engine': true,
  'home-moved': true,
  unreachable: true,
  'account-limit': false,
  cancelled: false,
};

/** Refusals after which a new home of the same shard may grant the request. */
const mayNewHomeGrant: Readonly<Record<GrantRefusal['reason'], boolean>> = {
  'home-moved': true,
  unreachable: true,
  'not-feasible': false,
  'queue-full': false,
  'no-engine': false,
  'account-limit': false,
  cancelled: false,
};

const HOME_RETRY_MS = 300;
/**
 * A wait for a new home must end within this share of the time to the first
 * token.
 */
const HOME_WAIT_SHARE = 0.5;

interface HeldGrant {
  readonly shardId: string;
  readonly grant: Grant;
  readonly request: GrantRequest;
  isDecoding: boolean;
  tokensDelivered: number;
}

interface ShardRecord {
  /**
   * Times of grants to this entry that the shard's summary may not include yet,
   * oldest first.
   */
  readonly grantTimes: number[];
  pendingRequests: number;
  suspectUntilMs: number;
}

export function createShardChoice(
  host: ShardChoiceHost,
  options: ShardChoiceOptions,
): ShardChoice {
  const {clock, random, log} = host;
  const weights = {...DEFAULT_SHARD_WEIGHTS, ...options.weights};
  const maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
  const maxBusyHomes = options.maxBusyHomes ?? DEFAULT_MAX_BUSY_HOMES;
  const otherDomainScoreMs =
    options.otherDomainScoreMs ?? DEFAULT_OTHER_DOMAIN_SCORE_MS;
  const records = new Map<string, ShardRecord>();
  const held = new Map<string, HeldGrant>();
  const shardByPrefix = new Map<string, string>();

  function recordOf(shardId: string): ShardRecord {
    let record = records.get(shardId);
    if (!record) {
      record = {grantTimes: [], pendingRequests: 0, suspectUntilMs: 0};
      records.set(shardId, record);
    }
    return record;
  }

  /**
   * Counts this entry's pending requests, and its grants newer than the
   * summary.
   */
  function countUnseen(record: ShardRecord, ageMs: number): number {
    const sinceMs = clock.nowMs() - Math.min(ageMs, weights.staleMs);
    while (record.grantTimes.length > 0 && record.grantTimes[0] < sinceMs) {
      record.grantTimes.shift();
    }
    return record.pendingRequests + record.grantTimes.length;
  }

  function scoreOf(shard: ShardView, request: GrantRequest): number {
    const record = recordOf(shard.shardId);
    const {summary} = shard;
    return scoreShard(
      {
        freeSlots: summary?.freeSlots ?? 0,
        totalSlots: summary?.totalSlots ?? 0,
        waitMs: summary?.waitMs ?? weights.unknownWaitMs,
        ageMs: summary ? shard.ageMs : Number.POSITIVE_INFINITY,
        unreportedRequests: countUnseen(record, shard.ageMs),
        isOwnDomain: shard.failureDomain === options.ownFailureDomain,
        hasPrefix: hasPrefix(shard.shardId, request),
        isSuspect: record.suspectUntilMs > clock.nowMs(),
      },
      weights,
    );
  }

  function hasPrefix(shardId: string, request: GrantRequest): boolean {
    const {prefixHashes} = request;
    for (let i = prefixHashes.length - 1; i >= 0; i--) {
      const shardOfPrefix = shardByPrefix.get(prefixHashes[i]);
      if (shardOfPrefix !== undefined) return shardOfPrefix === shardId;
    }
    return false;
  }

  function recordPrefixes(shardId: string, request: GrantRequest): void {
    for (const hash of request.prefixHashes) {
      shardByPrefix.delete(hash);
      shardByPrefix.set(hash, shardId);
    }
    for (const oldest of shardByPrefix.keys()) {
      if (shardByPrefix.size <= MAX_PREFIXES) break;
      shardByPrefix.delete(oldest);
    }
  }

  function bestOfTwo(
    shards: readonly ShardView[],
    request: GrantRequest,
  ): {shard: ShardView; scoreMs: number} | undefined {
    if (shards.length === 0) return undefined;
    const first = random.nextInt(shards.length);
    const picked = [shards[first]];
    if (shards.length > 1) {
      const offset = 1 + random.nextInt(shards.length - 1);
      picked.push(shards[(first + offset) % shards.length]);
    }
    const withPrefix = shards.find(each => hasPrefix(each.shardId, request));
    if (withPrefix && !picked.includes(withPrefix)) picked.push(withPrefix);
    let best = {shard: picked[0], scoreMs: scoreOf(picked[0], request)};
    for (const shard of picked.slice(1)) {
      const scoreMs = scoreOf(shard, request);
      if (scoreMs < best.scoreMs) best = {shard, scoreMs};
    }
    return best;
  }

  function choose(
    request: GrantRequest,
    triedShardIds: ReadonlySet<string>,
  ): ShardView | undefined {
    const open = options
      .shards(request.service)
      .filter(shard => !triedShardIds.has(shard.shardId));
    const ownDomain = open.filter(
      shard => shard.failureDomain === options.ownFailureDomain,
    );
    const ownDomainBest = bestOfTwo(ownDomain, request);
    if (ownDomainBest && ownDomainBest.scoreMs <= otherDomainScoreMs)
      return ownDomainBest.shard;
    const otherDomains = open.filter(
      shard => shard.failureDomain !== options.ownFailureDomain,
    );
    const otherDomainsBest = bestOfTwo(otherDomains, request);
    if (!otherDomainsBest) return ownDomainBest?.shard;
    if (!ownDomainBest) return otherDomainsBest.shard;
    return otherDomainsBest.scoreMs < ownDomainBest.scoreMs
      ? otherDomainsBest.shard
      : ownDomainBest.shard;
  }

  /** Requests a grant from one home, with a timeout. */
  async function requestFromHome(
    shard: ShardView,
    request: GrantRequest,
    signal: AbortSignal,
  ): Promise<Grant | GrantRefusal> {
    const record = recordOf(shard.shardId);
    const timeoutAbort = new AbortController();
    const onAbort = () => timeoutAbort.abort();
    signal.addEventListener('abort', onAbort, {once: true});
    let hasTimedOut = false;
    // A running home refuses what it can't start in time. So a home that
    // doesn't answer within the time to the first token has failed, is paused
    // or can't be reached.
    const factor =
      shard.ageMs > OLD_SUMMARY_MS
        ? OLD_SUMMARY_TIMEOUT_FACTOR
        : HOME_TIMEOUT_FACTOR;
    const limitMs = request.ttftLeftMs * factor + HOME_TIMEOUT_EXTRA_MS;
    const timer = clock.setTimer(limitMs, () => {
      hasTimedOut = true;
      timeoutAbort.abort();
    });
    record.pendingRequests++;
    try {
      const outcome = await shard.grantPort.request(
        request,
        timeoutAbort.signal,
      );
      if (outcome.kind === 'granted' || !hasTimedOut) return outcome;
      return unreachable();
    } catch (error) {
      log.warn('Grant request to a shard home failed.', {
        shardId: shard.shardId,
        error: String(error),
      });
      return signal.aborted ? cancelled() : unreachable();
    } finally {
      record.pendingRequests--;
      clock.clearTimer(timer);
      signal.removeEventListener('abort', onAbort);
    }
  }

  function unreachable(): GrantRefusal {
    return {
      kind: 'refused',
      reason: 'unreachable',
      retryAfterMs: UNREACHABLE_RETRY_MS,
    };
  }

  function cancelled(): GrantRefusal {
    return {kind: 'refused', reason: 'cancelled', retryAfterMs: 0};
  }

  function recordGrant(
    shard: ShardView,
    grant: Grant,
    request: GrantRequest,
  ): void {
    recordOf(shard.shardId).grantTimes.push(clock.nowMs());
    recordPrefixes(shard.shardId, request);
    held.set(grant.grantId, {
      shardId: shard.shardId,
      grant,
      request,
      isDecoding: false,
      tokensDelivered: request.resumeOffset,
    });
  }

  function recordProgress(own: HeldGrant, progress: GrantProgress): void {
    if (progress.kind === 'decode-started') own.isDecoding = true;
    if (progress.kind === 'renew') {
      own.tokensDelivered = progress.tokensDelivered;
    }
    if (progress.kind === 'ended') held.delete(own.grant.grantId);
  }

  /**
   * Waits briefly if the refusal says that a home has moved or is unreachable,
   * since a new home may soon take over its shard. Returns false without a wait
   * after any other refusal, or if the request has no time for it.
   */
  async function waitForHome(
    request: GrantRequest,
    startedAtMs: number,
    refusal: GrantRefusal,
  ): Promise<boolean> {
    if (!mayNewHomeGrant[refusal.reason]) return false;
    const usedMs = clock.nowMs() - startedAtMs + HOME_RETRY_MS;
    if (usedMs > request.ttftLeftMs * HOME_WAIT_SHARE) return false;
    await new Promise<void>(resolve => {
      clock.setTimer(HOME_RETRY_MS, resolve);
    });
    return true;
  }

  /** Returns a copy of the request with `usedMs` less time left. */
  function withLessTime(request: GrantRequest, usedMs: number): GrantRequest {
    return {
      ...request,
      ttftLeftMs: request.ttftLeftMs - usedMs,
      waitLeftMs: request.waitLeftMs - usedMs,
    };
  }

  return {
    async request(request, signal) {
      const startedAtMs = clock.nowMs();
      const triedShardIds = new Set<string>();
      let refusal: GrantRefusal = {
        kind: 'refused',
        reason: 'no-engine',
        retryAfterMs: UNREACHABLE_RETRY_MS,
      };
      let attempts = 0;
      let busyCount = 0;
      while (attempts++ < maxAttempts) {
        if (signal.aborted) return cancelled();
        const shard = choose(request, triedShardIds);
        if (!shard) {
          if (!(await waitForHome(request, startedAtMs, refusal))) break;
          triedShardIds.clear();
          continue;
        }
        triedShardIds.add(shard.shardId);
        const current = withLessTime(request, clock.nowMs() - startedAtMs);
        if (current.ttftLeftMs <= 0 && attempts > 1) break;
        const outcome = await requestFromHome(shard, current, signal);
        if (outcome.kind === 'granted') {
          recordGrant(shard, outcome, request);
          return outcome;
        }
        if (outcome.reason === 'unreachable') {
          recordOf(shard.shardId).suspectUntilMs = clock.nowMs() + SUSPECT_MS;
        }
        if (attempts === 1 || outcome.retryAfterMs < refusal.retryAfterMs) {
          refusal = outcome;
        }
        if (!mayOtherHomeGrant[outcome.reason]) return outcome;
        // Under overload every home refuses. Trying all of them would multiply
        // the load on the homes.
        if (!mayNewHomeGrant[outcome.reason] && ++busyCount >= maxBusyHomes)
          break;
      }
      return refusal;
    },
    report(grant, progress) {
      const own = held.get(grant.grantId);
      if (!own) return;
      recordProgress(own, progress);
      const shard = options
        .shards(own.request.service)
        .find(each => each.shardId === own.shardId);
      shard?.grantPort.report(grant, progress);
    },
    heldGrants: shardId =>
      [...held.values()]
        .filter(each => each.shardId === shardId)
        .map(({grant, request, isDecoding, tokensDelivered}) => ({
          grant,
          request,
          isDecoding,
          tokensDelivered,
        })),
  };
}
