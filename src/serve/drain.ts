/**
 * Graceful shutdown: the process announces that it is leaving and serves until
 * the entry lists of callers have expired and all requests have ended. Requests
 * are aborted only at the drain's deadline or on a second signal.
 */

import type {Clock} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';

const POLL_MS = 50;

export interface DrainHost {
  readonly clock: Clock;
  readonly log: Logger;
  /** Time after which the entry lists that callers hold have expired. */
  directoryTtlMs(): number;
  /** Number of requests that run in this process. */
  activeCount(): number;
  announceLeaving(): void;
}

export interface Drain {
  isLeaving(): boolean;
  /** Starts the drain, or moves the deadline of a running drain earlier. */
  start(boundMs: number): void;
  /** Ends the drain immediately. */
  abort(): void;
  /** Resolves with the number of requests that were aborted. */
  readonly ended: Promise<number>;
}

export function createDrain(host: DrainHost): Drain {
  const {clock, log} = host;
  let startedAtMs: number | undefined;
  let deadlineMs = Infinity;
  let isEnded = false;
  let resolveEnded: (abortedCount: number) => void = () => {};
  const ended = new Promise<number>(resolve => (resolveEnded = resolve));

  function finish(): void {
    if (isEnded) return;
    isEnded = true;
    resolveEnded(host.activeCount());
  }

  function poll(): void {
    if (isEnded || startedAtMs === undefined) return;
    const nowMs = clock.nowMs();
    const isDirectoryExpired = nowMs >= startedAtMs + host.directoryTtlMs();
    const isIdle = isDirectoryExpired && host.activeCount() === 0;
    if (isIdle || nowMs >= deadlineMs) {
      finish();
    } else {
      clock.setTimer(POLL_MS, poll);
    }
  }

  return {
    isLeaving: () => startedAtMs !== undefined,
    start(boundMs) {
      deadlineMs = Math.min(deadlineMs, clock.nowMs() + boundMs);
      if (startedAtMs !== undefined) return;
      startedAtMs = clock.nowMs();
      log.info(
        'Drain started; this process is no longer announced for new requests.',
        {boundMs},
      );
      host.announceLeaving();
      poll();
    },
    abort: finish,
    ended,
  };
}
