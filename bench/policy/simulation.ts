/**
 * One simulated run: seeded arrivals and an entry that executes grants on the
 * fake engines. Every request is tracked until it ends.
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
import type {Cluster, RunPlan} from './run_plan.js';
import {createMetrics, type RunResult} from './metrics.js';
import type {Scheduler, SchedulerFactory} from './scheduler.js';
import {drawArrivals, type Arrival, type Shape} from './workload.js';

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
/** A latency of 3 ms in each direction. */
const CALLER_ROUND_TRIP_MS = 6;
const REPORT_EVERY_MS = 200;
const CAPACITY_EVERY_MS = 1_000;
const CACHE_EVENTS_EVERY_MS = 500;
const IMPORT_RETRY_MS = 20;
const RENEW_INTERVAL_MS = 1_000;
const MAX_GRANT_REQUESTS = 3;
const DRAIN_MS = 400_000;
const DRAIN_STEP_MS = 5_000;
const PREFILL_KV_BYTES = 40_000_000_000;

/** The stage that a request has reached. */
type Step = 'asking' | 'prefilling' | 'importing' | 'decoding' | 'ended';

function createCluster(
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
      slots: isPrefill ? ENGINE.prefillQueueSlots : ENGINE.decodeSlots,
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

interface ActiveRequest {
  readonly arrival: Arrival;
  step: Step;
  grantRequestCount: number;
  ticket?: GrantTicket;
  grant?: Grant;
  decodeId?: string;
  tokens: number;
  firstTokenAtMs?: number;
  lastTokenAtMs?: number;
  /** Identifies the current attempt; events of earlier ones are ignored. */
  attempt: number;
}

/** A run that is set up but not started yet. */
interface PreparedRun {
  readonly clock: VirtualClock;
  readonly totalMs: number;
  hasActiveRequests(): boolean;
  result(): RunResult;
}

/** Runs synchronously, for schedulers that reply without promises. */
export function runOnce(plan: RunPlan, factory: SchedulerFactory): RunResult {
  const run = prepareRun(plan, factory);
  run.clock.advanceSync(run.totalMs);
  // Reservations may be released shortly after the last answer ends.
  for (
    let ms = 0;
    ms < DRAIN_MS && run.hasActiveRequests();
    ms += DRAIN_STEP_MS
  ) {
    run.clock.advanceSync(DRAIN_STEP_MS);
  }
  run.clock.advanceSync(2 * DRAIN_STEP_MS);
  return run.result();
}

/** As `runOnce`, but lets promises settle after each timer. */
export async function runOnceAsync(
  plan: RunPlan,
  factory: SchedulerFactory,
): Promise<RunResult> {
  const run = prepareRun(plan, factory);
  await run.clock.advance(run.totalMs);
  for (
    let ms = 0;
    ms < DRAIN_MS && run.hasActiveRequests();
    ms += DRAIN_STEP_MS
  ) {
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
  const cluster = createCluster(clock, shape, capacity);
  const scheduler: Scheduler = factory(clock, policyRandom, shape);
  const metrics = createMetrics(plan, capacity);
  const activeRequests = new Set<ActiveRequest>();
  scheduler.setEngines(cluster.descriptions);

  const schedule = (delayMs: number, run: () => void) =>
    clock.setTimer(delayMs, run);
  const scheduleAfterHomeDelay = (run: () => void) =>
    schedule(ENTRY_TO_HOME_MS, run);

  function finish(request: ActiveRequest, outcome: string): void {
    request.step = 'ended';
    activeRequests.delete(request);
    metrics.ended({
      arrival: request.arrival,
      outcome,
      endedAtMs: clock.nowMs(),
      firstTokenAtMs: request.firstTokenAtMs,
      lastTokenAtMs: request.lastTokenAtMs,
      tokens: request.tokens,
    });
  }

  function toGrantRequest(request: ActiveRequest): GrantRequest {
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

  function requestGrant(request: ActiveRequest): void {
    request.step = 'asking';
    request.grantRequestCount++;
    request.attempt++;
    const {attempt} = request;
    scheduleAfterHomeDelay(() => {
      if (request.step === 'ended' || request.attempt !== attempt) return;
      request.ticket = scheduler.ask(toGrantRequest(request), outcome =>
        scheduleAfterHomeDelay(() => onOutcome(request, attempt, outcome)),
      );
    });
  }

  function onOutcome(
    request: ActiveRequest,
    attempt: number,
    outcome: Grant | GrantRefusal,
  ): void {
    const isStale = request.step === 'ended' || request.attempt !== attempt;
    if (outcome.kind === 'refused') {
      if (isStale) return;
      finish(request, `refused:${outcome.reason}`);
      scheduleReturn(request, outcome.retryAfterMs);
      return;
    }
    if (isStale) {
      // The request ended or was retried before the grant arrived.
      reportEnd(outcome, 'cancelled', request.tokens, false);
      return;
    }
    request.grant = outcome;
    request.decodeId = outcome.decodeEngineId;
    schedule(Math.max(outcome.startInMs, ENTRY_TO_ENGINE_MS), () =>
      startPrefill(request, outcome),
    );
  }

  /** Schedules a new request of a refused caller, with new targets. */
  function scheduleReturn(request: ActiveRequest, retryAfterMs: number): void {
    const {arrival} = request;
    const atMs = clock.nowMs() + retryAfterMs;
    const lastMs = plan.warmUpMs + plan.durationMs;
    if (arrival.returnCount >= plan.returns || atMs >= lastMs) return;
    schedule(retryAfterMs, () =>
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
    scheduleAfterHomeDelay(() =>
      scheduler.report(grant.grantId, {
        kind: 'ended',
        result,
        tokensDelivered,
        prefillWasted,
        failedEngineId,
      }),
    );
  }

  function isCurrent(request: ActiveRequest, grant: Grant): boolean {
    return request.step !== 'ended' && request.grant === grant;
  }

  function startPrefill(request: ActiveRequest, grant: Grant): void {
    if (!isCurrent(request, grant)) return;
    request.step = 'prefilling';
    const engine = cluster.prefills.get(grant.prefillEngineId)!;
    scheduleAfterHomeDelay(() =>
      scheduler.report(grant.grantId, {kind: 'prefill-started'}),
    );
    engine.submit({
      requestId: `r${request.arrival.id}`,
      promptTokens: request.arrival.promptTokens + request.tokens,
      prefixHashes: request.arrival.prefixHashes,
      onDone: cachedTokens => onPrefilled(request, grant, cachedTokens),
      onDeath: () =>
        schedule(ENTRY_TO_ENGINE_MS, () =>
          retry(request, grant, grant.prefillEngineId, false),
        ),
    });
  }

  function onPrefilled(
    request: ActiveRequest,
    grant: Grant,
    cachedTokens: number,
  ): void {
    const tokens = request.arrival.promptTokens + request.tokens;
    metrics.prefilled(request.arrival, tokens - cachedTokens, cachedTokens);
    if (!isCurrent(request, grant)) {
      metrics.recordWastedPrefill(request.arrival, tokens - cachedTokens, true);
      return;
    }
    request.step = 'importing';
    const kvSizeBytes = tokens * ENGINE.kvBytesPerToken;
    schedule(ENTRY_TO_ENGINE_MS + ENTRY_TO_HOME_MS, () =>
      scheduler.report(grant.grantId, {
        kind: 'prefill-done',
        kvSizeBytes,
        cachedTokens,
      }),
    );
    const expiresAtMs = clock.nowMs() + ENGINE.prefillResultLifetimeMs;
    const spent = tokens - cachedTokens;
    schedule(2 * ENTRY_TO_ENGINE_MS, () =>
      tryImport(request, grant, kvSizeBytes, expiresAtMs, spent),
    );
  }

  /** Transfers the result over both links once the decode engine has capacity. */
  function tryImport(
    request: ActiveRequest,
    grant: Grant,
    kvSizeBytes: number,
    expiresAtMs: number,
    spentTokens: number,
  ): void {
    const recordWaste = () =>
      metrics.recordWastedPrefill(request.arrival, spentTokens, true);
    if (!isCurrent(request, grant)) {
      recordWaste();
      return;
    }
    const nowMs = clock.nowMs();
    const source = cluster.prefills.get(grant.prefillEngineId)!;
    const target = cluster.decodes.get(request.decodeId!)!;
    if (!source.isAlive() || !target.isAlive()) {
      recordWaste();
      const failedEngineId = source.isAlive()
        ? target.engineId
        : source.engineId;
      retry(request, grant, failedEngineId, true);
      return;
    }
    const startMs = Math.max(nowMs, source.linkFreeAtMs, target.linkFreeAtMs);
    if (nowMs >= expiresAtMs || startMs >= expiresAtMs) {
      recordWaste();
      reportEnd(grant, 'failed', request.tokens, true);
      finish(request, 'failed:result-expired');
      return;
    }
    const requestId = `r${request.arrival.id}`;
    const answerBytes =
      (request.arrival.maxTokens - request.tokens) * ENGINE.kvBytesPerToken;
    if (!target.reserve(requestId, kvSizeBytes + answerBytes)) {
      if (scheduler.pickOtherDecodeEngine)
        request.decodeId = scheduler.pickOtherDecodeEngine(target.engineId);
      schedule(IMPORT_RETRY_MS, () =>
        tryImport(request, grant, kvSizeBytes, expiresAtMs, spentTokens),
      );
      return;
    }
    const endMs = startMs + kvSizeBytes / ENGINE.linkBytesPerMs;
    source.linkFreeAtMs = endMs;
    target.linkFreeAtMs = endMs;
    schedule(endMs - nowMs, () => {
      if (!isCurrent(request, grant)) {
        recordWaste();
        target.cancel(requestId);
        return;
      }
      if (!target.isAlive() || !source.isAlive()) {
        recordWaste();
        target.cancel(requestId);
        const failedEngineId = source.isAlive()
          ? target.engineId
          : source.engineId;
        retry(request, grant, failedEngineId, true);
        return;
      }
      startDecode(request, grant, target, spentTokens);
    });
  }

  function startDecode(
    request: ActiveRequest,
    grant: Grant,
    target: DecodeFake,
    spentTokens: number,
  ): void {
    request.step = 'decoding';
    const {arrival} = request;
    const tokensBefore = request.tokens;
    scheduleAfterHomeDelay(() =>
      scheduler.report(grant.grantId, {kind: 'decode-started'}),
    );
    const renew = () => {
      if (!isCurrent(request, grant)) return;
      const tokensDelivered = request.tokens;
      scheduleAfterHomeDelay(() =>
        scheduler.report(grant.grantId, {kind: 'renew', tokensDelivered}),
      );
      schedule(RENEW_INTERVAL_MS, renew);
    };
    schedule(RENEW_INTERVAL_MS, renew);
    target.start({
      requestId: `r${arrival.id}`,
      kvBytes: 0,
      answerTokens: arrival.answerTokens,
      tokens: request.tokens,
      onToken(count, intervalMs) {
        request.tokens = count;
        request.firstTokenAtMs ??= clock.nowMs() + CALLER_ROUND_TRIP_MS;
        request.lastTokenAtMs = clock.nowMs() + CALLER_ROUND_TRIP_MS;
        metrics.recordTokenInterval(arrival, intervalMs);
      },
      onEnd() {
        reportEnd(grant, 'whole', request.tokens, false);
        finish(request, 'whole');
      },
      onDeath() {
        const isWasted = request.tokens === tokensBefore;
        if (isWasted) metrics.recordWastedPrefill(arrival, spentTokens, true);
        schedule(ENTRY_TO_ENGINE_MS, () =>
          retry(request, grant, target.engineId, isWasted),
        );
      },
    });
  }

  /** Requests another grant after an engine failure, to resume the answer. */
  function retry(
    request: ActiveRequest,
    grant: Grant,
    failedEngineId: string,
    isWasted: boolean,
  ): void {
    if (!isCurrent(request, grant)) return;
    reportEnd(grant, 'failed', request.tokens, isWasted, failedEngineId);
    request.grant = undefined;
    if (request.grantRequestCount >= MAX_GRANT_REQUESTS)
      finish(request, 'failed:engines');
    else requestGrant(request);
  }

  /** Ends a request whose caller disconnected or whose wait has expired. */
  function abandon(request: ActiveRequest, outcome: string): void {
    if (request.step === 'ended') return;
    request.ticket?.cancel();
    const {grant} = request;
    if (grant) {
      const requestId = `r${request.arrival.id}`;
      const spent = cluster.prefills
        .get(grant.prefillEngineId)!
        .cancel(requestId);
      if (spent > 0) metrics.recordWastedPrefill(request.arrival, spent, false);
      if (request.step === 'decoding') {
        cluster.decodes.get(request.decodeId!)!.cancel(requestId);
      }
      const isWasted = spent > 0 || request.step === 'importing';
      reportEnd(grant, 'cancelled', request.tokens, isWasted);
    }
    finish(request, outcome);
  }

  function start(arrival: Arrival): void {
    metrics.recordStart(arrival);
    const request: ActiveRequest = {
      arrival,
      step: 'asking',
      grantRequestCount: 0,
      tokens: 0,
      attempt: 0,
    };
    activeRequests.add(request);
    requestGrant(request);
    schedule(arrival.waitMs, () => abandon(request, 'failed:wait-passed'));
    if (arrival.cancelAtMs !== undefined) {
      const {cancelAtMs} = arrival;
      schedule(cancelAtMs - arrival.atMs, () => abandon(request, 'cancelled'));
    }
  }

  /** Records the rate that the healthy engines can serve: the bound under faults. */
  function recordCapacity(): void {
    const count = (engines: Iterable<PrefillFake | DecodeFake>) =>
      [...engines].filter(each => each.isAlive() && each.slowness === 1).length;
    const prefillShare =
      count(cluster.prefills.values()) / capacity.prefillEngines;
    const decodeShare =
      count(cluster.decodes.values()) / capacity.decodeEngines;
    metrics.recordCapacity(
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
      schedule(CAPACITY_EVERY_MS, recordCapacity);
    }
  }

  function publishReports(sequence: number): void {
    for (const engine of [
      ...cluster.prefills.values(),
      ...cluster.decodes.values(),
    ]) {
      if (!engine.isAlive()) continue;
      const report = engine.report(sequence);
      schedule(plan.reportLagMs, () => scheduler.applyLoadReport(report));
    }
    if (clock.nowMs() < plan.durationMs + plan.warmUpMs) {
      schedule(REPORT_EVERY_MS, () => publishReports(sequence + 1));
    }
  }

  function publishCacheEvents(): void {
    for (const engine of cluster.prefills.values()) {
      const deliveredEvents = engine
        .takeCacheEvents()
        .filter(() => random.nextFloat() >= plan.cacheLossShare);
      if (deliveredEvents.length === 0) continue;
      schedule(plan.reportLagMs, () =>
        scheduler.applyCacheEvents(engine.engineId, deliveredEvents),
      );
    }
    if (clock.nowMs() < plan.durationMs + plan.warmUpMs) {
      schedule(CACHE_EVENTS_EVERY_MS, publishCacheEvents);
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
  for (const arrival of arrivals) schedule(arrival.atMs, () => start(arrival));
  publishReports(1);
  recordCapacity();
  publishCacheEvents();
  plan.faults.schedule({clock, cluster, scheduler, random});
  function result(): RunResult {
    const openReservations = scheduler
      .engineUsage()
      .filter(usage => usage.usedSlots > 0 || Math.abs(usage.usedKvBytes) > 1);
    scheduler.stop();
    return metrics.result(
      nextId,
      activeRequests.size,
      openReservations.length,
      cluster,
    );
  }

  return {
    clock,
    totalMs: plan.warmUpMs + plan.durationMs,
    hasActiveRequests: () => activeRequests.size > 0,
    result,
  };
}
