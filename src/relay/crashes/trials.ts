/**
 * Lets single runs of quarantined requests through, so that a sound request
 * that ran at several upstreams when they ended is not refused for long. One
 * host does so, after a time that grows with each loss.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import type {Clock} from '../../ports/clock.js';

export interface TrialsHost {
  readonly clock: Clock;
  /** Whether this host decides on trials of the request. */
  isOwner(fingerprint: string): boolean;
}

/** The losses of a quarantined request that count. */
export interface QuarantinedLosses {
  readonly count: number;
  readonly latestAtMs: number;
}

export interface Trials {
  /** Whether the request may run now, since it is the one on trial. */
  admit(
    fingerprint: string,
    requestId: string,
    losses: QuarantinedLosses,
  ): boolean;
  /** The run on trial broke off; the request must not run again. */
  end(fingerprint: string, requestId: string): void;
}

interface Trial {
  readonly requestId: string;
  readonly startedAtMs: number;
  hasEnded: boolean;
}

const FIRST_TRIAL_MS = 20_000;
/** Factor of the time until the next trial for each loss beyond the third. */
const BACKOFF = 4;
const LOSSES_BEFORE_BACKOFF = 3;
/** A run that takes longer is not waited for. */
const MAX_TRIAL_MS = 20_000;
const MAX_TRIALS = 1_000;

export function createTrials(host: TrialsHost): Trials {
  const {clock} = host;
  const trials = createBoundedMap<Trial>(MAX_TRIALS);

  function isDue({count, latestAtMs}: QuarantinedLosses): boolean {
    const failures = Math.max(0, count - LOSSES_BEFORE_BACKOFF);
    const waitMs = FIRST_TRIAL_MS * BACKOFF ** failures;
    return clock.nowMs() >= latestAtMs + waitMs;
  }

  return {
    admit(fingerprint, requestId, losses) {
      const trial = trials.get(fingerprint);
      const isRunning =
        trial && clock.nowMs() - trial.startedAtMs < MAX_TRIAL_MS;
      if (isRunning) return !trial.hasEnded && trial.requestId === requestId;
      if (!isDue(losses) || !host.isOwner(fingerprint)) return false;
      const startedAtMs = clock.nowMs();
      trials.set(fingerprint, {requestId, startedAtMs, hasEnded: false});
      return true;
    },
    end(fingerprint, requestId) {
      const trial = trials.get(fingerprint);
      if (trial?.requestId === requestId) trial.hasEnded = true;
    },
  };
}
