/**
 * Means of recent observations over all hosts. Each host announces sums that
 * decay with time, and adds up the sums of all hosts, because one host among
 * many sees too few streams for a useful mean.
 */

import type {Clock} from '../../ports/clock.js';

/**
 * The observations of one host: their total weight, and the sum of each value.
 */
export interface DecayingSums {
  readonly weight: number;
  readonly sums: readonly number[];
}

export interface PooledMeansOptions {
  /** Means before any observation. */
  readonly initialMeans: readonly number[];
  /** Weight of the initial means, as a number of observations. */
  readonly initialWeight: number;
  /** The weight of an observation falls to about a third after this time. */
  readonly decayMs: number;
}

export interface PooledMeans {
  /** Adds an observation: one value for each mean. */
  add(values: readonly number[]): void;
  means(): readonly number[];
  /** This host's observations, to announce to the others. */
  ownSums(): DecayingSums;
  /** The observations of all hosts. */
  totalSums(): DecayingSums;
  setPeer(hostId: string, sums: DecayingSums): void;
  removePeer(hostId: string): void;
}

interface TimedSums extends DecayingSums {
  readonly atMs: number;
}

const ROUNDING_FACTOR = 10;

const round = (value: number) =>
  Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR;

export function createPooledMeans(
  {clock}: {readonly clock: Clock},
  options: PooledMeansOptions,
): PooledMeans {
  const {initialMeans, initialWeight, decayMs} = options;
  const peers = new Map<string, TimedSums>();
  let ownSums: TimedSums = {
    weight: 0,
    sums: initialMeans.map(() => 0),
    atMs: 0,
  };

  function decay({weight, sums, atMs}: TimedSums): TimedSums {
    const nowMs = clock.nowMs();
    const rest = Math.exp((atMs - nowMs) / decayMs);
    return {
      weight: weight * rest,
      sums: sums.map(sum => sum * rest),
      atMs: nowMs,
    };
  }

  function addUp(): DecayingSums {
    const all = [ownSums, ...peers.values()].map(decay);
    return {
      weight: all.reduce((sum, each) => sum + each.weight, 0),
      sums: initialMeans.map((_, i) =>
        all.reduce((sum, {sums}) => sum + sums[i], 0),
      ),
    };
  }

  const toRounded = ({weight, sums}: DecayingSums): DecayingSums => ({
    weight: round(weight),
    sums: sums.map(round),
  });

  return {
    add(values) {
      const {weight, sums, atMs} = decay(ownSums);
      ownSums = {
        weight: weight + 1,
        sums: sums.map((sum, i) => sum + values[i]),
        atMs,
      };
    },
    means() {
      const {weight, sums} = addUp();
      return initialMeans.map(
        (value, i) =>
          (value * initialWeight + sums[i]) / (initialWeight + weight),
      );
    },
    ownSums: () => toRounded(decay(ownSums)),
    totalSums: () => toRounded(addUp()),
    setPeer(hostId, {weight, sums}) {
      if (weight > 0) peers.set(hostId, {weight, sums, atMs: clock.nowMs()});
      else peers.delete(hostId);
    },
    removePeer: hostId => void peers.delete(hostId),
  };
}
