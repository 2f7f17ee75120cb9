/**
 * An upper bound on the time of the store's own clock, from its answers.
 *
 * Ages of what the store confirmed are safe only on one clock: word of a peer
 * may lie in a socket while this process is frozen, or in the memory of a peer
 * that was, and an age that counts from its receipt is then too young.
 */

import type {Clock} from '../../ports/clock.js';

export interface StoreTime {
  /** The store told its time in answer to a call sent at `sentAt`. */
  note(sentAt: LocalInstant, storeNowMs: number): void;
  /** Undefined until the store, or a peer for it, has told its time. */
  latestMs(): number | undefined;
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
  let calibration: Calibration | undefined;

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
    note(sentAt, storeNowMs) {
      const fresh = {sentAt, storeNowMs};
      const knownMs = calibration && latestBy(calibration);
      const isTighter = knownMs === undefined || latestBy(fresh) < knownMs;
      const isRefuted = knownMs !== undefined && knownMs < storeNowMs;
      if (isTighter || isRefuted) calibration = fresh;
    },
    latestMs: () => calibration && latestBy(calibration),
  };
}
