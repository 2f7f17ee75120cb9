/** When the next datagram to each address is due. */

import {hashText} from '../../core/hash_text.js';
import type {Clock} from '../../ports/clock.js';

export interface SendSchedule {
  isDue(address: string): boolean;
  /**
   * A datagram was sent to the address, and the receiver expects the next one
   * within the interval. The next one is due somewhat earlier, with a jitter:
   * many datagrams at once overflow a small host's link, and if the same ones
   * were dropped each time, peers would declare live hosts dead.
   */
  noteSent(address: string, intervalMs: number): void;
  /** Makes datagrams to all addresses due immediately. */
  makeAllDue(): void;
}

/** Share of the interval over which the due times are spread. */
const JITTER_SHARE = 0.35;
/** Timers fire slightly early or late; half a tick covers that. */
const TIMER_TOLERANCE_TICKS = 0.5;
const UINT32_RANGE = 2 ** 32;

/** `tickMs` is the interval at which the owner checks what is due. */
export function createSendSchedule(clock: Clock, tickMs: number): SendSchedule {
  const dueAtMs = new Map<string, number>();
  let draws = 0;
  return {
    isDue: address => clock.nowMs() >= (dueAtMs.get(address) ?? 0),
    noteSent(address, intervalMs) {
      const latestMs =
        clock.nowMs() + intervalMs - TIMER_TOLERANCE_TICKS * tickMs;
      const draw = hashText(`${address}|${draws++}`) / UINT32_RANGE;
      const jitterMs = intervalMs <= tickMs ? 0 : JITTER_SHARE * intervalMs;
      dueAtMs.set(address, latestMs - draw * jitterMs);
    },
    makeAllDue: () => dueAtMs.clear(),
  };
}
