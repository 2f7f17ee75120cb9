/**
 * Counts the retries of one service that an owner grants, so that in any 10 s
 * they stay within a constant plus what the requests of that time allowed.
 *
 * It checks each span of time that ends now and is at most that long. The times
 * are rounded such that the sum can only be smaller than allowed: a grant may
 * be used a little later than it was given, and a host reports what its
 * requests allowed a little later than they arrived.
 */

import type {Clock} from '../../ports/clock.js';

export interface RetryWindow {
  /** Adds retries that requests allowed, all of them after `sinceMs`. */
  credit(count: number, sinceMs: number): void;
  /** Grants a retry, unless that would exceed `constant` plus the credits. */
  tryGrant(constant: number): boolean;
  /** Forgets the credits, but not the grants. */
  clearCredits(): void;
  /** Grants within the last 10 s, for logs. */
  grantCount(): number;
}

/** The bound holds for any period of this length. */
export const WINDOW_MS = 10_000;
/** Fine enough against the interval of reports (600 ms). */
const SLOT_MS = 250;
/** A grant is used or dropped within a slot, so one more slot is counted. */
export const GRANT_VALID_MS = SLOT_MS;
const SLOT_COUNT = WINDOW_MS / SLOT_MS + 2;
/** For a slot of delay of a report, and one until a grant is used. */
const CREDIT_MARGIN_SLOTS = 2;

interface Slot {
  grants: number;
  credits: number;
}

export function createRetryWindow(clock: Clock): RetryWindow {
  /** By number of the slot since the start of the clock. */
  const slots = new Map<number, Slot>();
  const slotAt = (timeMs: number) => Math.floor(timeMs / SLOT_MS);

  function dropOld(): void {
    const oldest = slotAt(clock.nowMs()) - SLOT_COUNT;
    for (const index of slots.keys()) {
      if (index <= oldest) slots.delete(index);
    }
  }

  function slotOf(index: number): Slot {
    const slot = slots.get(index) ?? {grants: 0, credits: 0};
    slots.set(index, slot);
    return slot;
  }

  /** How many more grants every span that ends now allows beside the constant. */
  function leastRoom(): number {
    const newest = slotAt(clock.nowMs());
    let room = 0;
    let least = Infinity;
    for (let index = newest; index > newest - SLOT_COUNT; index--) {
      const {grants = 0, credits = 0} = slots.get(index) ?? {};
      // A span that begins within this slot has all its grants, but perhaps
      // none of its credits.
      least = Math.min(least, room - grants);
      room += credits - grants;
    }
    return least;
  }

  return {
    credit(count, sinceMs) {
      dropOld();
      slotOf(slotAt(sinceMs) - CREDIT_MARGIN_SLOTS).credits += count;
    },
    tryGrant(constant) {
      dropOld();
      if (constant + leastRoom() < 1) return false;
      slotOf(slotAt(clock.nowMs())).grants++;
      return true;
    },
    clearCredits() {
      for (const slot of slots.values()) slot.credits = 0;
    },
    grantCount() {
      dropOld();
      return [...slots.values()].reduce((sum, {grants}) => sum + grants, 0);
    },
  };
}
