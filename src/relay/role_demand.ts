/**
 * How the work of a model service divides between prefill and decode engines,
 * learned from the requests that ran here. Pure.
 *
 * A prompt takes a prefill engine for as long as it takes to read it. A run
 * takes a part of a decode engine's memory for as long as it lasts; that part
 * times that time is its share of the engine. The engines are best divided in
 * the ratio of the two, whatever the load.
 */

import type {RoleDemand} from '../core/scheduling/role_plan.js';

export interface RoleDemandMeter {
  /** A prompt was read by an engine that had nothing else to read. */
  notePrefill(tokens: number, durationMs: number): void;
  /** A run ended whole. */
  noteRun(run: FinishedRun): void;
  /** Engines of each role that `engineCount` engines are best divided into. */
  divide(engineCount: number): RoleDemand;
}

export interface FinishedRun {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly durationMs: number;
  /** Memory of the engine, in tokens. */
  readonly kvTokens: number;
}

const SMOOTHING = 0.05;
/**
 * Before anything has run: the users' engines read a prompt of 3,000 tokens in
 * some 95 ms, and a run holds a tenth of an engine for some 3.5 s.
 */
const FIRST_PREFILL_MS = 97;
const FIRST_DECODE_MS = 365;
const FIRST_TOKENS_PER_MS = 33;

export function createRoleDemandMeter(): RoleDemandMeter {
  let tokensPerMs = FIRST_TOKENS_PER_MS;
  let prefillMs = FIRST_PREFILL_MS;
  let decodeMs = FIRST_DECODE_MS;
  return {
    notePrefill(tokens, durationMs) {
      if (durationMs <= 0 || tokens <= 0) return;
      tokensPerMs += SMOOTHING * (tokens / durationMs - tokensPerMs);
    },
    noteRun({promptTokens, outputTokens, durationMs, kvTokens}) {
      const meanTokens = promptTokens + outputTokens / 2;
      const share = kvTokens > 0 ? meanTokens / kvTokens : 1;
      decodeMs += SMOOTHING * (share * durationMs - decodeMs);
      prefillMs += SMOOTHING * (promptTokens / tokensPerMs - prefillMs);
    },
    divide(engineCount) {
      const prefillEngines = (engineCount * prefillMs) / (prefillMs + decodeMs);
      return {prefillEngines, decodeEngines: engineCount - prefillEngines};
    },
  };
}
