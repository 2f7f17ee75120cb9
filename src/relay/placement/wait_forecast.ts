/**
 * Forecasts when a request will find room, from the memory that the requests
 * ahead of it need and the rate at which runs release memory. Does no I/O.
 */

import type {TokenNeed} from './placement_rules.js';

/** The runs on the engines that a request may use. */
export interface RunningMemory {
  readonly runs: number;
  /** Tokens that the runs are forecast to hold at their ends. */
  readonly tokensAtEnd: number;
  readonly meanRunMs: number;
}

/** Requests that are served before another one. */
export interface WorkAhead {
  /** Memory of the requests whose size is known. */
  readonly tokens: number;
  /** Number of the others; each is counted as a mean run. */
  readonly requests: number;
}

/** Tokens that a request holds at its end, and releases then. */
export function tokensAtEnd(need: TokenNeed): number {
  return need.promptTokens + need.expectedOutputTokens;
}

/**
 * The time in which runs release the memory of the work ahead and of the
 * request itself. With equal sizes it is the time until as many runs have
 * ended.
 */
export function forecastWaitMs(
  ahead: WorkAhead,
  ownTokens: number,
  memory: RunningMemory,
): number {
  const {runs, meanRunMs} = memory;
  // Without runs nothing is known but the request itself.
  const meanTokens = Math.max(
    1,
    runs > 0 ? memory.tokensAtEnd / runs : ownTokens,
  );
  const tokens = ahead.tokens + ahead.requests * meanTokens + ownTokens;
  return (tokens / (Math.max(1, runs) * meanTokens)) * meanRunMs;
}
