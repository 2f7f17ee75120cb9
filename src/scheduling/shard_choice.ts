/**
 * The entry's side of scheduling: which shard home to ask for a grant, from
 * lagging summaries, and whom to ask next when one refuses or is silent.
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

/** A shard as this entry sees it now. */
export interface ShardView {
  readonly shardId: string;
  readonly failureDomain: string;
  readonly grantPort: GrantPort;
  /** Undefined when none has come yet. */
  readonly summary: ShardSummary | undefined;
  /** Age of the summary. */
  readonly ageMs: number;
}

export interface ShardChoiceOptions {
  readonly ownFailureDomain: string;
  /** The shards of the service, as known now. */
  readonly shards: (service: string) => readonly ShardView[];
  readonly weights?: Partial<ShardWeights>;
  /** Asks and waits for one request at most. */
  readonly maxAsks?: number;
  /** Busy homes that one request asks at most. */
  readonly maxBusy?: number;
  /** Wait above which shards of other failure domains are looked at. */
  readonly spillMs?: number;
}

export interface ShardChoice extends GrantPort {
  /** Grants that this entry holds of a shard, to announce to a new home. */
  heldGrants(shardId: string): readonly AnnouncedGrant[];
}

const DEFAULT_MAX_ASKS = 6;
const DEFAULT_MAX_BUSY = 2;
const DEFAULT_SPILL_MS = 30;
const SUSPECT_MS = 2_000;
const MAX_PREFIXES = 4_096;
/** A live home answers within the time to first token; this is the excess. */
const SILENCE_FACTOR = 1.1;
const SILENCE_EXTRA_MS = 250;
/** A home whose summaries stopped coming is given less of that time. */
const OLD_SUMMARY_MS = 3_000;
const OLD_SILENCE_FACTOR = 0.25;
const UNREACHABLE_RETRY_MS = 1_000;

/** Refusals after which another home may still say yes. */
const asksElsewhere: Readonly<Record<GrantRefusal['reason'], boolean>> = {
  'not-feasible': true,
  'queue-full': true,
  'no-engine': true,
  'home-moved': true,
  unreachable: true,
  'account-limit': false,
  cancelled: false,
};

/** Refusals that a new home of the same shard would not repeat. */
const comesBack: Readonly<Record<GrantRefusal['reason'], boolean>> = {
  'home-moved': true,
  unreachable: true,
  'not-feasible': false,
  'queue-full': false,
  'no-engine': false,
  'account-limit': false,
  cancelled: false,
};

const HOME_RETRY_MS = 300;
/** Share of the time to first token spent on waiting for a home. */
const HOME_WAIT_SHARE = 0.5;

interface HeldGrant {
  readonly shardId: string;
  readonly grant: Grant;
  readonly request: GrantRequest;
  isDecoding: boolean;
  tokensDelivered: number;
}

interface ShardRecord {
  /** Times of own grants, oldest first, as far as summaries may lag. */
  readonly grantTimes: number[];
  asksInFlight: number;
  suspectUntilMs: number;
}

export function createShardChoice(
  host: ShardChoiceHost,
  options: ShardChoiceOptions,
): ShardChoice {
  const {clock, random, log} = host;
  const weights = {...DEFAULT_SHARD_WEIGHTS, ...options.weights};
  const maxAsks = options.maxAsks ?? DEFAULT_MAX_ASKS;
  const maxBusy = options.maxBusy ?? DEFAULT_MAX_BUSY;
  const spillMs = options.spillMs ?? DEFAULT_SPILL_MS;
  const records = new Map<string, ShardRecord>();
  const held = new Map<string, HeldGrant>();
  const shardByPrefix = new Map<string, string>();

  function recordOf(shardId: string): ShardRecord {
    let record = records.get(shardId);
    if (!record) {
      record = {grantTimes: [], asksInFlight: 0, suspectUntilMs: 0};
      records.set(shardId, record);
    }
    return record;
  }

  /** Own asks and grants younger than the summary. */
  function ownUnseen(record: ShardRecord, ageMs: number): number {
    const sinceMs = clock.nowMs() - Math.min(ageMs, weights.staleMs);
    while (record.grantTimes.length > 0 && record.grantTimes[0] < sinceMs) {
      record.grantTimes.shift();
    }
    return record.asksInFlight + record.grantTimes.length;
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
        ownUnseen: ownUnseen(record, shard.ageMs),
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
      const known = shardByPrefix.get(prefixHashes[i]);
      if (known !== undefined) return known === shardId;
    }
    return false;
  }

  function notePrefix(shardId: string, request: GrantRequest): void {
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
    const affine = shards.find(each => hasPrefix(each.shardId, request));
    if (affine && !picked.includes(affine)) picked.push(affine);
    let best = {shard: picked[0], scoreMs: scoreOf(picked[0], request)};
    for (const shard of picked.slice(1)) {
      const scoreMs = scoreOf(shard, request);
      if (scoreMs < best.scoreMs) best = {shard, scoreMs};
    }
    return best;
  }

  function choose(
    request: GrantRequest,
    asked: ReadonlySet<string>,
  ): ShardView | undefined {
    const open = options
      .shards(request.service)
      .filter(shard => !asked.has(shard.shardId));
    const near = open.filter(
      shard => shard.failureDomain === options.ownFailureDomain,
    );
    const nearBest = bestOfTwo(near, request);
    if (nearBest && nearBest.scoreMs <= spillMs) return nearBest.shard;
    const away = open.filter(
      shard => shard.failureDomain !== options.ownFailureDomain,
    );
    const awayBest = bestOfTwo(away, request);
    if (!awayBest) return nearBest?.shard;
    if (!nearBest) return awayBest.shard;
    return awayBest.scoreMs < nearBest.scoreMs
      ? awayBest.shard
      : nearBest.shard;
  }

  /** Asks one home, and no longer than a live one may take. */
  async function askHome(
    shard: ShardView,
    request: GrantRequest,
    signal: AbortSignal,
  ): Promise<Grant | GrantRefusal> {
    const record = recordOf(shard.shardId);
    const silence = new AbortController();
    const onAbort = () => silence.abort();
    signal.addEventListener('abort', onAbort, {once: true});
    let isSilent = false;
    // A live home refuses by itself what it cannot start in time, so one that
    // says nothing for longer than the first token may take is dead, paused
    // or cut off. Without this bound its callers would wait in vain.
    const factor =
      shard.ageMs > OLD_SUMMARY_MS ? OLD_SILENCE_FACTOR : SILENCE_FACTOR;
    const limitMs = request.ttftLeftMs * factor + SILENCE_EXTRA_MS;
    const timer = clock.setTimer(limitMs, () => {
      isSilent = true;
      silence.abort();
    });
    record.asksInFlight++;
    try {
      const outcome = await shard.grantPort.request(request, silence.signal);
      if (outcome.kind === 'granted' || !isSilent) return outcome;
      return unreachable();
    } catch (error) {
      log.warn('Shard home did not answer.', {
        shardId: shard.shardId,
        error: String(error),
      });
      return signal.aborted ? cancelled() : unreachable();
    } finally {
      record.asksInFlight--;
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

  function noteGrant(
    shard: ShardView,
    grant: Grant,
    request: GrantRequest,
  ): void {
    recordOf(shard.shardId).grantTimes.push(clock.nowMs());
    notePrefix(shard.shardId, request);
    held.set(grant.grantId, {
      shardId: shard.shardId,
      grant,
      request,
      isDecoding: false,
      tokensDelivered: request.resumeOffset,
    });
  }

  function noteProgress(own: HeldGrant, progress: GrantProgress): void {
    if (progress.kind === 'decode-started') own.isDecoding = true;
    if (progress.kind === 'renew') {
      own.tokensDelivered = progress.tokensDelivered;
    }
    if (progress.kind === 'ended') held.delete(own.grant.grantId);
  }

  /**
   * Waits a little when all that was asked is a home that moved or is gone:
   * its shard's engines are fine, and a new home is on its way. False when
   * the request has no time for that.
   */
  async function waitForHome(
    request: GrantRequest,
    startedAtMs: number,
    refusal: GrantRefusal,
  ): Promise<boolean> {
    if (!comesBack[refusal.reason]) return false;
    const usedMs = clock.nowMs() - startedAtMs + HOME_RETRY_MS;
    if (usedMs > request.ttftLeftMs * HOME_WAIT_SHARE) return false;
    await new Promise<void>(resolve => {
      clock.setTimer(HOME_RETRY_MS, resolve);
    });
    return true;
  }

  /** The request as it stands after `usedMs` spent on earlier asks. */
  function lessTime(request: GrantRequest, usedMs: number): GrantRequest {
    return {
      ...request,
      ttftLeftMs: request.ttftLeftMs - usedMs,
      waitLeftMs: request.waitLeftMs - usedMs,
    };
  }

  return {
    async request(request, signal) {
      const startedAtMs = clock.nowMs();
      const asked = new Set<string>();
      let refusal: GrantRefusal = {
        kind: 'refused',
        reason: 'no-engine',
        retryAfterMs: UNREACHABLE_RETRY_MS,
      };
      let asks = 0;
      let busyCount = 0;
      while (asks++ < maxAsks) {
        if (signal.aborted) return cancelled();
        const shard = choose(request, asked);
        if (!shard) {
          if (!(await waitForHome(request, startedAtMs, refusal))) break;
          asked.clear();
          continue;
        }
        asked.add(shard.shardId);
        const current = lessTime(request, clock.nowMs() - startedAtMs);
        if (current.ttftLeftMs <= 0 && asks > 1) break;
        const outcome = await askHome(shard, current, signal);
        if (outcome.kind === 'granted') {
          noteGrant(shard, outcome, request);
          return outcome;
        }
        if (outcome.reason === 'unreachable') {
          recordOf(shard.shardId).suspectUntilMs = clock.nowMs() + SUSPECT_MS;
        }
        if (asks === 1 || outcome.retryAfterMs < refusal.retryAfterMs) {
          refusal = outcome;
        }
        if (!asksElsewhere[outcome.reason]) return outcome;
        // Under overload every home refuses; asking them all would multiply
        // the load on homes just when they have least time.
        if (!comesBack[outcome.reason] && ++busyCount >= maxBusy) break;
      }
      return refusal;
    },
    report(grant, progress) {
      const own = held.get(grant.grantId);
      if (!own) return;
      noteProgress(own, progress);
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
