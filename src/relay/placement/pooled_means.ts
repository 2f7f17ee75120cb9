/**
 * Means of what all hosts saw lately. Each host tells sums that fade with time,
 * and adds up those of all: one of many hosts sees too few streams to learn
 * anything by itself.
 */

import type {Clock} from '../../ports/clock.js';

/** What one host tells: how much it saw, and the sum of each value. */
export interface FadingSums {
  readonly weight: number;
  readonly sums: readonly number[];
}

export interface PooledMeansOptions {
  /** Means until something was seen. */
  readonly first: readonly number[];
  /** How many sights outweigh `first`. */
  readonly firstWeight: number;
  /** What was seen this long ago counts a third. */
  readonly fadeMs: number;
}

export interface PooledMeans {
  /** One sight: a value for each mean. */
  note(values: readonly number[]): void;
  means(): readonly number[];
  /** What this host saw, for the others. */
  own(): FadingSums;
  /** What all hosts saw. */
  total(): FadingSums;
  hear(hostId: string, sums: FadingSums): void;
  forget(hostId: string): void;
}

interface TimedSums extends FadingSums {
  readonly atMs: number;
}

const DIGITS = 10;

const round = (value: number) => Math.round(value * DIGITS) / DIGITS;

export function createPooledMeans(
  {clock}: {readonly clock: Clock},
  options: PooledMeansOptions,
): PooledMeans {
  const {first, firstWeight, fadeMs} = options;
  const peers = new Map<string, TimedSums>();
  let seen: TimedSums = {weight: 0, sums: first.map(() => 0), atMs: 0};

  function faded({weight, sums, atMs}: TimedSums): TimedSums {
    const nowMs = clock.nowMs();
    const rest = Math.exp((atMs - nowMs) / fadeMs);
    return {
      weight: weight * rest,
      sums: sums.map(sum => sum * rest),
      atMs: nowMs,
    };
  }

  function addUp(): FadingSums {
    const all = [seen, ...peers.values()].map(faded);
    return {
      weight: all.reduce((sum, each) => sum + each.weight, 0),
      sums: first.map((_, i) => all.reduce((sum, {sums}) => sum + sums[i], 0)),
    };
  }

  const toRounded = ({weight, sums}: FadingSums): FadingSums => ({
    weight: round(weight),
    sums: sums.map(round),
  });

  return {
    note(values) {
      const {weight, sums, atMs} = faded(seen);
      seen = {
        weight: weight + 1,
        sums: sums.map((sum, i) => sum + values[i]),
        atMs,
      };
    },
    means() {
      const {weight, sums} = addUp();
      return first.map(
        (value, i) => (value * firstWeight + sums[i]) / (firstWeight + weight),
      );
    },
    own: () => toRounded(faded(seen)),
    total: () => toRounded(addUp()),
    hear(hostId, {weight, sums}) {
      if (weight > 0) peers.set(hostId, {weight, sums, atMs: clock.nowMs()});
      else peers.delete(hostId);
    },
    forget: hostId => void peers.delete(hostId),
  };
}
