/**
 * Tracks the time up to which this host has every acknowledged configuration
 * version in force.
 *
 * A host that the store refuses, or that was suspended, partitioned or
 * restarted, can't detect that it lacks a version and might go on accepting a
 * withdrawn key. It therefore refuses keys once this time is too long ago.
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
   * Records that every version acknowledged before this store time is in force
   * here, as confirmed by the store or by a peer without a newer version.
   */
  noteCompleteUntil(moment: StoreMoment): void;
  /** Returns the latest confirmed store time, if any, to share with peers. */
  completeUntil(): StoreMoment | undefined;
  /** Returns the time since the last confirmation; infinite without one. */
  ageMs(): number;
  /**
   * Resolves to true once every version acknowledged before the call is in
   * force, or to false if no store or peer confirms this within `timeoutMs`.
   */
  confirmNow(timeoutMs: number): Promise<boolean>;
}

/** Interval at which a waiting request checks for a confirmation. */
const POLL_INTERVAL_MS = 50;

export function createConfigurationFreshness(
  host: ConfigurationFreshnessHost,
): ConfigurationFreshness {
  const {clock, storeTime} = host;
  let completeUntil: StoreMoment | undefined;

  function pollUntilConfirmed(
    knownTarget: StoreMoment | undefined,
    giveUpAtMs: number,
    resolve: (isConfirmed: boolean) => void,
  ): void {
    // A host that has just started may learn the store's time while it waits.
    const target = knownTarget ?? storeTime.latest();
    if (target && completeUntil && !isLaterMoment(target, completeUntil)) {
      return resolve(true);
    }
    if (clock.nowMs() >= giveUpAtMs) return resolve(false);
    clock.setTimer(POLL_INTERVAL_MS, () =>
      pollUntilConfirmed(target, giveUpAtMs, resolve),
    );
  }

  return {
    noteCompleteUntil(moment) {
      if (completeUntil && !isLaterMoment(moment, completeUntil)) return;
      // The age can't be computed if the clock of the moment's era is unknown.
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
        pollUntilConfirmed(
          storeTime.latest(),
          clock.nowMs() + timeoutMs,
          resolve,
        ),
      ),
  };
}
