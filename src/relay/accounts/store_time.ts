/**
 * An upper bound on the time of the store's own clock, from its answers.
 *
 * Ages of what the store confirmed are safe only on one clock: word of a peer
 * may lie in a socket while this process is frozen, or in the memory of a peer
 * that was, and an age that counts from its receipt is then too young.
 */

import type {StoreMoment} from '../../core/store_revision.js';
import type {Clock} from '../../ports/clock.js';

export interface StoreTime {
  /** The store told its time in answer to a call sent at `sentAt`. */
  note(sentAt: LocalInstant, storeNow: StoreMoment): void;
  /**
   * The present at the latest, on the clock of the newest era; undefined until
   * the store, or a peer for it, has told its time.
   */
  latest(): StoreMoment | undefined;
  /**
   * How long ago that was at most; undefined for a moment of an era in which
   * this host has not heard the time.
   */
  ageMs(moment: StoreMoment): number | undefined;
  /** The present, to be handed to `note` with the answer to a call. */
  now(): LocalInstant;
}

/**
 * One moment on both clocks of this host. The steady one may leave out the
 * time of a suspension, and the time of day may jump back; the larger elapsed
 * time of the two is never too short by either alone.
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
  /** By era, since the clocks of two eras have nothing in common. */
  const calibrations = new Map<number, Calibration>();
  let newestEra = 0;

  const now = (): LocalInstant => ({
    steadyMs: clock.nowMs(),
    wallMs: clock.wallMs(),
  });

  /** The store answered after the call was sent, so its time is no later. */
  function latestBy({sentAt, storeNowMs}: Calibration): number {
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
      const knownMs = known && latestBy(known);
      const isTighter = knownMs === undefined || latestBy(fresh) < knownMs;
      const isRefuted = knownMs !== undefined && knownMs < storeNowMs;
      if (isTighter || isRefuted) calibrations.set(era, fresh);
      newestEra = Math.max(newestEra, era);
    },
    latest() {
      const calibration = calibrations.get(newestEra);
      return calibration && {era: newestEra, storeMs: latestBy(calibration)};
    },
    ageMs({era, storeMs}) {
      const calibration = calibrations.get(era);
      return calibration && Math.max(0, latestBy(calibration) - storeMs);
    },
  };
}
