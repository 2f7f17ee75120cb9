/**
 * Counts the retries of one service that an owner grants, so that in any window
 * they stay within a constant plus what the requests of that time allowed.
 *
 * It checks each span of time that ends now and is at most that long. The owner
 * learns what requests allowed (credits) with a delay, so credits that it
 * counts in a span may belong to the time before. The constant is therefore
 * reduced by the most credits that were in transit at any time of the window.
 */

import type {Clock} from '../../ports/clock.js';

export interface GrantLimit {
  /** What all owners together may grant in any window beside the credits. */
  readonly restRetries: number;
  /** Number of owners that there may be at a time. */
  readonly ownerCount: number;
  /** Share of its part that a new owner may grant already. */
  readonly ownedShare: number;
}

export interface RetryWindow {
  /**
   * Adds retries that requests allowed within the delay before now, as far as
   * credits on their way stay within `maxOnWay`.
   */
  credit(count: number, maxOnWay: number): void;
  /** Grants a retry if the limit leaves one. */
  tryGrant(limit: GrantLimit): boolean;
  /** Forgets the credits, but not the grants. */
  clearCredits(): void;
  /** Grants and credits within the last window, for logs. */
  counts(): {readonly grants: number; readonly credits: number};
}

export interface RetryWindowHost {
  readonly clock: Clock;
  /** The bound holds for any period of this length, which may change. */
  windowMs(): number;
  /** Longest time until a credit is reported. */
  delayMs(): number;
}

/** Fine enough against the interval of reports (600 ms). */
const SLOT_MS = 250;
/** A grant is used or dropped within a slot, so one more slot is counted. */
export const GRANT_VALID_MS = SLOT_MS;
/** A grant is used within a slot, and a span begins within another. */
const DELAY_MARGIN_SLOTS = 2;

interface Slot {
  grants: number;
  credits: number;
}

const EMPTY_SLOT: Slot = {grants: 0, credits: 0};

export function createRetryWindow(host: RetryWindowHost): RetryWindow {
  const {clock} = host;
  /** By number of the slot since the start of the clock. */
  const slots = new Map<number, Slot>();
  const slotCount = () => Math.ceil(host.windowMs() / SLOT_MS) + 2;
  const nowSlot = () => Math.floor(clock.nowMs() / SLOT_MS);
  const delaySlots = () =>
    Math.ceil(host.delayMs() / SLOT_MS) + DELAY_MARGIN_SLOTS;

  function dropOld(): void {
    const oldest = nowSlot() - slotCount();
    for (const index of slots.keys()) {
      if (index <= oldest) slots.delete(index);
    }
  }

  /** The slots of the window, from the newest to the oldest. */
  function recent(): readonly Slot[] {
    const newest = nowSlot();
    return Array.from(
      {length: slotCount()},
      (_, age) => slots.get(newest - age) ?? EMPTY_SLOT,
    );
  }

  function currentSlot(): Slot {
    dropOld();
    const slot = slots.get(nowSlot()) ?? {grants: 0, credits: 0};
    slots.set(nowSlot(), slot);
    return slot;
  }

  /** Most credits within the delay at any time of the window. */
  function mostOnWay(): number {
    const list = recent();
    const length = delaySlots();
    let sum = 0;
    let most = 0;
    list.forEach(({credits}, index) => {
      sum += credits - (list[index - length]?.credits ?? 0);
      most = Math.max(most, sum);
    });
    return most;
  }

  /** Credits minus grants of the span that has least of it. */
  function leastBalance(): number {
    let balance = 0;
    let least = Infinity;
    for (const {credits, grants} of recent()) {
      balance += credits - grants;
      least = Math.min(least, balance);
    }
    return least;
  }

  return {
    credit(count, maxOnWay) {
      const slot = currentSlot();
      const onWay = recent()
        .slice(0, delaySlots())
        .reduce((sum, {credits}) => sum + credits, 0);
      slot.credits += Math.max(0, Math.min(count, maxOnWay - onWay));
    },
    tryGrant({restRetries, ownerCount, ownedShare}) {
      const slot = currentSlot();
      const constant = ((restRetries - mostOnWay()) / ownerCount) * ownedShare;
      if (constant + leastBalance() < 1) return false;
      slot.grants++;
      return true;
    },
    clearCredits() {
      for (const slot of slots.values()) slot.credits = 0;
    },
    counts: () =>
      recent().reduce((sum, {grants, credits}) => ({
        grants: sum.grants + grants,
        credits: sum.credits + credits,
      })),
  };
}
