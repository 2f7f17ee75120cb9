/** Counts calls to the store, and knows whether it answered the last one. */

import type {Logger} from '../../ports/log.js';
import type {StoreRead} from '../../ports/relay.js';
import type {RelayMetrics} from '../relay_metrics.js';

export interface StoreCallsHost {
  readonly log: Logger;
  readonly metrics: RelayMetrics;
}

export interface StoreCalls {
  /** A call ended, possibly after another attempt had answered it. */
  count(call: string, read: StoreRead<unknown>): void;
  /** A call was answered, or all of its attempts failed. */
  noteOutcome(call: string, isAnswered: boolean): void;
  /** Whether the store answered the last call. */
  isReachable(): boolean;
  /** Calls that end because this process stops do not count as failures. */
  stop(): void;
}

export function createStoreCalls(host: StoreCallsHost): StoreCalls {
  const {log, metrics} = host;
  let isStopped = false;
  let isLost = false;
  let lastReason: string | undefined;
  return {
    count(call, read) {
      if (isStopped) return;
      metrics.count('store_calls', `call="${call}",outcome="${read.kind}"`);
      if (read.kind === 'failed') lastReason = read.detail;
    },
    noteOutcome(call, isAnswered) {
      if (isStopped || isLost === !isAnswered) return;
      isLost = !isAnswered;
      if (isLost) log.warn('The store is lost.', {call, reason: lastReason});
      else log.info('The store is back.', {call});
    },
    isReachable: () => !isLost,
    stop() {
      isStopped = true;
    },
  };
}
