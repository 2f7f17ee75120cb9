/**
 * Learns which part of an account's units its requests of each priority use.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import type {Clock} from '../../ports/clock.js';

/** What the requests of one priority use of all units of an account. */
export interface PriorityShare {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** From 0 to 1. */
  readonly share: number;
}

export interface AccountMix {
  /** The most urgent first; empty if no request had a priority. */
  readonly shares: readonly PriorityShare[];
  /** Mean cost of a request. */
  readonly requestUnits: number;
  /** Number of recent requests; older ones count less. */
  readonly requestCount: number;
  /** Units per second that the requests of this host need. */
  readonly unitsPerS: number;
}

export interface PriorityMix {
  /** A request without a priority counts in the total only. */
  record(
    account: string,
    priority: number | undefined,
    costUnits: number,
  ): void;
  /** Returns undefined for an account without recent requests. */
  of(account: string): AccountMix | undefined;
}

/**
 * Minimum observation time for a rate, so that the first requests of an account
 * don't look like a burst.
 */
const MIN_OBSERVED_MS = 2_000;
/** A mix expires after this many time constants without a request. */
const VALID_DECAYS = 3;
/** Accounts with the longest time since their last request are evicted. */
const MAX_ACCOUNTS = 1_024;
/** Requests of further priorities of an account count in the total only. */
const MAX_PRIORITIES = 16;
/** A priority with fewer units is forgotten. */
const MIN_UNITS = 0.01;
const MS_PER_SECOND = 1_000;

interface DecayingMix {
  readonly unitsByPriority: Map<number, number>;
  totalUnits: number;
  requestCount: number;
  updatedAtMs: number;
  lastRequestAtMs: number;
  readonly firstAtMs: number;
}

/** @param decayMs Time constant of the mix. */
export function createPriorityMix(clock: Clock, decayMs: number): PriorityMix {
  const mixes = createBoundedMap<DecayingMix>(MAX_ACCOUNTS);

  /** Returns the rate that gives the decayed total after the observed time. */
  function rateOf({totalUnits, firstAtMs}: DecayingMix, nowMs: number): number {
    const observedMs = Math.max(MIN_OBSERVED_MS, nowMs - firstAtMs);
    const seenShare = 1 - Math.exp(-observedMs / decayMs);
    return (totalUnits * MS_PER_SECOND) / (decayMs * seenShare);
  }

  function decay(mix: DecayingMix, nowMs: number): void {
    const kept = Math.exp(-(nowMs - mix.updatedAtMs) / decayMs);
    for (const [priority, units] of mix.unitsByPriority) {
      if (units * kept < MIN_UNITS) mix.unitsByPriority.delete(priority);
      else mix.unitsByPriority.set(priority, units * kept);
    }
    mix.totalUnits *= kept;
    mix.requestCount *= kept;
    mix.updatedAtMs = nowMs;
  }

  return {
    record(account, priority, costUnits) {
      const nowMs = clock.nowMs();
      const mix = mixes.get(account) ?? {
        unitsByPriority: new Map<number, number>(),
        totalUnits: 0,
        requestCount: 0,
        updatedAtMs: nowMs,
        lastRequestAtMs: nowMs,
        firstAtMs: nowMs,
      };
      mix.lastRequestAtMs = nowMs;
      mixes.set(account, mix);
      decay(mix, nowMs);
      mix.totalUnits += costUnits;
      mix.requestCount++;
      if (priority === undefined) return;
      const {size} = mix.unitsByPriority;
      const units = mix.unitsByPriority.get(priority) ?? 0;
      if (units === 0 && size >= MAX_PRIORITIES) return;
      mix.unitsByPriority.set(priority, units + costUnits);
    },
    of(account) {
      const mix = mixes.get(account);
      const nowMs = clock.nowMs();
      if (!mix || nowMs - mix.lastRequestAtMs > VALID_DECAYS * decayMs)
        return undefined;
      decay(mix, nowMs);
      if (mix.totalUnits <= 0) return undefined;
      const shares = [...mix.unitsByPriority]
        .map(([priority, units]) => ({
          priority,
          share: units / mix.totalUnits,
        }))
        .sort((a, b) => a.priority - b.priority);
      const {totalUnits, requestCount} = mix;
      const requestUnits = totalUnits / requestCount;
      const unitsPerS = rateOf(mix, nowMs);
      return {shares, requestUnits, requestCount, unitsPerS};
    },
  };
}
