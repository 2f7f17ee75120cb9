/**
 * Up to which moment this host is sure to have every acknowledged version of
 * the configuration in force.
 *
 * Guards against a withdrawn key that goes on working at a host which the store
 * turns away, or which was frozen, cut off or restarted: such a host cannot
 * tell that it misses a version, so it takes no request with a key once its
 * certainty is older than the bound on a withdrawal.
 */

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
  noteCompleteUntil(storeMs: number): void;
  /** On the store's clock, for peers; 0 while nothing is known. */
  completeUntilMs(): number;
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
  let completeUntilMs = 0;

  function confirm(
    wantedMs: number | undefined,
    giveUpAtMs: number,
    resolve: (isConfirmed: boolean) => void,
  ): void {
    // A host that has just started learns the store's time meanwhile.
    const untilMs = wantedMs ?? storeTime.latestMs();
    if (untilMs !== undefined && completeUntilMs >= untilMs) {
      return resolve(true);
    }
    if (clock.nowMs() >= giveUpAtMs) return resolve(false);
    clock.setTimer(LOOK_EVERY_MS, () => confirm(untilMs, giveUpAtMs, resolve));
  }

  return {
    noteCompleteUntil(storeMs) {
      completeUntilMs = Math.max(completeUntilMs, storeMs);
    },
    completeUntilMs: () => completeUntilMs,
    ageMs() {
      const latestMs = storeTime.latestMs();
      if (latestMs === undefined || completeUntilMs === 0) {
        return Number.POSITIVE_INFINITY;
      }
      return Math.max(0, latestMs - completeUntilMs);
    },
    confirmNow: timeoutMs =>
      new Promise(resolve =>
        confirm(storeTime.latestMs(), clock.nowMs() + timeoutMs, resolve),
      ),
  };
}
