/**
 * The dispatcher of one shard of engines. It replies through callbacks, so that
 * it can run in virtual time (on a simulated clock); `shard_home.ts` offers it
 * through promises.
 */

import {forecastWaitMs, readCapacity} from '../core/scheduling/admission.js';
import type {TimerHandle} from '../ports/clock.js';
import type {GrantRequest} from '../ports/grants.js';
import type {
  AnnouncedGrant,
  Dispatcher,
  DispatcherHost,
  DispatcherOptions,
  GrantReply,
  GrantTicket,
  ShardSummary,
} from './dispatcher_types.js';
import {refreshForecast, refreshLimits, adjustSlots} from './engine_limits.js';
import {createGrantTracker} from './grant_tracker.js';
import {createGrantIssuer} from './grant_issuer.js';
import {createGrantQueue} from './grant_queue.js';
import {estimateRequest, prefillTokens} from './request_estimates.js';
import {
  createShardPolicy,
  createShardState,
  isRebuilding,
  type ShardState,
} from './shard_state.js';

export type {AnnouncedGrant, ShardSummary} from './dispatcher_types.js';

const SWEEP_INTERVAL_MS = 100;
const SWEEPS_PER_SLOT_ADJUSTMENT = 5;
const NO_ENGINE_RETRY_MS = 1_000;
const NO_TICKET: GrantTicket = {cancel() {}};

/**
 * Records a grant that an earlier home gave, and reserves its capacity on its
 * engines.
 */
function adoptGrant(state: ShardState, announced: AnnouncedGrant): void {
  const {grant, request, isDecoding, tokensDelivered} = announced;
  if (state.ledger.get(grant.grantId)) return;
  const nowMs = state.clock.nowMs();
  const prefill = state.pool.get(grant.prefillEngineId);
  const decode = state.pool.get(grant.decodeEngineId);
  const perToken = state.model.kvBytesPerToken();
  const promptKvBytes = prefillTokens(request) * perToken;
  const kvBytes = (request.promptTokenCount + request.maxTokens) * perToken;
  if (!isDecoding)
    prefill?.reservations.reserve(grant.grantId, promptKvBytes, nowMs);
  decode?.reservations.reserve(grant.grantId, kvBytes, nowMs);
  state.ledger.add({
    grant,
    request,
    prefill: isDecoding ? undefined : prefill,
    decode,
    phase: isDecoding ? 'decoding' : 'reserved',
    expectedCached: 0,
    kvBytes,
    promptKvBytes,
    prefillMs: 0,
    grantedAtMs: nowMs,
    expiresAtMs: nowMs + Math.max(state.lifeMs, grant.lifeMs),
    tokensDelivered,
    tokensAtMs: nowMs,
  });
}

function summarize(state: ShardState): ShardSummary {
  const nowMs = state.clock.nowMs();
  const {pool, options} = state;
  const capacity = readCapacity(pool, nowMs);
  const meanKvBytes =
    capacity.usedSlots > 0 ? capacity.usedKvBytes / capacity.usedSlots : 0;
  const waitMs = forecastWaitMs(
    capacity,
    state.queue.workBefore(Number.MAX_SAFE_INTEGER),
    meanKvBytes,
    state.model.meanHoldMs(),
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
    queued: state.queue.size(),
    waitMs: Math.round(Math.min(waitMs, Number.MAX_SAFE_INTEGER)),
    prefillEngines: pool.prefill.length,
    decodeEngines: pool.decode.length,
    ejected: state.health.ejectedCount(nowMs),
  };
}

export function createDispatcher(
  host: DispatcherHost,
  options: DispatcherOptions,
): Dispatcher {
  const {clock} = host;
  const state = createShardState(host, options);
  const issuer = createGrantIssuer(state);
  const queue = createGrantQueue(state, issuer);
  const tracker = createGrantTracker(state, () => queue.grantQueued());
  let isStopped = false;
  let hadEngines = false;
  let sweepCount = 0;
  let sweepTimer: TimerHandle | undefined;

  function sweep(): void {
    const nowMs = clock.nowMs();
    for (const engine of state.pool.all()) engine.link.prune(nowMs);
    tracker.releaseExpired();
    refreshLimits(state);
    refreshForecast(state);
    if (++sweepCount % SWEEPS_PER_SLOT_ADJUSTMENT === 0) adjustSlots(state);
    queue.dropLate();
    queue.grantQueued();
  }

  function scheduleSweep(): void {
    sweepTimer = clock.setTimer(SWEEP_INTERVAL_MS, () => {
      sweep();
      scheduleSweep();
    });
  }

  function removeEngine(engineId: string): void {
    state.health.remove(engineId);
    state.prefixes.forget(engineId);
    tracker.removeEngine(engineId);
  }

  /** Refuses a request that must not be queued; returns whether it did. */
  function isRefused(request: GrantRequest, reply: GrantReply): boolean {
    const {pool, shares, ledger} = state;
    if (isStopped) {
      queue.refuse(reply, 'home-moved', 0);
      return true;
    }
    if (pool.prefill.length === 0 || pool.decode.length === 0) {
      queue.refuse(reply, 'no-engine', NO_ENGINE_RETRY_MS);
      return true;
    }
    const {maxConcurrent} = shares.limits(request.account);
    const queued = state.queue.ofAccount(request.account).length;
    if (ledger.countOf(request.account) + queued < maxConcurrent) return false;
    const freeInMs = state.model.meanHoldMs() / Math.max(1, maxConcurrent);
    queue.refuse(reply, 'account-limit', freeInMs);
    return true;
  }

  scheduleSweep();

  return {
    ask(request, reply) {
      if (isRefused(request, reply)) return NO_TICKET;
      const queued = estimateRequest(state, request, reply);
      queue.admit(queued);
      return {
        cancel() {
          state.queue.remove(queued);
        },
      };
    },
    report: (grantId, progress) => tracker.report(grantId, progress),
    setEngines(engines) {
      const {added, removed} = state.pool.set(engines);
      for (const engineId of removed) removeEngine(engineId);
      for (const engineId of added) {
        const {role} = state.pool.get(engineId)!.description;
        // The engines of the first list haven't failed, so they get full load
        // at once. Engines added later get it gradually.
        state.health.add(engineId, role, clock.nowMs(), !hadEngines);
      }
      if (engines.length > 0) hadEngines = true;
      refreshLimits(state);
      queue.grantQueued();
    },
    applySettings(targets, wasteWeight, accounts) {
      state.targets = targets;
      state.policy = createShardPolicy(options, wasteWeight);
      state.shares.setLimits(accounts);
    },
    applyLoadReport(report) {
      const engine = state.pool.get(report.engineId);
      if (!engine?.reservations.reconcile(report, clock.nowMs())) return;
      if (report.leaving) engine.isLeaving = true;
      if (isRebuilding(state)) refreshLimits(state);
    },
    applyCacheEvents(engineId, events) {
      if (state.pool.get(engineId)) state.prefixes.apply(events);
    },
    markLeaving(engineId) {
      const engine = state.pool.get(engineId);
      if (engine) engine.isLeaving = true;
    },
    removeEngine(engineId) {
      if (!state.pool.remove(engineId)) return;
      removeEngine(engineId);
      queue.dropLate();
    },
    releaseEntry(entryTag) {
      tracker.releaseEntry(entryTag);
      const entryRequests = state.queue
        .items()
        .filter(queued => queued.request.owner.entry === entryTag);
      for (const queued of entryRequests) queue.drop(queued, 'cancelled', 0);
    },
    adopt: announced => adoptGrant(state, announced),
    summary: () => summarize(state),
    engineUsage: () =>
      [...state.pool.all()].map(engine => ({
        engineId: engine.description.engineId,
        usedSlots: engine.reservations.usedSlots(),
        usedKvBytes: engine.reservations.usedKvBytes(),
        kvBytes: engine.description.kvBytes,
        isUsable: engine.share > 0 && !engine.isLeaving,
      })),
    stop() {
      isStopped = true;
      if (sweepTimer) clock.clearTimer(sweepTimer);
      queue.stop();
    },
  };
}
