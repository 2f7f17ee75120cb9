/**
 * Tracks the progress of grants. Updates the estimates of the service model
 * from each report, and releases reservations when a grant ends or expires or
 * its entry fails.
 */

import type {PoolEngine} from '../core/scheduling/engine_pool.js';
import type {GrantProgress} from '../ports/grants.js';
import {refreshLimits} from './engine_limits.js';
import type {HeldGrant} from './grant_ledger.js';
import {prefillTokens} from './request_estimates.js';
import type {ShardState} from './shard_state.js';

/**
 * Time in which engines free the sessions of an entry that failed or is silent.
 */
const RELEASE_DELAY_MS = 1_000;
/** A single prefill sample is capped at this multiple of the estimate. */
const MAX_PREFILL_SAMPLE_FACTOR = 4;
const MIN_PREFILL_SAMPLES = 6;
const MIN_TOKENS_PER_INTERVAL_SAMPLE = 4;
const INTERVAL_SMOOTHING = 0.2;

export interface GrantTracker {
  report(grantId: string, progress: GrantProgress): void;
  /** Schedules the release of grants that have expired. */
  releaseExpired(): void;
  releaseEntry(entryTag: string): void;
  /**
   * Removes an engine from the health records, the prefix index and all grants.
   */
  removeEngine(engineId: string): void;
}

/** @param afterRelease Called when capacity has been released. */
export function createGrantTracker(
  state: ShardState,
  afterRelease: () => void,
): GrantTracker {
  function releasePrefill(held: HeldGrant): void {
    const {grantId} = held.grant;
    held.prefill?.backlog.remove(grantId, state.clock.nowMs());
    held.prefill?.reservations.release(grantId);
    held.prefill?.link.release(grantId);
    held.decode?.link.release(grantId);
  }

  function release(held: HeldGrant): void {
    releasePrefill(held);
    held.decode?.reservations.release(held.grant.grantId);
    state.ledger.remove(held.grant.grantId);
  }

  /**
   * Releases a grant whose entry failed or sent no report in time, after its
   * engines have had time to free their sessions.
   */
  function scheduleRelease(held: HeldGrant): void {
    if (held.isReleaseScheduled) return;
    held.isReleaseScheduled = true;
    state.clock.setTimer(RELEASE_DELAY_MS, () => {
      if (!held.isReleaseScheduled) return;
      release(held);
      afterRelease();
    });
  }

  function onPrefillDone(
    held: HeldGrant,
    kvSizeBytes: number,
    foundTokens: number,
  ): void {
    const nowMs = state.clock.nowMs();
    const {grantId} = held.grant;
    const tokens = prefillTokens(held.request);
    const sinceMs = held.prefill?.backlog.remove(grantId, nowMs);
    if (held.prefill && sinceMs !== undefined) {
      learnPrefill(held.prefill, tokens - foundTokens, nowMs - sinceMs);
      state.prefixes.learn(
        held.prefill.description.engineId,
        held.expectedCached,
        foundTokens,
      );
    }
    state.model.learnKv(tokens, kvSizeBytes);
    const outputKv =
      (held.request.maxTokens - held.request.resumeOffset) *
      state.model.kvBytesPerToken();
    held.prefill?.reservations.resize(grantId, kvSizeBytes, nowMs);
    held.decode?.reservations.resize(grantId, kvSizeBytes + outputKv, nowMs);
    held.phase = 'prefilled';
  }

  function learnPrefill(
    engine: PoolEngine,
    tokens: number,
    tookMs: number,
  ): void {
    const expectedMs = state.model.prefill.estimateMs(Math.max(1, tokens));
    const isWarm = state.model.prefill.sampleCount() >= MIN_PREFILL_SAMPLES;
    const sampleMs = isWarm
      ? Math.min(tookMs, expectedMs * MAX_PREFILL_SAMPLE_FACTOR)
      : tookMs;
    const ratio = tookMs / Math.max(1, expectedMs);
    const {engineId} = engine.description;
    if (isWarm) state.health.sample(engineId, ratio, state.clock.nowMs());
    if (state.health.isOutlier(engineId)) return;
    state.model.prefill.learn(Math.max(1, tokens), sampleMs);
  }

  function recordTokens(held: HeldGrant, tokensDelivered: number): void {
    const nowMs = state.clock.nowMs();
    const tokens = tokensDelivered - held.tokensDelivered;
    const engine = held.decode;
    if (
      tokens >= MIN_TOKENS_PER_INTERVAL_SAMPLE &&
      engine &&
      held.phase === 'decoding'
    ) {
      const intervalMs = (nowMs - held.tokensAtMs) / tokens;
      const {engineId} = engine.description;
      state.health.sample(engineId, intervalMs, nowMs);
      if (!state.health.isOutlier(engineId))
        state.model.learnInterval(intervalMs);
      engine.intervalMs =
        engine.intervalMs === 0
          ? intervalMs
          : engine.intervalMs +
            INTERVAL_SMOOTHING * (intervalMs - engine.intervalMs);
    }
    if (tokens > 0 || held.phase !== 'decoding') {
      held.tokensDelivered = Math.max(held.tokensDelivered, tokensDelivered);
      held.tokensAtMs = nowMs;
    }
  }

  function onEnded(
    held: HeldGrant,
    progress: Extract<GrantProgress, {kind: 'ended'}>,
  ): void {
    const nowMs = state.clock.nowMs();
    recordTokens(held, progress.tokensDelivered);
    if (progress.result === 'whole') {
      state.model
        .lengths(held.request.requestClass)
        .record(progress.tokensDelivered);
      const decodeId = held.decode?.description.engineId;
      if (decodeId === undefined || !state.health.isOutlier(decodeId)) {
        state.model.recordHold(nowMs - held.grantedAtMs);
      }
      if (held.prefill)
        state.health.success(held.prefill.description.engineId, nowMs);
      if (held.decode)
        state.health.success(held.decode.description.engineId, nowMs);
    }
    if (progress.failedEngineId) {
      state.health.failure(progress.failedEngineId, nowMs);
      refreshLimits(state);
    }
    release(held);
    afterRelease();
  }

  const progressHandlers: {
    readonly [K in GrantProgress['kind']]: (
      held: HeldGrant,
      progress: Extract<GrantProgress, {kind: K}>,
    ) => void;
  } = {
    'prefill-started': held => {
      if (held.phase === 'reserved') held.phase = 'prefilling';
    },
    'prefill-done': (held, progress) => {
      if (held.phase === 'decoding' || held.phase === 'prefilled') return;
      onPrefillDone(held, progress.kvSizeBytes, progress.cachedTokens);
      afterRelease();
    },
    'decode-started': held => {
      if (held.phase === 'decoding') return;
      releasePrefill(held);
      held.phase = 'decoding';
      held.tokensAtMs = state.clock.nowMs();
      afterRelease();
    },
    renew: (held, progress) => recordTokens(held, progress.tokensDelivered),
    ended: onEnded,
  };

  function releaseExpired(): void {
    const nowMs = state.clock.nowMs();
    for (const held of state.ledger.all()) {
      if (held.expiresAtMs < nowMs) scheduleRelease(held);
    }
  }

  function removeEngine(engineId: string): void {
    state.health.remove(engineId);
    state.prefixes.forget(engineId);
    for (const held of state.ledger.all()) {
      if (held.prefill?.description.engineId === engineId) {
        held.prefill = undefined;
      }
      if (held.decode?.description.engineId === engineId) {
        held.decode = undefined;
      }
    }
  }

  return {
    report(grantId, progress) {
      const held = state.ledger.get(grantId);
      if (!held) return;
      const extendedLapseMs = state.clock.nowMs() + state.lifeMs;
      held.expiresAtMs = Math.max(held.expiresAtMs, extendedLapseMs);
      held.isReleaseScheduled = false;
      const handle = progressHandlers[progress.kind] as (
        held: HeldGrant,
        progress: GrantProgress,
      ) => void;
      handle(held, progress);
    },
    releaseExpired,
    releaseEntry(entryTag) {
      for (const held of state.ledger.all()) {
        if (held.request.owner.entry === entryTag) scheduleRelease(held);
      }
    },
    removeEngine,
  };
}
