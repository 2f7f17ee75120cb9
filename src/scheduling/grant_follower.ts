/**
 * Follows grants through their steps: learns from each, and frees what they
 * hold at their end, their lapse or their entry's death.
 */

import type {PoolEngine} from '../core/scheduling/engine_pool.js';
import type {GrantProgress} from '../ports/grants.js';
import {refreshLimits} from './engine_limits.js';
import type {HeldGrant} from './grant_ledger.js';
import {prefillTokens} from './request_estimates.js';
import type {ShardState} from './shard_state.js';

/** Time in which an engine frees what a vanished entry held. */
const LINGER_MS = 1_000;
/** One prefill moves the learned times by no more than this factor. */
const MAX_PREFILL_SAMPLE_FACTOR = 4;
const MIN_PREFILL_SAMPLES = 6;
const MIN_TOKENS_FOR_PACE = 4;
const PACE_SMOOTHING = 0.2;

export interface GrantFollower {
  report(grantId: string, progress: GrantProgress): void;
  /** Frees grants of which nothing was heard for their life. */
  lapse(): void;
  entryGone(entryTag: string): void;
  /** Grants no longer use this engine. */
  forgetEngine(engineId: string): void;
}

/** @param afterRelease Called when room has been made. */
export function createGrantFollower(
  state: ShardState,
  afterRelease: () => void,
): GrantFollower {
  function leavePrefill(held: HeldGrant): void {
    const {grantId} = held.grant;
    held.prefill?.backlog.remove(grantId, state.clock.nowMs());
    held.prefill?.book.release(grantId);
    held.prefill?.link.release(grantId);
    held.decode?.link.release(grantId);
  }

  function release(held: HeldGrant): void {
    leavePrefill(held);
    held.decode?.book.release(held.grant.grantId);
    state.ledger.remove(held.grant.grantId);
  }

  /** Frees a grant whose entry is silent, once its engines must have too. */
  function releaseLater(held: HeldGrant): void {
    if (held.isLingering) return;
    held.isLingering = true;
    state.clock.setTimer(LINGER_MS, () => {
      if (!held.isLingering) return;
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
    held.prefill?.book.resize(grantId, kvSizeBytes, nowMs);
    held.decode?.book.resize(grantId, kvSizeBytes + outputKv, nowMs);
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

  function noteTokens(held: HeldGrant, tokensDelivered: number): void {
    const nowMs = state.clock.nowMs();
    const tokens = tokensDelivered - held.tokensDelivered;
    const engine = held.decode;
    if (tokens >= MIN_TOKENS_FOR_PACE && engine && held.phase === 'decoding') {
      const intervalMs = (nowMs - held.tokensAtMs) / tokens;
      const {engineId} = engine.description;
      state.health.sample(engineId, intervalMs, nowMs);
      if (!state.health.isOutlier(engineId))
        state.model.learnInterval(intervalMs);
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

  function onEnded(
    held: HeldGrant,
    progress: Extract<GrantProgress, {kind: 'ended'}>,
  ): void {
    const nowMs = state.clock.nowMs();
    noteTokens(held, progress.tokensDelivered);
    if (progress.result === 'whole') {
      state.model
        .lengths(held.request.requestClass)
        .record(progress.tokensDelivered);
      const decodeId = held.decode?.description.engineId;
      if (decodeId === undefined || !state.health.isOutlier(decodeId)) {
        state.model.noteHold(nowMs - held.grantedAtMs);
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
      if (held.phase === 'promised') held.phase = 'prefilling';
    },
    'prefill-done': (held, progress) => {
      if (held.phase === 'decoding' || held.phase === 'prefilled') return;
      onPrefillDone(held, progress.kvSizeBytes, progress.cachedTokens);
      afterRelease();
    },
    'decode-started': held => {
      if (held.phase === 'decoding') return;
      leavePrefill(held);
      held.phase = 'decoding';
      held.tokensAtMs = state.clock.nowMs();
      afterRelease();
    },
    renew: (held, progress) => noteTokens(held, progress.tokensDelivered),
    ended: onEnded,
  };

  function lapse(): void {
    const nowMs = state.clock.nowMs();
    for (const held of state.ledger.all()) {
      if (held.lapsesAtMs < nowMs) releaseLater(held);
    }
  }

  function forgetEngine(engineId: string): void {
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
      const heardUntilMs = state.clock.nowMs() + state.lifeMs;
      held.lapsesAtMs = Math.max(held.lapsesAtMs, heardUntilMs);
      held.isLingering = false;
      const handle = progressHandlers[progress.kind] as (
        held: HeldGrant,
        progress: GrantProgress,
      ) => void;
      handle(held, progress);
    },
    lapse,
    entryGone(entryTag) {
      for (const held of state.ledger.all()) {
        if (held.request.owner.entry === entryTag) releaseLater(held);
      }
    },
    forgetEngine,
  };
}
