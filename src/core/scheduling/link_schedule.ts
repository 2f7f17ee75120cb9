/**
 * Schedule of one network link that carries KV transfers one at a time. Bookings
 * are made in advance, so a short transfer may fill a gap before a long one.
 */

interface Booking {
  readonly grantId: string;
  readonly startMs: number;
  readonly endMs: number;
}

export interface LinkSchedule {
  /** Returns the earliest start from `fromMs` of a gap of `durationMs`. */
  earliestStartMs(fromMs: number, durationMs: number): number;
  book(grantId: string, startMs: number, durationMs: number): void;
  release(grantId: string): void;
  /** Removes bookings that ended before `nowMs`. */
  prune(nowMs: number): void;
  bookedMs(): number;
}

export function createLinkSchedule(): LinkSchedule {
  let bookings: Booking[] = [];

  return {
    earliestStartMs(fromMs, durationMs) {
      let startMs = fromMs;
      for (const booking of bookings) {
        if (booking.endMs <= startMs) continue;
        if (booking.startMs >= startMs + durationMs) break;
        startMs = booking.endMs;
      }
      return startMs;
    },
    book(grantId, startMs, durationMs) {
      const booking = {grantId, startMs, endMs: startMs + durationMs};
      let index = bookings.length;
      while (index > 0 && bookings[index - 1].startMs > startMs) index--;
      bookings.splice(index, 0, booking);
    },
    release(grantId) {
      const index = bookings.findIndex(each => each.grantId === grantId);
      if (index >= 0) bookings.splice(index, 1);
    },
    prune(nowMs) {
      if (bookings.length === 0 || bookings[0].endMs > nowMs) return;
      bookings = bookings.filter(each => each.endMs > nowMs);
    },
    bookedMs: () =>
      bookings.reduce((sum, each) => sum + each.endMs - each.startMs, 0),
  };
}
