/**
 * What a home has learned of one service: prefill times, KV bytes for each
 * token, lengths of answers by class, time between tokens.
 */

import type {GrantRequest, RequestClass} from '../../ports/grants.js';
import type {EnginePool} from './engine_pool.js';
import {createLengthForecast, type LengthForecast} from './length_forecast.js';
import {createPrefillModel, type PrefillModel} from './prefill_model.js';

export interface ModelGuesses {
  readonly prefillOverheadMs: number;
  readonly prefillMsPerToken: number;
  readonly kvBytesPerToken: number;
  readonly answerTokens: number;
  readonly tokenIntervalMs: number;
}

export const DEFAULT_GUESSES: ModelGuesses = {
  prefillOverheadMs: 5,
  prefillMsPerToken: 0.05,
  kvBytesPerToken: 0,
  answerTokens: 200,
  tokenIntervalMs: 40,
};

const SMOOTHING = 0.1;
/** A sample may move a learned value at most this far at once. */
const MAX_STEP_FACTOR = 3;

export interface ServiceModel {
  readonly prefill: PrefillModel;
  lengths(requestClass: RequestClass): LengthForecast;
  kvBytesPerToken(): number;
  learnKv(tokens: number, kvBytes: number): void;
  intervalMs(): number;
  learnInterval(intervalMs: number): void;
  /** Expected number of tokens that the answer still gets. */
  expectedTokens(request: GrantRequest): number;
  /** Mean time that a decode slot is held, milliseconds. */
  meanHoldMs(): number;
  noteHold(holdMs: number): void;
}

export function createServiceModel(
  guesses: ModelGuesses,
  pool: EnginePool,
): ServiceModel {
  const byClass: Readonly<Record<RequestClass, LengthForecast>> = {
    interactive: createLengthForecast(guesses.answerTokens),
    patient: createLengthForecast(guesses.answerTokens),
  };
  let kvBytesPerToken = guesses.kvBytesPerToken;
  let intervalMs = guesses.tokenIntervalMs;
  let holdMs = guesses.answerTokens * guesses.tokenIntervalMs;

  function bounded(sample: number, current: number): number {
    return Math.min(sample, current * MAX_STEP_FACTOR);
  }

  return {
    prefill: createPrefillModel(
      guesses.prefillOverheadMs,
      guesses.prefillMsPerToken,
    ),
    lengths: requestClass => byClass[requestClass],
    kvBytesPerToken() {
      if (kvBytesPerToken > 0) return kvBytesPerToken;
      // Nothing learned yet: a slot's share of memory holds this many tokens.
      const tokensInSlot = 2_048;
      const [engine] = pool.decode;
      if (!engine) return 0;
      const {kvBytes, slots} = engine.description;
      return kvBytes / Math.max(1, slots) / tokensInSlot;
    },
    learnKv(tokens, kvBytes) {
      if (tokens < 1 || kvBytes <= 0) return;
      const sample = kvBytes / tokens;
      // Rises at once and falls slowly: too low a value would promise more
      // memory than there is.
      if (sample >= kvBytesPerToken) kvBytesPerToken = sample;
      else kvBytesPerToken += SMOOTHING * (sample - kvBytesPerToken);
    },
    intervalMs: () => intervalMs,
    learnInterval(sampleMs) {
      const sample = bounded(sampleMs, intervalMs);
      intervalMs += SMOOTHING * (sample - intervalMs);
    },
    expectedTokens(request) {
      const mean = byClass[request.requestClass].meanTokens();
      const leftOfMean = Math.max(1, mean - request.resumeOffset);
      return Math.min(request.maxTokens, leftOfMean);
    },
    meanHoldMs: () => holdMs,
    noteHold(sampleMs) {
      holdMs += SMOOTHING * (bounded(sampleMs, holdMs) - holdMs);
    },
  };
}
