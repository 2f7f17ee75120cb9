/** What begins with the process. */

import type {Logger} from '../ports/log.js';
import type {Drain} from './drain.js';

const MIN_READ_INTERVAL_MS = 1000;
/** Reads of the host list a second by the whole fleet. */
const FLEET_READS_PER_SECOND = 200;
const MS_PER_SECOND = 1000;

/** Time between reads of the host list, so that the fleet's rate is bounded. */
export function getHostListIntervalMs(hostCount: number): number {
  const perHostMs = (hostCount * MS_PER_SECOND) / FLEET_READS_PER_SECOND;
  return Math.max(MIN_READ_INTERVAL_MS, perHostMs);
}

/** SIGTERM or SIGINT drains; a second one ends the drain. */
export function listenToSignals(
  log: Logger,
  drain: Drain,
  boundMs: number,
): () => void {
  function onSignal(signal: NodeJS.Signals): void {
    if (drain.isLeaving()) {
      log.warn('A second signal ends the drain.', {signal});
      drain.abort();
    } else {
      drain.start(boundMs);
    }
  }
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  return () => {
    process.off('SIGTERM', onSignal);
    process.off('SIGINT', onSignal);
  };
}
