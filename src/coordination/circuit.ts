/**
 * A circuit breaker. While the platform is down it turns most calls away at
 * once, so that callers hear "unavailable" instead of each waiting out a
 * timeout; one probe at a time finds out when it is back.
 */

import type {Clock} from '../ports/clock.js';
import type {Random} from '../ports/random.js';

export type CircuitState = 'closed' | 'open' | 'half-open';

export interface CircuitOptions {
  /** Failures in a row that open the circuit. */
  readonly failureLimit: number;
  readonly minOpenMs: number;
  readonly maxOpenMs: number;
}

export interface Circuit {
  state(): CircuitState;
  /** 0 when a call may go now, else how long to wait. */
  admit(): number;
  /** An admitted call was not made after all; another may go at once. */
  withdrawn(): void;
  succeeded(): void;
  failed(): void;
}

export function createCircuit(
  clock: Clock,
  random: Random,
  options: CircuitOptions,
): Circuit {
  let failures = 0;
  let openMs = options.minOpenMs;
  let openUntilMs = 0;
  let state: CircuitState = 'closed';
  let probeUntilMs = 0;

  function open(): void {
    state = 'open';
    // Jitter keeps the fleet's probes apart when the platform returns.
    openUntilMs = clock.nowMs() + openMs * (0.5 + random.nextFloat());
    openMs = Math.min(options.maxOpenMs, openMs * 2);
  }

  return {
    state: () => state,
    admit() {
      const nowMs = clock.nowMs();
      if (state === 'closed') return 0;
      if (state === 'open' && nowMs < openUntilMs) return openUntilMs - nowMs;
      if (state === 'half-open' && nowMs < probeUntilMs) {
        return probeUntilMs - nowMs;
      }
      state = 'half-open';
      probeUntilMs = nowMs + options.maxOpenMs;
      return 0;
    },
    withdrawn() {
      if (state !== 'half-open') return;
      state = 'open';
      openUntilMs = clock.nowMs();
    },
    succeeded() {
      state = 'closed';
      failures = 0;
      openMs = options.minOpenMs;
    },
    failed() {
      failures++;
      if (state === 'half-open' || failures >= options.failureLimit) open();
    },
  };
}
