/**
 * Learned figures of one service: prefill times, KV bytes per token, answer
 * lengths by class, and the time between tokens.
 */

import type {GrantRequest, RequestClass} from '../../ports/grants.js';
import type {EnginePool} from './engine_pool.js';
import {createLengthForecast, type LengthForecast} from './length_forecast.js';
import {createPrefillModel, type PrefillModel} from './prefill_model.js';

export interface InitialEstimates {
  readonly prefillOverheadMs: number;
  readonly prefillMsPerToken: number;
  readonly kvBytesPerToken: number;
  readonly answerTokens: number;
  readonly tokenIntervalMs: number;
}

export const DEFAULT_INITIAL_ESTIMATES: InitialEstimates = {
  prefillOverheadMs: 5,
  prefillMsPerToken: 0.05,
  kvBytesPerToken: 0,
  answerTokens: 200,
  tokenIntervalMs: 40,
};

const SMOOTHING = 0.1;
/** A sample is limited to this multiple of the current value. */
const MAX_STEP_FACTOR = 3;

export interface ServiceModel {
  readonly prefill: PrefillModel;
  lengths(requestClass: RequestClass): LengthForecast;
  kvBytesPerToken(): number;
  learnKv(tokens: number, kvBytes: number): void;
  intervalMs(): number;
  learnInterval(intervalMs: number): void;
  /** Returns the expected number of remaining answer tokens. */
  expectedTokens(request: GrantRequest): number;
  /** Returns the mean time that a decode slot is held, in milliseconds. */
  meanHoldMs(): number;
  recordHold(holdMs: number): void;
}

export function createServiceModel(
  initialEstimates: InitialEstimates,
  pool: EnginePool,
): ServiceModel {
  const byClass: Readonly<Record<RequestClass, LengthForecast>> = {
    interactive: createLengthForecast(initialEstimates.answerTokens),
    patient: createLengthForecast(initialEstimates.answerTokens),
  };
  let kvBytesPerToken = initialEstimates.kvBytesPerToken;
  let intervalMs = initialEstimates.tokenIntervalMs;
  let holdMs = initialEstimates.answerTokens * initialEstimates.tokenIntervalMs;

  function limitSample(sample: number, current: number): number {
    return Math.min(sample, current * MAX_STEP_FACTOR);
  }

  return {
    prefill: createPrefillModel(
      initialEstimates.prefillOverheadMs,
      initialEstimates.prefillMsPerToken,
    ),
    lengths: requestClass => byClass[requestClass],
    kvBytesPerToken() {
      if (kvBytesPerToken > 0) return kvBytesPerToken;
      // Without samples, a slot's share of memory is assumed to hold this many
      // tokens.
      const tokensInSlot = 2_048;
      const [engine] = pool.decode;
      if (!engine) return 0;
      const {kvBytes, slots} = engine.description;
      return kvBytes / Math.max(1, slots) / tokensInSlot;
    },
    learnKv(tokens, kvBytes) {
      if (tokens < 1 || kvBytes <= 0) return;
      const sample = kvBytes / tokens;
      // Increases are applied at once and decreases slowly, since too low a
      // value would overcommit memory.
      if (sample >= kvBytesPerToken) kvBytesPerToken = sample;
      else kvBytesPerToken += SMOOTHING * (sample - kvBytesPerToken);
    },
    intervalMs: () => intervalMs,
    learnInterval(sampleMs) {
      const sample = limitSample(sampleMs, intervalMs);
      intervalMs += SMOOTHING * (sample - intervalMs);
    },
    expectedTokens(request) {
      const mean = byClass[request.requestClass].meanTokens();
      const remainingTokens = Math.max(1, mean - request.resumeOffset);
      return Math.min(request.maxTokens, remainingTokens);
    },
    meanHoldMs: () => holdMs,
    recordHold(sampleMs) {
      holdMs += SMOOTHING * (limitSample(sampleMs, holdMs) - holdMs);
    },
  };
}
