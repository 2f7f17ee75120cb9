/**
 * The single dispatcher of one shard of engines: books, queue, admission,
 * placement and health put together. Callback style, so that benches can
 * drive it in virtual time; `shard_home.ts` wraps it in promises.
 */

import type {LatencyTargets} from '../core/settings_types.js';
import {
  forecastWaitMs,
  readCapacity,
  retryAfter,
} from '../core/scheduling/admission.js';
import {
  createAccountShares,
  type AccountLimits,
} from '../core/scheduling/account_shares.js';
import type {EngineDescription} from '../core/scheduling/engine_book.js';
import {
  createEngineHealth,
  DEFAULT_HEALTH,
  type HealthOptions,
} from '../core/scheduling/engine_health.js';
import {
  createEnginePool,
  type PoolEngine,
} from '../core/scheduling/engine_pool.js';
import {place, type Placement} from '../core/scheduling/placement.js';
import {
  createPolicy,
  type SchedulingPolicy,
} from '../core/scheduling/policy.js';
import {createPrefixIndex} from '../core/scheduling/prefix_index.js';
import {
  createServiceModel,
  DEFAULT_GUESSES,
  type ModelGuesses,
} from '../core/scheduling/service_model.js';
import {
  createWaitQueue,
  type WorkAhead,
} from '../core/scheduling/wait_queue.js';
import type {Clock, TimerHandle} from '../ports/clock.js';
import type {CacheEvent, EngineLoadReport} from '../ports/engine.js';
import type {
  Grant,
  GrantProgress,
  GrantRefusal,
  GrantRequest,
} from '../ports/grants.js';
import type {Random} from '../ports/random.js';
import {createGrantLedger, type HeldGrant} from './grant_ledger.js';

export interface DispatcherHost {
  readonly clock: Clock;
  readonly random: Random;
}

export interface DispatcherOptions {
  readonly shardId: string;
  /** Counts up with each takeover of the shard. */
  readonly homeEpoch: number;
  readonly service: string;
  readonly targets: LatencyTargets;
  /** 0: only goodput counts; 1: only wasted prefill counts. */
  readonly wasteWeight: number;
  readonly maxQueued: number;
  readonly accounts?: ReadonlyMap<string, AccountLimits>;
  readonly policy?: Partial<SchedulingPolicy>;
  readonly guesses?: Partial<ModelGuesses>;
  readonly health?: Partial<HealthOptions>;
  /** After a takeover: how long to admit conservatively. 0: not at all. */
  readonly rebuildMs?: number;
  /** A grant lapses when nothing is heard of it for this long. */
  readonly grantLifeMs?: number;
}

/** Answers one request, exactly once unless it is cancelled. */
export type GrantReply = (outcome: Grant | GrantRefusal) => void;

/** A place in the queue; `cancel` gives it up without a reply. */
export interface GrantTicket {
  cancel(): void;
}

/** A grant that an entry announces again to a new home. */
export interface AnnouncedGrant {
  readonly grant: Grant;
  readonly request: GrantRequest;
  readonly isDecoding: boolean;
  readonly tokensDelivered: number;
}

/** Small figures for the choice between shards. */
export interface ShardSummary {
  readonly shardId: string;
  readonly service: string;
  readonly homeEpoch: number;
  readonly freeSlots: number;
  readonly totalSlots: number;
  readonly queued: number;
  /** Forecast wait of a request of mean size, milliseconds. */
  readonly waitMs: number;
  readonly prefillEngines: number;
  readonly decodeEngines: number;
  readonly ejected: number;
}

export interface Dispatcher {
  ask(request: GrantRequest, reply: GrantReply): GrantTicket;
  report(grantId: string, progress: GrantProgress): void;
  setEngines(engines: readonly EngineDescription[]): void;
  setTuning(
    targets: LatencyTargets,
    wasteWeight: number,
    accounts: ReadonlyMap<string, AccountLimits>,
  ): void;
  applyLoadReport(report: EngineLoadReport): void;
  applyCacheEvents(engineId: string, events: readonly CacheEvent[]): void;
  markLeaving(engineId: string): void;
  engineGone(engineId: string): void;
  entryGone(entryTag: string): void;
  adopt(announced: AnnouncedGrant): void;
  summary(): ShardSummary;
  /** Promises that each engine carries, for checks and status pages. */
  books(): readonly EngineBookView[];
  /** Refuses all that wait and stops the timers. */
  stop(): void;
}

export interface EngineBookView {
  readonly engineId: string;
  readonly usedSlots: number;
  readonly usedKvBytes: number;
  readonly kvBytes: number;
  readonly isUsable: boolean;
}

const DEFAULT_GRANT_LIFE_MS = 5_000;
const SWEEP_MS = 100;
const MIN_PUMP_DELAY_MS = 2;
const LINK_RETRY_MS = 20;
const SHARE_HALF_LIFE_MS = 20_000;
/** Time in which an engine frees what a vanished entry held. */
const LINGER_MS = 1_000;
/** Share of free slots that a home gives out while it rebuilds. */
const REBUILD_SHARE = 0.5;
const DEFAULT_REBUILD_MS = 0;
/** Share of its first-token time that a too long prompt may queue. */
const LONG_PROMPT_QUEUE_SHARE = 0.25;
/** A waiting request is dropped once its forecast is late by this much. */
const DROP_LATE_SHARE = 0.25;
const FORECAST_HORIZON_MS = 500;
const PACE_SMOOTHING = 0.2;
const PACE_HIGH = 0.98;
const PACE_LOW = 0.85;
const PACE_STEP_MS = 500;

interface Waiting {
  readonly request: GrantRequest;
  readonly account: string;
  readonly reply: GrantReply;
  /** Later than this the first token, or the whole, would be late. */
  readonly latestStartMs: number;
  readonly orderMs: number;
  readonly prefillMs: number;
  readonly kvBytes: number;
  readonly promptKvBytes: number;
  readonly arrivedAtMs: number;
}

export function createDispatcher(
  host: DispatcherHost,
  options: DispatcherOptions,
): Dispatcher {
  const {clock, random} = host;
  const lifeMs = options.grantLifeMs ?? DEFAULT_GRANT_LIFE_MS;
  const pool = createEnginePool();
  const model = createServiceModel(
    {...DEFAULT_GUESSES, ...options.guesses},
    pool,
  );
  const prefixes = createPrefixIndex();
  const healthOptions = {...DEFAULT_HEALTH, ...options.health};
  const health = createEngineHealth(healthOptions);
  const shares = createAccountShares(SHARE_HALF_LIFE_MS);
  const queue = createWaitQueue<Waiting>();
  const ledger = createGrantLedger();
  const rebuildUntilMs =
    clock.nowMs() + (options.rebuildMs ?? DEFAULT_REBUILD_MS);
  let targets = options.targets;
  let policy = createPolicy(options.wasteWeight, options.policy);
  let grantCount = 0;
  let isStopped = false;
  let hadEngines = false;
  let sweepTimer: TimerHandle | undefined;
  let pumpTimer: TimerHandle | undefined;
  let lastPaceStepMs = 0;
  if (options.accounts) shares.setLimits(options.accounts);

  // --- Estimates -----------------------------------------------------------

  function prefillTokens(request: GrantRequest): number {
    return request.promptTokenCount + request.resumeOffset;
  }

  function cachedTokens(request: GrantRequest, engine: PoolEngine): number {
    if (!policy.usePrefixCache) return 0;
    return prefixes.expectedCachedTokens(
      engine.description.engineId,
      request.prefixHashes,
      request.promptTokenCount,
    );
  }

  function prefillMsOn(request: GrantRequest, engine: PoolEngine): number {
    const tokens = prefillTokens(request) - cachedTokens(request, engine);
    return model.prefill.estimateMs(Math.max(1, tokens));
  }

  function transferMs(promptKvBytes: number): number {
    const [engine] = pool.decode;
    if (!engine) return 0;
    return promptKvBytes / Math.max(1, engine.description.linkBytesPerMs);
  }

  function makeWaiting(request: GrantRequest, reply: GrantReply): Waiting {
    const nowMs = clock.nowMs();
    const tokens = prefillTokens(request);
    const perToken = model.kvBytesPerToken();
    const largest = pool.decode.reduce(
      (most, each) => Math.max(most, each.description.kvBytes),
      0,
    );
    const wantedKv = (tokens + request.maxTokens) * perToken;
    const prefillMs = model.prefill.estimateMs(tokens);
    const promptKvBytes = tokens * perToken;
    const ownMs = prefillMs + transferMs(promptKvBytes) + model.intervalMs();
    const answerMs = model.expectedTokens(request) * model.intervalMs();
    const firstTokenMs = request.ttftLeftMs * (1 - policy.admissionMargin);
    const slackMs = firstTokenMs - ownMs;
    // A prompt so long that its own prefill breaks the target is late on any
    // engine; it still gets a short time in the queue rather than none.
    const queueMs =
      slackMs > 0 ? slackMs : request.ttftLeftMs * LONG_PROMPT_QUEUE_SHARE;
    const wholeMs = request.waitLeftMs - ownMs - answerMs;
    const isDropped = policy.refuseEarly || policy.order === 'deadline';
    const latestStartMs = isDropped
      ? nowMs + Math.min(queueMs, wholeMs)
      : nowMs + request.waitLeftMs;
    return {
      request,
      account: request.account,
      reply,
      latestStartMs,
      orderMs: policy.order === 'deadline' ? latestStartMs : nowMs,
      prefillMs,
      kvBytes: Math.min(wantedKv, largest),
      promptKvBytes,
      arrivedAtMs: nowMs,
    };
  }

  function costMs(waiting: Waiting): number {
    const answerMs = model.expectedTokens(waiting.request) * model.intervalMs();
    const slots = pool.decode[0]?.description.slots ?? 1;
    return waiting.prefillMs + answerMs / Math.max(1, slots);
  }

  // --- Replies -------------------------------------------------------------

  function refuse(
    reply: GrantReply,
    reason: GrantRefusal['reason'],
    lateMs: number,
  ): void {
    const retryAfterMs = retryAfter(lateMs, random.nextFloat());
    reply({kind: 'refused', reason, retryAfterMs});
  }

  /** A new home cannot tell yet what is feasible; it lets requests wait. */
  function isRebuilding(): boolean {
    return clock.nowMs() < rebuildUntilMs;
  }

  function dropWaiting(
    waiting: Waiting,
    reason: GrantRefusal['reason'],
    lateMs: number,
  ): void {
    if (queue.remove(waiting)) refuse(waiting.reply, reason, lateMs);
  }

  function give(waiting: Waiting, placement: Placement): void {
    const nowMs = clock.nowMs();
    const {request} = waiting;
    const {prefill, decode} = placement;
    const grantId = `${options.shardId}/${options.homeEpoch}/${++grantCount}`;
    const startInMs = Math.max(
      0,
      prefill.backlog.freeAtMs(nowMs) - nowMs - policy.prefillAheadMs,
    );
    const grant: Grant = {
      kind: 'granted',
      grantId,
      homeEpoch: options.homeEpoch,
      prefillEngineId: prefill.description.engineId,
      prefillAddress: prefill.description.address,
      decodeEngineId: decode.description.engineId,
      decodeAddress: decode.description.address,
      lifeMs: Math.round(lifeMs + 2 * (placement.prefillEndMs - nowMs)),
      startInMs: Math.round(startInMs),
    };
    const cached = cachedTokens(request, prefill);
    prefill.book.reserve(grantId, waiting.promptKvBytes, nowMs);
    prefill.backlog.add(grantId, placement.prefillMs, nowMs);
    decode.book.reserve(grantId, waiting.kvBytes, nowMs);
    bookLinks(grantId, prefill, decode, placement);
    shares.charge(request.account, costMs(waiting), nowMs);
    noteUse(prefill);
    noteUse(decode);
    ledger.add({
      grant,
      request,
      prefill,
      decode,
      phase: 'promised',
      expectedCached: cached,
      kvBytes: waiting.kvBytes,
      promptKvBytes: waiting.promptKvBytes,
      prefillMs: placement.prefillMs,
      grantedAtMs: nowMs,
      lapsesAtMs: nowMs + grant.lifeMs,
      tokensDelivered: request.resumeOffset,
      tokensAtMs: nowMs,
    });
    if (policy.usePrefixCache) {
      prefixes.noteComputed(prefill.description.engineId, request.prefixHashes);
    }
    waiting.reply(grant);
  }

  /** An engine that is tried again gets no second request at once. */
  function noteUse(engine: PoolEngine): void {
    const nowMs = clock.nowMs();
    const {engineId} = engine.description;
    health.noteUse(engineId, nowMs);
    if (policy.watchHealth) engine.share = health.share(engineId, nowMs);
  }

  function bookLinks(
    grantId: string,
    prefill: PoolEngine,
    decode: PoolEngine,
    times: {readonly transferStartMs: number; readonly transferMs: number},
  ): void {
    if (!policy.scheduleLinks) return;
    prefill.link.book(grantId, times.transferStartMs, times.transferMs);
    decode.link.book(grantId, times.transferStartMs, times.transferMs);
  }

  // --- Queue ---------------------------------------------------------------

  function tryPlace(waiting: Waiting, held?: PoolEngine) {
    return place(
      pool.prefill,
      pool.decode,
      {
        promptKvBytes: waiting.promptKvBytes,
        decodeKvBytes: waiting.kvBytes,
        prefillMs: waiting.prefillMs,
        prefillMsOn: engine => prefillMsOn(waiting.request, engine),
      },
      policy,
      clock.nowMs(),
      held,
    );
  }

  /** Gives grants to waiting requests, in order, until none fits. */
  function pump(): void {
    if (isStopped) return;
    let index = 0;
    let held: PoolEngine | undefined;
    let smallestBlockedKv = Number.POSITIVE_INFINITY;
    let scanned = 0;
    while (index < queue.size() && scanned < policy.scanLimit) {
      const waiting = queue.at(index);
      if (waiting.latestStartMs < clock.nowMs()) {
        dropWaiting(waiting, 'not-feasible', 0);
        continue;
      }
      scanned++;
      if (waiting.kvBytes >= smallestBlockedKv) {
        index++;
        continue;
      }
      const placement = tryPlace(waiting, held);
      if (placement.kind === 'placed') {
        queue.remove(waiting);
        give(waiting, placement);
        scanned = 0;
        continue;
      }
      if (placement.by === 'prefill' || placement.by === 'no-engine') break;
      if (placement.by === 'decode') {
        smallestBlockedKv = waiting.kvBytes;
        // The first that does not fit keeps the engine that will have room
        // first, or smaller ones would pass it for ever.
        held ??= placement.waitFor;
      }
      index++;
    }
    schedulePump();
  }

  /** Prefill engines get free as time passes, without any report. */
  function schedulePump(): void {
    if (pumpTimer || queue.size() === 0 || isStopped) return;
    const nowMs = clock.nowMs();
    let delayMs = LINK_RETRY_MS;
    for (const engine of pool.prefill) {
      if (engine.isLeaving || engine.share <= 0) continue;
      const freeInMs = engine.backlog.freeAtMs(nowMs) - nowMs;
      const roomInMs = freeInMs - policy.prefillAheadMs;
      if (roomInMs > 0) delayMs = Math.min(delayMs, roomInMs);
    }
    pumpTimer = clock.setTimer(Math.max(MIN_PUMP_DELAY_MS, delayMs), () => {
      pumpTimer = undefined;
      pump();
    });
  }

  /** The waiting request to drop so that `account` gets its share. */
  function findDisplaceable(account: string): Waiting | undefined {
    const nowMs = clock.nowMs();
    const ownUse = shares.normalizedUse(account, nowMs);
    let mostUse = ownUse;
    let victim: Waiting | undefined;
    for (const other of queue.accounts()) {
      const use = shares.normalizedUse(other, nowMs);
      if (use <= mostUse) continue;
      mostUse = use;
      victim = queue.ofAccount(other).at(-1);
    }
    return victim;
  }

  function lateMsOf(waiting: Waiting, ahead: WorkAhead): number {
    const nowMs = clock.nowMs();
    const waitMs = forecastWaitMs(
      readCapacity(pool, nowMs),
      ahead,
      waiting.kvBytes,
      model.meanHoldMs(),
    );
    return nowMs + waitMs - waiting.latestStartMs;
  }

  function admit(waiting: Waiting): void {
    if (queue.size() >= options.maxQueued) {
      const victim = policy.isFair
        ? findDisplaceable(waiting.account)
        : undefined;
      if (!victim) {
        refuse(waiting.reply, 'queue-full', model.meanHoldMs());
        return;
      }
      dropWaiting(victim, 'queue-full', model.meanHoldMs());
    }
    if (policy.refuseEarly && !isRebuilding()) {
      const lateMs = lateMsOf(waiting, queue.workBefore(waiting.orderMs));
      if (lateMs > 0) {
        const victim = policy.isFair
          ? findDisplaceable(waiting.account)
          : undefined;
        if (!victim || waiting.latestStartMs < clock.nowMs()) {
          refuse(waiting.reply, 'not-feasible', lateMs);
          return;
        }
        dropWaiting(victim, 'not-feasible', lateMs);
      }
    }
    queue.add(waiting);
    if (queue.size() === 1 || queue.at(0) === waiting) pump();
    else schedulePump();
  }

  /** Drops what the forecast says will be late, as soon as it says so. */
  function dropLate(): void {
    if (queue.size() === 0 || !policy.refuseEarly) return;
    if (isRebuilding()) return;
    const nowMs = clock.nowMs();
    const capacity = readCapacity(pool, nowMs);
    const meanHoldMs = model.meanHoldMs();
    let count = 0;
    let prefillMs = 0;
    let kvBytes = 0;
    const late: {waiting: Waiting; lateMs: number}[] = [];
    for (const waiting of queue.items()) {
      const ahead = {count, prefillMs, kvBytes};
      const waitMs = forecastWaitMs(
        capacity,
        ahead,
        waiting.kvBytes,
        meanHoldMs,
      );
      const slackMs = waiting.latestStartMs - nowMs;
      const allowedMs = slackMs + DROP_LATE_SHARE * waiting.request.ttftLeftMs;
      if (slackMs < 0 || waitMs > allowedMs) {
        late.push({waiting, lateMs: waitMs - slackMs});
        continue;
      }
      count++;
      prefillMs += waiting.prefillMs;
      kvBytes += waiting.kvBytes;
    }
    for (const each of late) {
      dropWaiting(each.waiting, 'not-feasible', each.lateMs);
    }
  }

  // --- Grants as they go on ------------------------------------------------

  function leavePrefill(held: HeldGrant): void {
    const {grantId} = held.grant;
    held.prefill?.backlog.remove(grantId, clock.nowMs());
    held.prefill?.book.release(grantId);
    held.prefill?.link.release(grantId);
    held.decode?.link.release(grantId);
  }

  function release(held: HeldGrant): void {
    leavePrefill(held);
    held.decode?.book.release(held.grant.grantId);
    ledger.remove(held.grant.grantId);
  }

  /** Frees a grant whose entry is silent, once its engines must have too. */
  function releaseLater(held: HeldGrant): void {
    if (held.isLingering) return;
    held.isLingering = true;
    clock.setTimer(LINGER_MS, () => {
      if (!held.isLingering) return;
      release(held);
      pump();
    });
  }

  function onPrefillDone(
    held: HeldGrant,
    kvSizeBytes: number,
    foundTokens: number,
  ): void {
    const nowMs = clock.nowMs();
    const {grantId} = held.grant;
    const tokens = prefillTokens(held.request);
    const sinceMs = held.prefill?.backlog.remove(grantId, nowMs);
    if (held.prefill && sinceMs !== undefined) {
      learnPrefill(held.prefill, tokens - foundTokens, nowMs - sinceMs);
      prefixes.learn(
        held.prefill.description.engineId,
        held.expectedCached,
        foundTokens,
      );
    }
    model.learnKv(tokens, kvSizeBytes);
    const outputKv = held.request.maxTokens * model.kvBytesPerToken();
    held.prefill?.book.resize(grantId, kvSizeBytes, nowMs);
    held.decode?.book.resize(grantId, kvSizeBytes + outputKv, nowMs);
    held.phase = 'prefilled';
  }

  const MAX_PREFILL_SAMPLE_FACTOR = 4;
  const MIN_PREFILL_SAMPLES = 6;

  function learnPrefill(
    engine: PoolEngine,
    tokens: number,
    tookMs: number,
  ): void {
    const expectedMs = model.prefill.estimateMs(Math.max(1, tokens));
    const isWarm = model.prefill.sampleCount() >= MIN_PREFILL_SAMPLES;
    const sampleMs = isWarm
      ? Math.min(tookMs, expectedMs * MAX_PREFILL_SAMPLE_FACTOR)
      : tookMs;
    const ratio = tookMs / Math.max(1, expectedMs);
    const {engineId} = engine.description;
    if (isWarm) health.sample(engineId, ratio, clock.nowMs());
    if (health.isOutlier(engineId)) return;
    model.prefill.learn(Math.max(1, tokens), sampleMs);
  }

  function noteTokens(held: HeldGrant, tokensDelivered: number): void {
    const nowMs = clock.nowMs();
    const tokens = tokensDelivered - held.tokensDelivered;
    const engine = held.decode;
    if (tokens >= MIN_TOKENS_FOR_PACE && engine && held.phase === 'decoding') {
      const intervalMs = (nowMs - held.tokensAtMs) / tokens;
      const {engineId} = engine.description;
      health.sample(engineId, intervalMs, nowMs);
      if (!health.isOutlier(engineId)) model.learnInterval(intervalMs);
      engine.intervalMs =
        engine.intervalMs === 0
          ? intervalMs
          : engine.intervalMs +
            PACE_SMOOTHING * (intervalMs - engine.intervalMs);
    }
    if (tokens > 0 || held.phase !== 'decoding') {
      held.tokensDelivered = Math.max(held.tokensDelivered, tokensDelivered);
      held.tokensAtMs = nowMs;
    }
  }

  const MIN_TOKENS_FOR_PACE = 4;

  function onEnded(
    held: HeldGrant,
    progress: Extract<GrantProgress, {kind: 'ended'}>,
  ): void {
    const nowMs = clock.nowMs();
    noteTokens(held, progress.tokensDelivered);
    if (progress.result === 'whole') {
      model.lengths(held.request.requestClass).record(progress.tokensDelivered);
      const decodeId = held.decode?.description.engineId;
      if (decodeId === undefined || !health.isOutlier(decodeId)) {
        model.noteHold(nowMs - held.grantedAtMs);
      }
      if (held.prefill)
        health.success(held.prefill.description.engineId, nowMs);
      if (held.decode) health.success(held.decode.description.engineId, nowMs);
    }
    if (progress.failedEngineId) {
      health.failure(progress.failedEngineId, nowMs);
      refreshLimits();
    }
    release(held);
    pump();
  }

  const progressHandlers: {
    readonly [K in GrantProgress['kind']]: (
      held: HeldGrant,
      progress: Extract<GrantProgress, {kind: K}>,
    ) => void;
  } = {
    'prefill-started': held => {
      if (held.phase === 'promised') held.phase = 'prefilling';
    },
    'prefill-done': (held, progress) => {
      if (held.phase === 'decoding' || held.phase === 'prefilled') return;
      onPrefillDone(held, progress.kvSizeBytes, progress.cachedTokens);
      pump();
    },
    'decode-started': held => {
      if (held.phase === 'decoding') return;
      leavePrefill(held);
      held.phase = 'decoding';
      held.tokensAtMs = clock.nowMs();
      pump();
    },
    renew: (held, progress) => noteTokens(held, progress.tokensDelivered),
    ended: onEnded,
  };

  // --- Regular work --------------------------------------------------------

  /** Recomputes how much of each engine may be used now. */
  function refreshLimits(): void {
    const nowMs = clock.nowMs();
    for (const engine of pool.all()) {
      const {description, book} = engine;
      let share = policy.watchHealth
        ? health.share(description.engineId, nowMs)
        : 1;
      let limit = Math.min(description.slots, engine.paceSlots);
      if (share < 1) limit = Math.max(1, Math.floor(limit * share));
      if (isRebuilding()) {
        // A new home does not know yet what the old one promised. It uses
        // engines only after their own report, and half of what that shows
        // free, so two homes together exceed an engine by half of its free
        // slots at most; the engine itself refuses the rest.
        if (book.lastReportMs() === undefined) share = 0;
        const free = Math.max(0, book.freeSlots());
        const usable = Math.floor(free * REBUILD_SHARE);
        limit = Math.min(limit, description.slots - free + usable);
      }
      engine.share = share;
      engine.slotLimit = limit;
    }
  }

  function refreshForecast(): void {
    const nowMs = clock.nowMs();
    for (const engine of pool.decode) engine.endsPerMs = 0;
    for (const held of ledger.all()) {
      if (held.phase !== 'decoding' || !held.decode) continue;
      const intervalMs = held.decode.intervalMs || model.intervalMs();
      const done =
        held.tokensDelivered + (nowMs - held.tokensAtMs) / intervalMs;
      const more = FORECAST_HORIZON_MS / intervalMs;
      const chance = model
        .lengths(held.request.requestClass)
        .endChance(done, more);
      held.decode.endsPerMs += chance / FORECAST_HORIZON_MS;
    }
  }

  /** Fewer slots where tokens come slower than the target, and back. */
  function stepPace(): void {
    const nowMs = clock.nowMs();
    if (!policy.limitPace || nowMs - lastPaceStepMs < PACE_STEP_MS) return;
    lastPaceStepMs = nowMs;
    for (const engine of pool.decode) {
      if (engine.intervalMs === 0) continue;
      const used = engine.book.usedSlots();
      const {slots} = engine.description;
      if (engine.intervalMs > targets.tokenIntervalMs * PACE_HIGH) {
        engine.paceSlots = Math.max(1, Math.min(engine.paceSlots, used) - 1);
      } else if (engine.intervalMs < targets.tokenIntervalMs * PACE_LOW) {
        engine.paceSlots = Math.min(slots, engine.paceSlots + 1);
      }
    }
  }

  function lapse(): void {
    const nowMs = clock.nowMs();
    for (const held of ledger.all()) {
      if (held.lapsesAtMs < nowMs) releaseLater(held);
    }
  }

  function sweep(): void {
    const nowMs = clock.nowMs();
    for (const engine of pool.all()) engine.link.prune(nowMs);
    lapse();
    refreshLimits();
    refreshForecast();
    stepPace();
    dropLate();
    pump();
  }

  function scheduleSweep(): void {
    sweepTimer = clock.setTimer(SWEEP_MS, () => {
      sweep();
      scheduleSweep();
    });
  }

  function forgetEngine(engineId: string): void {
    health.remove(engineId);
    prefixes.forget(engineId);
    for (const held of ledger.all()) {
      if (held.prefill?.description.engineId === engineId) {
        held.prefill = undefined;
      }
      if (held.decode?.description.engineId === engineId) {
        held.decode = undefined;
      }
    }
  }

  scheduleSweep();

  return {
    ask(request, reply) {
      const noTicket: GrantTicket = {cancel() {}};
      if (isStopped) {
        refuse(reply, 'home-moved', 0);
        return noTicket;
      }
      if (pool.prefill.length === 0 || pool.decode.length === 0) {
        refuse(reply, 'no-engine', LINGER_MS);
        return noTicket;
      }
      const {maxConcurrent} = shares.limits(request.account);
      const holds =
        ledger.countOf(request.account) +
        queue.ofAccount(request.account).length;
      if (holds >= maxConcurrent) {
        refuse(reply, 'account-limit', model.meanHoldMs() / maxConcurrent);
        return noTicket;
      }
      const waiting = makeWaiting(request, reply);
      admit(waiting);
      return {
        cancel() {
          queue.remove(waiting);
        },
      };
    },
    report(grantId, progress) {
      const held = ledger.get(grantId);
      if (!held) return;
      held.lapsesAtMs = Math.max(held.lapsesAtMs, clock.nowMs() + lifeMs);
      held.isLingering = false;
      const handle = progressHandlers[progress.kind] as (
        held: HeldGrant,
        progress: GrantProgress,
      ) => void;
      handle(held, progress);
    },
    setEngines(engines) {
      const nowMs = clock.nowMs();
      const {added, removed} = pool.set(engines);
      for (const engineId of removed) forgetEngine(engineId);
      for (const engineId of added) {
        const {role} = pool.get(engineId)!.description;
        // The first list is not a return from failure: no ramp for it.
        health.add(engineId, role, nowMs, !hadEngines);
      }
      if (engines.length > 0) hadEngines = true;
      refreshLimits();
      pump();
    },
    setTuning(nextTargets, wasteWeight, accounts) {
      targets = nextTargets;
      policy = createPolicy(wasteWeight, options.policy);
      shares.setLimits(accounts);
    },
    applyLoadReport(report) {
      const engine = pool.get(report.engineId);
      if (!engine) return;
      if (!engine.book.reconcile(report, clock.nowMs())) return;
      if (report.leaving) engine.isLeaving = true;
      if (isRebuilding()) refreshLimits();
    },
    applyCacheEvents(engineId, events) {
      if (pool.get(engineId)) prefixes.apply(events);
    },
    markLeaving(engineId) {
      const engine = pool.get(engineId);
      if (engine) engine.isLeaving = true;
    },
    engineGone(engineId) {
      if (!pool.remove(engineId)) return;
      forgetEngine(engineId);
      dropLate();
    },
    entryGone(entryTag) {
      for (const held of ledger.all()) {
        if (held.request.owner.entry === entryTag) releaseLater(held);
      }
      const gone = queue
        .items()
        .filter(waiting => waiting.request.owner.entry === entryTag);
      for (const waiting of gone) dropWaiting(waiting, 'cancelled', 0);
    },
    adopt(announced) {
      const {grant, request} = announced;
      if (ledger.get(grant.grantId)) return;
      const nowMs = clock.nowMs();
      const prefill = pool.get(grant.prefillEngineId);
      const decode = pool.get(grant.decodeEngineId);
      const perToken = model.kvBytesPerToken();
      const promptKvBytes = prefillTokens(request) * perToken;
      const kvBytes = promptKvBytes + request.maxTokens * perToken;
      if (!announced.isDecoding) {
        prefill?.book.reserve(grant.grantId, promptKvBytes, nowMs);
      }
      decode?.book.reserve(grant.grantId, kvBytes, nowMs);
      ledger.add({
        grant,
        request,
        prefill: announced.isDecoding ? undefined : prefill,
        decode,
        phase: announced.isDecoding ? 'decoding' : 'promised',
        expectedCached: 0,
        kvBytes,
        promptKvBytes,
        prefillMs: 0,
        grantedAtMs: nowMs,
        lapsesAtMs: nowMs + Math.max(lifeMs, grant.lifeMs),
        tokensDelivered: announced.tokensDelivered,
        tokensAtMs: nowMs,
      });
    },
    summary() {
      const nowMs = clock.nowMs();
      const capacity = readCapacity(pool, nowMs);
      const ahead = queue.workBefore(Number.MAX_SAFE_INTEGER);
      const meanKv =
        capacity.usedSlots > 0 ? capacity.usedKvBytes / capacity.usedSlots : 0;
      const waitMs = forecastWaitMs(
        capacity,
        ahead,
        meanKv,
        model.meanHoldMs(),
      );
      return {
        shardId: options.shardId,
        service: options.service,
        homeEpoch: options.homeEpoch,
        freeSlots: Math.max(0, capacity.freeSlots),
        totalSlots: pool.decode.reduce(
          (sum, each) => sum + each.description.slots,
          0,
        ),
        queued: queue.size(),
        waitMs: Math.round(Math.min(waitMs, Number.MAX_SAFE_INTEGER)),
        prefillEngines: pool.prefill.length,
        decodeEngines: pool.decode.length,
        ejected: health.ejectedCount(nowMs),
      };
    },
    books() {
      return [...pool.all()].map(engine => ({
        engineId: engine.description.engineId,
        usedSlots: engine.book.usedSlots(),
        usedKvBytes: engine.book.usedKvBytes(),
        kvBytes: engine.description.kvBytes,
        isUsable: engine.share > 0 && !engine.isLeaving,
      }));
    },
    stop() {
      isStopped = true;
      if (sweepTimer) clock.clearTimer(sweepTimer);
      if (pumpTimer) clock.clearTimer(pumpTimer);
      for (const waiting of [...queue.items()]) {
        dropWaiting(waiting, 'home-moved', 0);
      }
    },
  };
}
