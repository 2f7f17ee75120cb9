/**
 * One run: seeded arrivals, an entry that carries out grants against the
 * engine fakes, and a closed book over every request.
 */

import {createSeededRandom} from '../../src/core/seeded_random.js';
import {
  createVirtualClock,
  type VirtualClock,
} from '../../src/core/virtual_clock.js';
import type {EngineDescription} from '../../src/core/scheduling/engine_reservations.js';
import type {
  Grant,
  GrantRefusal,
  GrantRequest,
} from '../../src/ports/grants.js';
import type {GrantTicket} from '../../src/scheduling/dispatcher_types.js';
import {bestSplit, type Capacity} from './capacity_bound.js';
import {
  createDecodeFake,
  createPrefillFake,
  ENGINE,
  type DecodeFake,
  type PrefillFake,
} from './engine_fakes.js';
import type {FaultPlan} from './faults.js';
import {createMetrics, type RunResult} from './metrics.js';
import type {Scheduler, SchedulerFactory} from './scheduler.js';
import {drawArrivals, type Arrival, type Shape} from './workload.js';

export interface RunPlan {
  readonly shape: Shape;
  readonly seed: number;
  /** Offered rate as a multiple of capacity. */
  readonly load: number;
  readonly durationMs: number;
  readonly warmUpMs: number;
  readonly reportLagMs: number;
  readonly cacheLossShare: number;
  readonly cancelShare: number;
  /** How often a refused caller comes back, at the time it was told. */
  readonly returns: number;
  readonly faults: FaultPlan;
}

export const DEFAULT_PLAN = {
  durationMs: 120_000,
  warmUpMs: 30_000,
  reportLagMs: 1_000,
  cacheLossShare: 0.05,
  cancelShare: 0,
  returns: 0,
} as const;

const ENTRY_TO_HOME_MS = 1.5;
const ENTRY_TO_ENGINE_MS = 1.5;
/** Callers are three milliseconds away, each way. */
const CALLER_ROUND_TRIP_MS = 6;
const REPORT_EVERY_MS = 200;
const CAPACITY_EVERY_MS = 1_000;
const CACHE_EVENTS_EVERY_MS = 500;
const IMPORT_RETRY_MS = 20;
const RENEW_MS = 1_000;
const MAX_ASKS = 3;
const DRAIN_MS = 400_000;
const DRAIN_STEP_MS = 5_000;
const PREFILL_KV_BYTES = 40_000_000_000;

/** Where one request stands; the closed book counts these. */
type Step = 'asking' | 'prefilling' | 'importing' | 'decoding' | 'ended';

export interface Cluster {
  readonly prefills: ReadonlyMap<string, PrefillFake>;
  readonly decodes: ReadonlyMap<string, DecodeFake>;
  readonly descriptions: readonly EngineDescription[];
}

function makeCluster(
  clock: ReturnType<typeof createVirtualClock>,
  shape: Shape,
  capacity: Capacity,
): Cluster {
  const prefills = new Map<string, PrefillFake>();
  const decodes = new Map<string, DecodeFake>();
  const descriptions: EngineDescription[] = [];
  for (let i = 0; i < shape.engines; i++) {
    const isPrefill = i < capacity.prefillEngines;
    const engineId = `${isPrefill ? 'prefill' : 'decode'}-${i}`;
    const kvBytes = isPrefill ? PREFILL_KV_BYTES : capacity.decodeKvBytes;
    descriptions.push({
      engineId,
      address: `${engineId}:1`,
      role: isPrefill ? 'prefill' : 'decode',
      failureDomain: shape.domains[i % shape.domains.length],
      models: [],
      slots: isPrefill ? ENGINE.prefillPlaces : ENGINE.decodeSlots,
      kvBytes,
      linkBytesPerMs: ENGINE.linkBytesPerMs,
    });
    if (isPrefill) {
      prefills.set(engineId, createPrefillFake(clock, engineId, kvBytes));
    } else {
      decodes.set(engineId, createDecodeFake(clock, engineId, kvBytes));
    }
  }
  return {prefills, decodes, descriptions};
}

interface Running {
  readonly arrival: Arrival;
  step: Step;
  asks: number;
  ticket?: GrantTicket;
  grant?: Grant;
  decodeId?: string;
  tokens: number;
  firstTokenAtMs?: number;
  lastTokenAtMs?: number;
  /** Guards against events of an earlier attempt. */
  attempt: number;
}

/** One run, set up and not yet started. */
interface PreparedRun {
  readonly clock: VirtualClock;
  readonly totalMs: number;
  hasLive(): boolean;
  result(): RunResult;
}

/** Runs at full speed; for policies that answer without promises. */
export function runOnce(plan: RunPlan, factory: SchedulerFactory): RunResult {
  const run = prepareRun(plan, factory);
  run.clock.advanceSync(run.totalMs);
  // Lets everything end; the books may close a moment after the last answer.
  for (let ms = 0; ms < DRAIN_MS && run.hasLive(); ms += DRAIN_STEP_MS) {
    run.clock.advanceSync(DRAIN_STEP_MS);
  }
  run.clock.advanceSync(2 * DRAIN_STEP_MS);
  return run.result();
}

/** As `runOnce`, letting promises settle after each timer. */
export async function runOnceAsync(
  plan: RunPlan,
  factory: SchedulerFactory,
): Promise<RunResult> {
  const run = prepareRun(plan, factory);
  await run.clock.advance(run.totalMs);
  for (let ms = 0; ms < DRAIN_MS && run.hasLive(); ms += DRAIN_STEP_MS) {
    await run.clock.advance(DRAIN_STEP_MS);
  }
  await run.clock.advance(2 * DRAIN_STEP_MS);
  return run.result();
}

function prepareRun(plan: RunPlan, factory: SchedulerFactory): PreparedRun {
  const {shape} = plan;
  const clock = createVirtualClock();
  const random = createSeededRandom(plan.seed);
  const policyRandom = createSeededRandom(plan.seed + 7_919);
  const capacity = bestSplit(shape);
  const cluster = makeCluster(clock, shape, capacity);
  const scheduler: Scheduler = factory(clock, policyRandom, shape);
  const metrics = createMetrics(plan, capacity);
  const live = new Set<Running>();
  scheduler.setEngines(cluster.descriptions);

  const later = (delayMs: number, run: () => void) =>
    clock.setTimer(delayMs, run);
  const send = (run: () => void) => later(ENTRY_TO_HOME_MS, run);

  function finish(request: Running, outcome: string): void {
    request.step = 'ended';
    live.delete(request);
    metrics.ended({
      arrival: request.arrival,
      outcome,
      endedAtMs: clock.nowMs(),
      firstTokenAtMs: request.firstTokenAtMs,
      lastTokenAtMs: request.lastTokenAtMs,
      tokens: request.tokens,
    });
  }

  function toGrantRequest(request: Running): GrantRequest {
    const {arrival} = request;
    const usedMs = clock.nowMs() - arrival.atMs;
    const hasStarted = request.firstTokenAtMs !== undefined;
    return {
      owner: {
        entry: 'entry#1',
        requestId: `r${arrival.id}`,
        attemptId: `r${arrival.id}.${request.attempt}`,
      },
      service: shape.service,
      account: arrival.account,
      requestClass: arrival.requestClass,
      promptTokenCount: arrival.promptTokens,
      maxTokens: arrival.maxTokens,
      prefixHashes: arrival.prefixHashes,
      ttftLeftMs: hasStarted ? arrival.ttftMs : arrival.ttftMs - usedMs,
      waitLeftMs: arrival.waitMs - usedMs,
      resumeOffset: request.tokens,
    };
  }

  function ask(request: Running): void {
    request.step = 'asking';
    request.asks++;
    request.attempt++;
    const {attempt} = request;
    send(() => {
      if (request.step === 'ended' || request.attempt !== attempt) return;
      request.ticket = scheduler.ask(toGrantRequest(request), outcome =>
        send(() => onOutcome(request, attempt, outcome)),
      );
    });
  }

  function onOutcome(
    request: Running,
    attempt: number,
    outcome: Grant | GrantRefusal,
  ): void {
    const isStale = request.step === 'ended' || request.attempt !== attempt;
    if (outcome.kind === 'refused') {
      if (isStale) return;
      finish(request, `refused:${outcome.reason}`);
      comeBack(request, outcome.retryAfterMs);
      return;
    }
    if (isStale) {
      // The caller hung up while the grant was on its way.
      reportEnd(outcome, 'cancelled', request.tokens, false);
      return;
    }
    request.grant = outcome;
    request.decodeId = outcome.decodeEngineId;
    later(Math.max(outcome.startInMs, ENTRY_TO_ENGINE_MS), () =>
      startPrefill(request, outcome),
    );
  }

  /** A refused caller asks anew, with fresh targets, when it was told to. */
  function comeBack(request: Running, retryAfterMs: number): void {
    const {arrival} = request;
    const atMs = clock.nowMs() + retryAfterMs;
    const lastMs = plan.warmUpMs + plan.durationMs;
    if (arrival.returnCount >= plan.returns || atMs >= lastMs) return;
    later(retryAfterMs, () =>
      start({
        ...arrival,
        id: nextId++,
        atMs,
        returnCount: arrival.returnCount + 1,
      }),
    );
  }

  function reportEnd(
    grant: Grant,
    result: 'whole' | 'cancelled' | 'failed',
    tokensDelivered: number,
    prefillWasted: boolean,
    failedEngineId?: string,
  ): void {
    send(() =>
      scheduler.report(grant.grantId, {
        kind: 'ended',
        result,
        tokensDelivered,
        prefillWasted,
        failedEngineId,
      }),
    );
  }

  function isCurrent(request: Running, grant: Grant): boolean {
    return request.step !== 'ended' && request.grant === grant;
  }

  function startPrefill(request: Running, grant: Grant): void {
    if (!isCurrent(request, grant)) return;
    request.step = 'prefilling';
    const engine = cluster.prefills.get(grant.prefillEngineId)!;
    send(() => scheduler.report(grant.grantId, {kind: 'prefill-started'}));
    engine.submit({
      requestId: `r${request.arrival.id}`,
      promptTokens: request.arrival.promptTokens + request.tokens,
      prefixHashes: request.arrival.prefixHashes,
      done: cachedTokens => onPrefilled(request, grant, cachedTokens),
      died: () =>
        later(ENTRY_TO_ENGINE_MS, () =>
          retry(request, grant, grant.prefillEngineId, false),
        ),
    });
  }

  function onPrefilled(
    request: Running,
    grant: Grant,
    cachedTokens: number,
  ): void {
    const tokens = request.arrival.promptTokens + request.tokens;
    metrics.prefilled(request.arrival, tokens - cachedTokens, cachedTokens);
    if (!isCurrent(request, grant)) {
      metrics.wasted(request.arrival, tokens - cachedTokens, true);
      return;
    }
    request.step = 'importing';
    const kvSizeBytes = tokens * ENGINE.kvBytesPerToken;
    later(ENTRY_TO_ENGINE_MS + ENTRY_TO_HOME_MS, () =>
      scheduler.report(grant.grantId, {
        kind: 'prefill-done',
        kvSizeBytes,
        cachedTokens,
      }),
    );
    const expiresAtMs = clock.nowMs() + ENGINE.resultLifeMs;
    const spent = tokens - cachedTokens;
    later(2 * ENTRY_TO_ENGINE_MS, () =>
      tryImport(request, grant, kvSizeBytes, expiresAtMs, spent),
    );
  }

  /** Pulls the result over both links, once the engine has room. */
  function tryImport(
    request: Running,
    grant: Grant,
    kvSizeBytes: number,
    expiresAtMs: number,
    spentTokens: number,
  ): void {
    const waste = () => metrics.wasted(request.arrival, spentTokens, true);
    if (!isCurrent(request, grant)) {
      waste();
      return;
    }
    const nowMs = clock.nowMs();
    const source = cluster.prefills.get(grant.prefillEngineId)!;
    const target = cluster.decodes.get(request.decodeId!)!;
    if (!source.isAlive() || !target.isAlive()) {
      waste();
      const blamed = source.isAlive() ? target.engineId : source.engineId;
      retry(request, grant, blamed, true);
      return;
    }
    const startMs = Math.max(nowMs, source.linkFreeAtMs, target.linkFreeAtMs);
    if (nowMs >= expiresAtMs || startMs >= expiresAtMs) {
      waste();
      reportEnd(grant, 'failed', request.tokens, true);
      finish(request, 'failed:result-expired');
      return;
    }
    const requestId = `r${request.arrival.id}`;
    const answerBytes =
      (request.arrival.maxTokens - request.tokens) * ENGINE.kvBytesPerToken;
    if (!target.reserve(requestId, kvSizeBytes + answerBytes)) {
      if (scheduler.repick)
        request.decodeId = scheduler.repick(target.engineId);
      later(IMPORT_RETRY_MS, () =>
        tryImport(request, grant, kvSizeBytes, expiresAtMs, spentTokens),
      );
      return;
    }
    const endMs = startMs + kvSizeBytes / ENGINE.linkBytesPerMs;
    source.linkFreeAtMs = endMs;
    target.linkFreeAtMs = endMs;
    later(endMs - nowMs, () => {
      if (!isCurrent(request, grant)) {
        waste();
        target.cancel(requestId);
        return;
      }
      if (!target.isAlive() || !source.isAlive()) {
        waste();
        target.cancel(requestId);
        const blamed = source.isAlive() ? target.engineId : source.engineId;
        retry(request, grant, blamed, true);
        return;
      }
      startDecode(request, grant, target, spentTokens);
    });
  }

  function startDecode(
    request: Running,
    grant: Grant,
    target: DecodeFake,
    spentTokens: number,
  ): void {
    request.step = 'decoding';
    const {arrival} = request;
    const tokensBefore = request.tokens;
    send(() => scheduler.report(grant.grantId, {kind: 'decode-started'}));
    const renew = () => {
      if (!isCurrent(request, grant)) return;
      const tokensDelivered = request.tokens;
      send(() =>
        scheduler.report(grant.grantId, {kind: 'renew', tokensDelivered}),
      );
      later(RENEW_MS, renew);
    };
    later(RENEW_MS, renew);
    target.start({
      requestId: `r${arrival.id}`,
      kvBytes: 0,
      answerTokens: arrival.answerTokens,
      tokens: request.tokens,
      onToken(count, intervalMs) {
        request.tokens = count;
        request.firstTokenAtMs ??= clock.nowMs() + CALLER_ROUND_TRIP_MS;
        request.lastTokenAtMs = clock.nowMs() + CALLER_ROUND_TRIP_MS;
        metrics.token(arrival, intervalMs);
      },
      onEnd() {
        reportEnd(grant, 'whole', request.tokens, false);
        finish(request, 'whole');
      },
      onDeath() {
        const isWasted = request.tokens === tokensBefore;
        if (isWasted) metrics.wasted(arrival, spentTokens, true);
        later(ENTRY_TO_ENGINE_MS, () =>
          retry(request, grant, target.engineId, isWasted),
        );
      },
    });
  }

  /** After an engine's failure: another grant, from where the answer is. */
  function retry(
    request: Running,
    grant: Grant,
    failedEngineId: string,
    isWasted: boolean,
  ): void {
    if (!isCurrent(request, grant)) return;
    reportEnd(grant, 'failed', request.tokens, isWasted, failedEngineId);
    request.grant = undefined;
    if (request.asks >= MAX_ASKS) finish(request, 'failed:engines');
    else ask(request);
  }

  /** The caller hangs up, or its whole wait has passed. */
  function giveUp(request: Running, outcome: string): void {
    if (request.step === 'ended') return;
    request.ticket?.cancel();
    const {grant} = request;
    if (grant) {
      const requestId = `r${request.arrival.id}`;
      const spent = cluster.prefills
        .get(grant.prefillEngineId)!
        .cancel(requestId);
      if (spent > 0) metrics.wasted(request.arrival, spent, false);
      if (request.step === 'decoding') {
        cluster.decodes.get(request.decodeId!)!.cancel(requestId);
      }
      const isWasted = spent > 0 || request.step === 'importing';
      reportEnd(grant, 'cancelled', request.tokens, isWasted);
    }
    finish(request, outcome);
  }

  function start(arrival: Arrival): void {
    metrics.started(arrival);
    const request: Running = {
      arrival,
      step: 'asking',
      asks: 0,
      tokens: 0,
      attempt: 0,
    };
    live.add(request);
    ask(request);
    later(arrival.waitMs, () => giveUp(request, 'failed:wait-passed'));
    if (arrival.cancelAtMs !== undefined) {
      const {cancelAtMs} = arrival;
      later(cancelAtMs - arrival.atMs, () => giveUp(request, 'cancelled'));
    }
  }

  /** What the healthy engines could carry: the bound under faults. */
  function noteCapacity(): void {
    const count = (engines: Iterable<PrefillFake | DecodeFake>) =>
      [...engines].filter(each => each.isAlive() && each.slowness === 1).length;
    const prefillShare =
      count(cluster.prefills.values()) / capacity.prefillEngines;
    const decodeShare =
      count(cluster.decodes.values()) / capacity.decodeEngines;
    metrics.noteCapacity(
      clock.nowMs(),
      Math.min(
        capacity.byPrefill * prefillShare,
        capacity.bySlots * decodeShare,
        capacity.byMemory * decodeShare,
        capacity.byLinks * Math.min(prefillShare, decodeShare),
      ),
    );
    const untilMs = plan.durationMs + plan.warmUpMs;
    if (clock.nowMs() + CAPACITY_EVERY_MS < untilMs) {
      later(CAPACITY_EVERY_MS, noteCapacity);
    }
  }

  function publishReports(sequence: number): void {
    for (const engine of [
      ...cluster.prefills.values(),
      ...cluster.decodes.values(),
    ]) {
      if (!engine.isAlive()) continue;
      const report = engine.report(sequence);
      later(plan.reportLagMs, () => scheduler.applyLoadReport(report));
    }
    if (clock.nowMs() < plan.durationMs + plan.warmUpMs) {
      later(REPORT_EVERY_MS, () => publishReports(sequence + 1));
    }
  }

  function publishCacheEvents(): void {
    for (const engine of cluster.prefills.values()) {
      const kept = engine
        .takeCacheEvents()
        .filter(() => random.nextFloat() >= plan.cacheLossShare);
      if (kept.length === 0) continue;
      later(plan.reportLagMs, () =>
        scheduler.applyCacheEvents(engine.engineId, kept),
      );
    }
    if (clock.nowMs() < plan.durationMs + plan.warmUpMs) {
      later(CACHE_EVENTS_EVERY_MS, publishCacheEvents);
    }
  }

  const arrivals = drawArrivals(
    {
      shape,
      ratePerSecond: plan.load * capacity.ratePerSecond,
      durationMs: plan.warmUpMs + plan.durationMs,
      cancelShare: plan.cancelShare,
    },
    random,
  );
  let nextId = arrivals.length;
  for (const arrival of arrivals) later(arrival.atMs, () => start(arrival));
  publishReports(1);
  noteCapacity();
  publishCacheEvents();
  plan.faults.schedule({clock, cluster, scheduler, random});
  function result(): RunResult {
    const openBooks = scheduler
      .engineUsage()
      .filter(book => book.usedSlots > 0 || Math.abs(book.usedKvBytes) > 1);
    scheduler.stop();
    return metrics.result(nextId, live.size, openBooks.length, cluster);
  }

  return {
    clock,
    totalMs: plan.warmUpMs + plan.durationMs,
    hasLive: () => live.size > 0,
    result,
  };
}
