/**
 * Tracks the current era of the store.
 *
 * A store that is restored from an older copy has lost its latest writes and
 * assigns the same revision numbers again. Each restore begins a new era;
 * revision numbers of different eras cannot be compared.
 */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';

export interface StoreEraHost {
  readonly clock: Clock;
  readonly log: Logger;
}

export interface StoreEra {
  /** The era was reported by the store, or by a peer that received it. */
  note(era: number): void;
  /** 0 until the store has reported an era. */
  current(): number;
  /**
   * Whether lost writes have had time to be repeated. A host that has just
   * started does not know when the era began, and counts from when it learned
   * of it.
   */
  isSettled(): boolean;
  /** Calls the listener after each change of era. */
  onChange(listener: (era: number) => void): void;
}

/**
 * The operator and the upstreams repeat lost writes within about two seconds
 * after the store is back; the rest is the maximum age of a read.
 */
export const REWRITE_MS = 2_300;

export function createStoreEra(host: StoreEraHost): StoreEra {
  const {clock, log} = host;
  const listeners: Array<(era: number) => void> = [];
  let current = 0;
  let sinceMs = clock.nowMs();

  return {
    note(era) {
      if (era <= current) return;
      const before = current;
      const knownMs = Math.round(clock.nowMs() - sinceMs);
      current = era;
      sinceMs = clock.nowMs();
      log.warn('The store is in another era.', {era, before, knownMs});
      for (const listener of listeners) listener(era);
    },
    current: () => current,
    isSettled: () => current === 0 || clock.nowMs() - sinceMs >= REWRITE_MS,
    onChange(listener) {
      listeners.push(listener);
    },
  };
}
