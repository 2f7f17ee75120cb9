/**
 * How a process leaves: it tells the others, goes on serving until callers
 * have stopped using their lists of entries and every request has ended, and
 * then ends. Nothing is cut unless the bound passes or a second signal comes.
 */

import type {Clock} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';

const POLL_MS = 50;

export interface DrainHost {
  readonly clock: Clock;
  readonly log: Logger;
  /** Callers' lists of entries that name this host are old after this. */
  directoryTtlMs(): number;
  /** Requests that still run here. */
  activeCount(): number;
  announceLeaving(): void;
}

export interface Drain {
  isLeaving(): boolean;
  /** Begins to leave, or shortens the bound of a drain under way. */
  start(boundMs: number): void;
  /** Ends the drain now. */
  abort(): void;
  /** Resolves with the number of requests that were cut. */
  readonly ended: Promise<number>;
}

export function createDrain(host: DrainHost): Drain {
  const {clock, log} = host;
  let startedAtMs: number | undefined;
  let endAtMs = Infinity;
  let isEnded = false;
  let resolveEnded: (cutCount: number) => void = () => {};
  const ended = new Promise<number>(resolve => (resolveEnded = resolve));

  function finish(): void {
    if (isEnded) return;
    isEnded = true;
    resolveEnded(host.activeCount());
  }

  function poll(): void {
    if (isEnded || startedAtMs === undefined) return;
    const nowMs = clock.nowMs();
    const isOutOfLists = nowMs >= startedAtMs + host.directoryTtlMs();
    const isIdle = isOutOfLists && host.activeCount() === 0;
    if (isIdle || nowMs >= endAtMs) {
      finish();
    } else {
      clock.setTimer(POLL_MS, poll);
    }
  }

  return {
    isLeaving: () => startedAtMs !== undefined,
    start(boundMs) {
      endAtMs = Math.min(endAtMs, clock.nowMs() + boundMs);
      if (startedAtMs !== undefined) return;
      startedAtMs = clock.nowMs();
      log.info('Leaving: no new work is drawn here.', {boundMs});
      host.announceLeaving();
      poll();
    },
    abort: finish,
    ended,
  };
}
