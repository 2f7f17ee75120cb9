/**
 * Forecasts the waits of the requests of one queue, in the order of service.
 * Does no I/O.
 */

import type {TokenNeed} from './placement_rules.js';
import type {StartOrder} from './start_order.js';
import {
  forecastWaitMs,
  tokensAtEnd,
  type RunningMemory,
} from './wait_forecast.js';
import {compareUrgency, type Waiting} from './wait_rules.js';

/** A waiting request with its current priority and state of its account. */
export interface QueuedRequest {
  readonly need: TokenNeed;
  readonly waiting: Waiting;
}

export interface QueueForecastsHost {
  readonly order: StartOrder;
  readonly memory: RunningMemory;
  /** The waiting requests of this host, in the order of service. */
  readonly inOrder: readonly QueuedRequest[];
  readonly atPeers: readonly Waiting[];
  readonly nowMs: number;
}

export interface QueueForecasts {
  /** The request comes before those that are forecast after this call. */
  pass(request: QueuedRequest): void;
  /** When a request behind the passed ones and those of peers finds room. */
  forecastMs(request: QueuedRequest): number;
  /** Whether anything comes before the request. */
  hasAhead(waiting: Waiting): boolean;
}

/** Counts the others that come before a request. */
export function countBefore(
  order: StartOrder,
  others: readonly Waiting[],
  waiting: Waiting,
  nowMs: number,
): number {
  return others.filter(other => order.compare(other, waiting, nowMs) < 0)
    .length;
}

export function createQueueForecasts(host: QueueForecastsHost): QueueForecasts {
  const {order, memory, inOrder, atPeers, nowMs} = host;
  const first = inOrder.at(0)?.waiting;
  const levels = new Set(inOrder.map(({waiting}) => waiting.priority)).size;
  let tokens = 0;
  /** Tokens of the passed requests that have the priority of the last one. */
  let tokensOfLevel = 0;
  let last: Waiting | undefined;

  const isOfLevel = (a: Waiting | undefined, b: Waiting) =>
    a !== undefined && compareUrgency(a, b) === 0;

  /**
   * The wait among the less urgent requests alone, as if only the starts went to
   * them that go to less urgent ones in any case.
   */
  function forecastByTurnsMs({need, waiting}: QueuedRequest): number {
    const peersOfLevel = atPeers.filter(each => isOfLevel(each, waiting));
    const ahead = {
      tokens: isOfLevel(last, waiting) ? tokensOfLevel : 0,
      requests: countBefore(order, peersOfLevel, waiting, nowMs),
    };
    const lessUrgentLevels = Math.max(1, levels - 1);
    return (
      order.startsPerTurn(lessUrgentLevels) *
      forecastWaitMs(ahead, tokensAtEnd(need), memory)
    );
  }

  return {
    pass({need, waiting}) {
      if (!isOfLevel(last, waiting)) tokensOfLevel = 0;
      last = waiting;
      tokens += tokensAtEnd(need);
      tokensOfLevel += tokensAtEnd(need);
    },
    forecastMs(request) {
      const {need, waiting} = request;
      const requests = countBefore(order, atPeers, waiting, nowMs);
      const ahead = {tokens, requests};
      const inOrderMs = forecastWaitMs(ahead, tokensAtEnd(need), memory);
      const isOutranked = first && compareUrgency(first, waiting) < 0;
      if (!isOutranked) return inOrderMs;
      return Math.min(inOrderMs, forecastByTurnsMs(request));
    },
    hasAhead: waiting =>
      tokens > 0 || countBefore(order, atPeers, waiting, nowMs) > 0,
  };
}
