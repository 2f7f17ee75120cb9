/** Read interval of the host list and handling of signals for `serve`. */

import type {Logger} from '../ports/log.js';
import type {Drain} from './drain.js';

const MIN_READ_INTERVAL_MS = 1000;
/** Limit for the reads of the host list by all processes together. */
const FLEET_READS_PER_SECOND = 200;
const MS_PER_SECOND = 1000;

/** Interval of host list reads; grows with the fleet to bound its total rate. */
export function getHostListIntervalMs(hostCount: number): number {
  const perHostMs = (hostCount * MS_PER_SECOND) / FLEET_READS_PER_SECOND;
  return Math.max(MIN_READ_INTERVAL_MS, perHostMs);
}

/** Starts the drain on SIGTERM or SIGINT; a second signal ends it. */
export function listenToSignals(
  log: Logger,
  drain: Drain,
  boundMs: number,
): () => void {
  function onSignal(signal: NodeJS.Signals): void {
    if (drain.isLeaving()) {
      log.warn('Second signal received; ending the drain.', {signal});
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
