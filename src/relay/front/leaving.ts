/**
 * How an entry leaves without cutting a request.
 *
 * Callers keep the directory's answer for a while, so connections and new
 * requests still come after the entry has left the answers. It serves them
 * until they stop coming; streams that could not end before the kill are sent
 * elsewhere at once, and nothing is ended before its time.
 */

import type {Route} from '../../core/routing_types.js';
import type {RequestError} from '../../core/error_kinds.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';

export interface LeavingHost {
  readonly clock: Clock;
  readonly log: Logger;
  /** Requests that have not ended. */
  openCount(): number;
  lastRequestAtMs(): number;
  /** Called at once when leaving begins. */
  onLeave(): void;
}

export interface LeavingOptions {
  /** From the signal until the process is killed. */
  readonly graceMs: number;
}

export interface Leaving {
  start(): void;
  isLeaving(): boolean;
  /** Why a request on the route may not begin now, if so. */
  refuse(route: Route): RequestError | undefined;
  /** Resolves with the number of requests that had not ended. */
  readonly ended: Promise<number>;
}

/** Most callers ask again within this time of the last answer they had. */
const LINGER_MS = 2_500;
/** No request for this long: callers have moved on. */
const QUIET_MS = 400;
const CHECK_MS = 50;
/** The end comes this long before the kill. */
const KILL_MARGIN_MS = 250;
/**
 * A stream takes some 4 s; one that begins later than this after the signal
 * might not end in time.
 */
const STREAMS_UNTIL_MS = 2_000;
/** The next entry is a new connection away. */
const ELSEWHERE_RETRY_MS = 20;

export function createLeaving(
  host: LeavingHost,
  options: LeavingOptions,
): Leaving {
  const {clock, log} = host;
  let startedAtMs: number | undefined;
  let resolveEnded: (openCount: number) => void = () => undefined;
  const ended = new Promise<number>(resolve => {
    resolveEnded = resolve;
  });

  function check(): void {
    const nowMs = clock.nowMs();
    const sinceMs = nowMs - (startedAtMs ?? nowMs);
    const isQuiet =
      host.openCount() === 0 && nowMs - host.lastRequestAtMs() >= QUIET_MS;
    const isDone = sinceMs >= LINGER_MS && isQuiet;
    const mustEnd = sinceMs >= options.graceMs - KILL_MARGIN_MS;
    if (isDone || mustEnd) {
      log.info('Left.', {openRequests: host.openCount(), afterMs: sinceMs});
      resolveEnded(host.openCount());
      return;
    }
    clock.setTimer(CHECK_MS, check);
  }

  return {
    start() {
      if (startedAtMs !== undefined) return;
      startedAtMs = clock.nowMs();
      log.info('Leaving.', {openRequests: host.openCount()});
      host.onLeave();
      check();
    },
    isLeaving: () => startedAtMs !== undefined,
    refuse(route) {
      if (startedAtMs === undefined || route.kind !== 'stream')
        return undefined;
      if (clock.nowMs() - startedAtMs <= STREAMS_UNTIL_MS) return undefined;
      return {
        kind: 'shutting-down',
        detail: 'Connect to another entry.',
        retryAfterMs: ELSEWHERE_RETRY_MS,
      };
    },
    ended,
  };
}
