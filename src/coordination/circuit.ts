/**
 * A circuit breaker. While the platform is unavailable, calls fail at once
 * instead of waiting for a timeout; one probe at a time detects the recovery.
 */

import type {Clock} from '../ports/clock.js';
import type {Random} from '../ports/random.js';

export type CircuitState = 'closed' | 'open' | 'half-open';

export interface CircuitOptions {
  /** Consecutive failures that open the circuit. */
  readonly failureLimit: number;
  readonly minOpenMs: number;
  readonly maxOpenMs: number;
}

export interface Circuit {
  state(): CircuitState;
  /** Returns 0 if a call may be made now, otherwise the time to wait in ms. */
  admit(): number;
  /** Reports that an admitted call was not made, so another may be admitted. */
  cancelled(): void;
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
    // Jitter spreads the probes of all hosts.
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
    cancelled() {
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
