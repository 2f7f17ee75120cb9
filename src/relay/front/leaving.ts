/**
 * Shuts an entry down without breaking off requests.
 *
 * Callers cache the directory's answer, so connections and requests still
 * arrive after the entry is no longer listed. It serves them until they stop.
 * Streams that might not end before the process is killed are refused at once,
 * so that callers use another entry.
 */

import type {Route} from '../../core/routing_types.js';
import type {RequestError} from '../../core/error_kinds.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';

export interface LeavingHost {
  readonly clock: Clock;
  readonly log: Logger;
  /** Returns the number of requests that haven't ended. */
  openCount(): number;
  lastRequestAtMs(): number;
  /** Called when leaving begins. */
  onLeave(): void;
}

export interface LeavingOptions {
  /** Time from the signal until the process is killed. */
  readonly graceMs: number;
}

export interface Leaving {
  start(): void;
  isLeaving(): boolean;
  /** Returns an error if a request on the route may not begin now. */
  refuse(route: Route): RequestError | undefined;
  /** Resolves to the number of requests that hadn't ended. */
  readonly ended: Promise<number>;
}

/** Most callers refresh the directory's answer within this time. */
const MIN_LEAVE_MS = 2_500;
/**
 * After this time without a request, callers are assumed to use other entries.
 */
const QUIET_MS = 400;
const CHECK_INTERVAL_MS = 50;
/** A check this late shows that the process did not run. */
const LATE_CHECK_MS = 100;
/** Leaving ends this long before the process is killed. */
const KILL_MARGIN_MS = 250;
/**
 * Streams are refused from this long after the signal, since a stream takes
 * about 4 s and one that begins later might not end in time.
 */
const STREAM_ADMISSION_MS = 2_000;
/** Short, since a caller can connect to another entry right away. */
const OTHER_ENTRY_RETRY_MS = 20;

export function createLeaving(
  host: LeavingHost,
  options: LeavingOptions,
): Leaving {
  const {clock, log} = host;
  let startedAtMs: number | undefined;
  /** Since when this host could read requests without a break. */
  let runningSinceMs = clock.nowMs();
  let resolveEnded: (openCount: number) => void = () => undefined;
  const ended = new Promise<number>(resolve => {
    resolveEnded = resolve;
  });

  function check(dueMs: number): void {
    const nowMs = clock.nowMs();
    const sinceMs = nowMs - (startedAtMs ?? nowMs);
    if (nowMs - dueMs >= LATE_CHECK_MS) runningSinceMs = nowMs;
    const quietSinceMs = Math.max(runningSinceMs, host.lastRequestAtMs());
    const isQuiet = host.openCount() === 0 && nowMs - quietSinceMs >= QUIET_MS;
    const isDone = sinceMs >= MIN_LEAVE_MS && isQuiet;
    const isOutOfTime = sinceMs >= options.graceMs - KILL_MARGIN_MS;
    if (isDone || isOutOfTime) {
      log.info('Left.', {openRequests: host.openCount(), afterMs: sinceMs});
      resolveEnded(host.openCount());
      return;
    }
    const nextMs = nowMs + CHECK_INTERVAL_MS;
    clock.setTimer(CHECK_INTERVAL_MS, () => check(nextMs));
  }

  return {
    start() {
      if (startedAtMs !== undefined) return;
      startedAtMs = clock.nowMs();
      log.info('Leaving.', {openRequests: host.openCount()});
      host.onLeave();
      check(startedAtMs);
    },
    isLeaving: () => startedAtMs !== undefined,
    refuse(route) {
      if (startedAtMs === undefined || route.kind !== 'stream')
        return undefined;
      if (clock.nowMs() - startedAtMs <= STREAM_ADMISSION_MS) return undefined;
      return {
        kind: 'shutting-down',
        detail: 'Connect to another entry.',
        retryAfterMs: OTHER_ENTRY_RETRY_MS,
      };
    },
    ended,
  };
}
