/**
 * Up to which moment this host is sure to have every acknowledged version of
 * the configuration in force.
 *
 * Guards against a withdrawn key that goes on working at a host which the store
 * turns away, or which was frozen, cut off or restarted: such a host cannot
 * tell that it misses a version, so it takes no request with a key once its
 * certainty is older than the bound on a withdrawal.
 */

import {isLaterMoment, type StoreMoment} from '../../core/store_revision.js';
import type {Clock} from '../../ports/clock.js';
import type {StoreTime} from './store_time.js';

export interface ConfigurationFreshnessHost {
  readonly clock: Clock;
  readonly storeTime: StoreTime;
}

export interface ConfigurationFreshness {
  /**
   * Every version acknowledged before this time of the store is in force here;
   * the store or a peer with no newer version said so.
   */
  noteCompleteUntil(moment: StoreMoment): void;
  /** For peers; undefined while nothing is known. */
  completeUntil(): StoreMoment | undefined;
  /** For how long versions may have been missed; infinite if not known. */
  ageMs(): number;
  /**
   * Resolves with whether every version acknowledged by now is in force,
   * waiting up to `timeoutMs` for the word of the store or of a peer.
   */
  confirmNow(timeoutMs: number): Promise<boolean>;
}

/** How often a request that waits for certainty is looked at. */
const LOOK_EVERY_MS = 50;

export function createConfigurationFreshness(
  host: ConfigurationFreshnessHost,
): ConfigurationFreshness {
  const {clock, storeTime} = host;
  let completeUntil: StoreMoment | undefined;

  function confirm(
    wanted: StoreMoment | undefined,
    giveUpAtMs: number,
    resolve: (isConfirmed: boolean) => void,
  ): void {
    // A host that has just started learns the store's time meanwhile.
    const until = wanted ?? storeTime.latest();
    if (until && completeUntil && !isLaterMoment(until, completeUntil)) {
      return resolve(true);
    }
    if (clock.nowMs() >= giveUpAtMs) return resolve(false);
    clock.setTimer(LOOK_EVERY_MS, () => confirm(until, giveUpAtMs, resolve));
  }

  return {
    noteCompleteUntil(moment) {
      if (completeUntil && !isLaterMoment(moment, completeUntil)) return;
      // Of an era whose clock is not known here no age can be told.
      if (storeTime.ageMs(moment) === undefined) return;
      completeUntil = moment;
    },
    completeUntil: () => completeUntil,
    ageMs() {
      const ageMs = completeUntil && storeTime.ageMs(completeUntil);
      return ageMs ?? Number.POSITIVE_INFINITY;
    },
    confirmNow: timeoutMs =>
      new Promise(resolve =>
        confirm(storeTime.latest(), clock.nowMs() + timeoutMs, resolve),
      ),
  };
}
