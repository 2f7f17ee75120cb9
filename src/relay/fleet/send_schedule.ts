/** When each address is to hear from this host next. */

import {hashText} from '../../core/hash_text.js';
import type {Clock} from '../../ports/clock.js';

export interface SendSchedule {
  isDue(address: string): boolean;
  /**
   * Something went there; the receiver expects more within the interval. The
   * next is due some time before that, and for each receiver at another time:
   * many datagrams in one moment overflow a small host's link, the same ones
   * each time, and peers lose a host that lives.
   */
  sent(address: string, intervalMs: number): void;
  /** All are to hear at once. */
  expedite(): void;
}

/** Repeats are spread over this part of their interval. */
const SPREAD_SHARE = 0.35;
/** Timers fire a little early or late; a tick is worth half of itself. */
const EARLY_TICKS = 0.5;
const UINT32_RANGE = 2 ** 32;

/** `tickMs` is how often its owner looks what is due. */
export function createSendSchedule(clock: Clock, tickMs: number): SendSchedule {
  const dueAtMs = new Map<string, number>();
  let draws = 0;
  return {
    isDue: address => clock.nowMs() >= (dueAtMs.get(address) ?? 0),
    sent(address, intervalMs) {
      const latestMs = clock.nowMs() + intervalMs - EARLY_TICKS * tickMs;
      const draw = hashText(`${address}|${draws++}`) / UINT32_RANGE;
      const spreadMs = intervalMs <= tickMs ? 0 : SPREAD_SHARE * intervalMs;
      dueAtMs.set(address, latestMs - draw * spreadMs);
    },
    expedite: () => dueAtMs.clear(),
  };
}
