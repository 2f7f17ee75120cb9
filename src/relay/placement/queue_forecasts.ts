/**
 * Forecasts the waits of the requests of one queue, in the order of service.
 * Does no I/O.
 */

import type {TokenNeed} from './placement_rules.js';
import {
  forecastWaitMs,
  tokensAtEnd,
  type RunningMemory,
} from './wait_forecast.js';
import type {Waiting} from './wait_rules.js';

/** Order of service; negative if `a` comes before `b`. */
export type CompareWaiting = (a: Waiting, b: Waiting, nowMs: number) => number;

/** A waiting request with its current priority and state of its account. */
export interface QueuedRequest {
  readonly need: TokenNeed;
  readonly waiting: Waiting;
}

/** Counts the requests of peers that come before a request. */
export type PeersAhead = (waiting: Waiting) => number;

export interface Forecast {
  readonly waitMs: number;
  /** Whether any request here or at a peer comes first. */
  readonly hasAhead: boolean;
}

export interface QueueForecasts {
  /** The request comes before those that are forecast after this call. */
  pass(request: QueuedRequest): void;
  /** Forecasts a request behind the passed ones and those of peers. */
  forecast(request: QueuedRequest): Forecast;
}

/**
 * `atPeers` must be in the order of service, and the requests must be given in
 * this order, so that each of both is visited once.
 */
export function createPeersAhead(
  compare: CompareWaiting,
  atPeers: readonly Waiting[],
  nowMs: number,
): PeersAhead {
  let count = 0;
  return waiting => {
    while (
      count < atPeers.length &&
      compare(atPeers[count], waiting, nowMs) < 0
    ) {
      count++;
    }
    return count;
  };
}

/** The requests must be given in the order of service. */
export function createQueueForecasts(
  memory: RunningMemory,
  peersAhead: PeersAhead,
): QueueForecasts {
  let tokens = 0;
  return {
    pass({need}) {
      tokens += tokensAtEnd(need);
    },
    forecast({need, waiting}) {
      const ahead = {tokens, requests: peersAhead(waiting)};
      return {
        waitMs: forecastWaitMs(ahead, tokensAtEnd(need), memory),
        hasAhead: tokens > 0 || ahead.requests > 0,
      };
    },
  };
}
