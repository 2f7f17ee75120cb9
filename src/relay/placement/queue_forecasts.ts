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

export interface QueueForecastsHost {
  readonly compare: CompareWaiting;
  readonly memory: RunningMemory;
  readonly atPeers: readonly Waiting[];
  readonly nowMs: number;
}

export interface Forecast {
  readonly waitMs: number;
  /** Whether any request here or at a peer comes first. */
  readonly hasAhead: boolean;
}

export interface QueueForecasts {
  /** The request comes before those that are forecast after this call. */
  pass(request: QueuedRequest): void;
  /**
   * Forecasts a request behind the passed ones and those of peers. The requests
   * must be given in the order of service.
   */
  forecast(request: QueuedRequest): Forecast;
}

export function createQueueForecasts(host: QueueForecastsHost): QueueForecasts {
  const {compare, memory, nowMs} = host;
  const atPeers = [...host.atPeers].sort((a, b) => compare(a, b, nowMs));
  let tokens = 0;
  let requests = 0;

  return {
    pass({need}) {
      tokens += tokensAtEnd(need);
    },
    forecast({need, waiting}) {
      while (
        requests < atPeers.length &&
        compare(atPeers[requests], waiting, nowMs) < 0
      ) {
        requests++;
      }
      const ahead = {tokens, requests};
      return {
        waitMs: forecastWaitMs(ahead, tokensAtEnd(need), memory),
        hasAhead: tokens > 0 || requests > 0,
      };
    },
  };
}
