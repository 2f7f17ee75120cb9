/**
 * Computes an upper bound on the current time of the store's clock.
 *
 * The age of what the store confirmed must be measured on the store's clock. A
 * peer's message may wait in a socket while this process is suspended, or in a
 * suspended peer, so an age counted from its receipt may be too low.
 */

import type {StoreMoment} from '../../core/store_revision.js';
import type {Clock} from '../../ports/clock.js';

export interface StoreTime {
  /** Records the store's time from its answer to a call sent at `sentAt`. */
  note(sentAt: LocalInstant, storeNow: StoreMoment): void;
  /**
   * Returns an upper bound on the current time, on the clock of the newest era.
   * Undefined until the store's time is known, from the store or from a peer.
   */
  latest(): StoreMoment | undefined;
  /**
   * Returns an upper bound on the moment's age, or undefined if the time of its
   * era is unknown.
   */
  ageMs(moment: StoreMoment): number | undefined;
  /** Returns the local time, to pass to `note` with the answer to a call. */
  now(): LocalInstant;
}

/**
 * One moment on both clocks of this host. The steady clock may omit the time of
 * a suspension, and the wall clock may jump back, so the larger elapsed time of
 * the two is used.
 */
export interface LocalInstant {
  readonly steadyMs: number;
  readonly wallMs: number;
}

interface Calibration {
  readonly sentAt: LocalInstant;
  readonly storeNowMs: number;
}

export function createStoreTime(clock: Clock): StoreTime {
  /** Calibrations by era; the clocks of two eras are unrelated. */
  const calibrations = new Map<number, Calibration>();
  let newestEra = 0;

  const now = (): LocalInstant => ({
    steadyMs: clock.nowMs(),
    wallMs: clock.wallMs(),
  });

  /**
   * Assumes that the store read its clock when the call was sent. It read it
   * later, so the result is never too low.
   */
  function upperBoundMs({sentAt, storeNowMs}: Calibration): number {
    const {steadyMs, wallMs} = now();
    const elapsedMs = Math.max(
      steadyMs - sentAt.steadyMs,
      wallMs - sentAt.wallMs,
    );
    return storeNowMs + elapsedMs;
  }

  return {
    now,
    note(sentAt, {era, storeMs: storeNowMs}) {
      const fresh = {sentAt, storeNowMs};
      const known = calibrations.get(era);
      const knownMs = known && upperBoundMs(known);
      const isTighter = knownMs === undefined || upperBoundMs(fresh) < knownMs;
      const isRefuted = knownMs !== undefined && knownMs < storeNowMs;
      if (isTighter || isRefuted) calibrations.set(era, fresh);
      newestEra = Math.max(newestEra, era);
    },
    latest() {
      const calibration = calibrations.get(newestEra);
      return (
        calibration && {era: newestEra, storeMs: upperBoundMs(calibration)}
      );
    },
    ageMs({era, storeMs}) {
      const calibration = calibrations.get(era);
      return calibration && Math.max(0, upperBoundMs(calibration) - storeMs);
    },
  };
}
