/**
 * Which era of the store this host has seen last.
 *
 * A store that comes back from an older copy has lost its latest writes, and
 * gives the same numbers out again. Each time begins an era; numbers of two
 * eras say nothing of each other.
 */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';

export interface StoreEraHost {
  readonly clock: Clock;
  readonly log: Logger;
}

export interface StoreEra {
  /** An answer of the store, or a peer that had one, told this era. */
  note(era: number): void;
  /** 0 while the store has told none. */
  current(): number;
  /**
   * Whether those whose writes were lost have had time to write again. A host
   * that has just started cannot tell for how long the era lasts.
   */
  isSettled(): boolean;
  /** Calls `listener` after each change. */
  onChange(listener: (era: number) => void): void;
}

/**
 * The operator and the upstreams write again what was lost within about two
 * seconds of the store's return; the rest is the age that a read may have.
 */
export const WRITTEN_AGAIN_MS = 2_300;

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
    isSettled: () =>
      current === 0 || clock.nowMs() - sinceMs >= WRITTEN_AGAIN_MS,
    onChange(listener) {
      listeners.push(listener);
    },
  };
}
