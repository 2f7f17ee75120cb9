/**
 * When the store last confirmed what a host knows, and by how many hosts the
 * word has come.
 *
 * An age loses the time that its datagram takes on the way. Hosts that told on
 * whatever they hear would keep each other's age young though nobody reads the
 * store. So an age is told on once at most, and is too young by two hops at
 * most.
 */

import type {Clock} from '../../ports/clock.js';

/** What a host announces of one thing that it knows from the store. */
export interface ConfirmedAges {
  /** Since the store confirmed it to the host itself. */
  readonly readAgeMs: number;
  /** The same, or since it confirmed it to one that told the host. */
  readonly ageMs: number;
}

export interface StoreConfirmation {
  /** The store confirmed it to this host. */
  noteRead(atMs: number): void;
  /** A peer that knows the same announced these ages. */
  notePeer(ages: ConfirmedAges): void;
  /** A peer handed it over, as old as this; it is not told on. */
  noteHanded(ageMs: number): void;
  /** What this host goes by. */
  ageMs(): number;
  /** What this host tells its peers. */
  announced(): ConfirmedAges;
}

/** Stands for "never" in announcements, which carry finite numbers only. */
const MAX_AGE_MS = 3_600_000;

export function createStoreConfirmation(clock: Clock): StoreConfirmation {
  let readAtMs = Number.NEGATIVE_INFINITY;
  /** By peers that read it themselves. */
  let toldAtMs = Number.NEGATIVE_INFINITY;
  /** By peers that were told. */
  let heardAtMs = Number.NEGATIVE_INFINITY;

  const ageOf = (atMs: number) =>
    Math.round(Math.min(clock.nowMs() - atMs, MAX_AGE_MS));

  return {
    noteRead(atMs) {
      readAtMs = Math.max(readAtMs, atMs);
    },
    notePeer({readAgeMs, ageMs}) {
      const nowMs = clock.nowMs();
      toldAtMs = Math.max(toldAtMs, nowMs - readAgeMs);
      heardAtMs = Math.max(heardAtMs, nowMs - ageMs);
    },
    noteHanded(ageMs) {
      heardAtMs = Math.max(heardAtMs, clock.nowMs() - ageMs);
    },
    ageMs: () => ageOf(Math.max(readAtMs, toldAtMs, heardAtMs)),
    announced: () => ({
      readAgeMs: ageOf(readAtMs),
      ageMs: ageOf(Math.max(readAtMs, toldAtMs)),
    }),
  };
}
