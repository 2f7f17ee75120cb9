/** Counters of a stand-in engine: its work by request, and its KV memory. */

import type {OwnerTag} from '../src/ports/engine.js';
import type {AppliedOrder, EngineRun} from './engine_types.js';

type Mutable<T> = {-readonly [K in keyof T]: T[K]};

export interface EngineCounters {
  prefillStarted(owner: OwnerTag): void;
  prefillFinished(owner: OwnerTag, computed: number, cached: number): void;
  prefillWasted(tokenCount: number): void;
  decodeStarted(owner: OwnerTag): void;
  tokenGenerated(owner: OwnerTag): void;
  orderApplied(order: AppliedOrder): void;
  crashed(): void;
  /** Counts work refused `sinceMs` after the engine began to leave. */
  workRefusedWhileLeaving(sinceMs: number): void;
  /** Returns false and reserves nothing when the free memory is too small. */
  reserveKv(sizeBytes: number): boolean;
  freeKv(sizeBytes: number): void;
  freeAllKv(): void;
  kvUsedBytes(): number;
  totals(): {
    readonly runs: readonly EngineRun[];
    readonly prefillsFinished: number;
    readonly prefillTokensComputed: number;
    readonly prefillTokensCached: number;
    readonly prefillsWasted: number;
    readonly prefillTokensWasted: number;
    readonly tokensMade: number;
    readonly kvUsedBytes: number;
    readonly kvPeakBytes: number;
    readonly orders: readonly AppliedOrder[];
    readonly crashes: number;
    readonly workAfterLeavingMs: readonly number[];
  };
}

/** Number of requests kept; the oldest are dropped first. */
const MAX_RUNS = 200_000;

export function createEngineCounters(kvTotalBytes: number): EngineCounters {
  const runs = new Map<string, Mutable<EngineRun>>();
  const orders: AppliedOrder[] = [];
  const workAfterLeavingMs: number[] = [];
  const sums = {
    prefillsFinished: 0,
    prefillTokensComputed: 0,
    prefillTokensCached: 0,
    prefillsWasted: 0,
    prefillTokensWasted: 0,
    tokensMade: 0,
    kvUsedBytes: 0,
    kvPeakBytes: 0,
    crashes: 0,
  };

  function runOf(owner: OwnerTag): Mutable<EngineRun> {
    const existing = runs.get(owner.requestId);
    if (existing) return existing;
    const run = {
      requestId: owner.requestId,
      prefillsStarted: 0,
      prefillsFinished: 0,
      decodesStarted: 0,
      tokensMade: 0,
    };
    runs.set(owner.requestId, run);
    if (runs.size > MAX_RUNS) runs.delete(runs.keys().next().value!);
    return run;
  }

  return {
    prefillStarted(owner) {
      runOf(owner).prefillsStarted++;
    },
    prefillFinished(owner, computed, cached) {
      runOf(owner).prefillsFinished++;
      sums.prefillsFinished++;
      sums.prefillTokensComputed += computed;
      sums.prefillTokensCached += cached;
    },
    prefillWasted(tokenCount) {
      sums.prefillsWasted++;
      sums.prefillTokensWasted += tokenCount;
    },
    decodeStarted(owner) {
      runOf(owner).decodesStarted++;
    },
    tokenGenerated(owner) {
      runOf(owner).tokensMade++;
      sums.tokensMade++;
    },
    orderApplied: order => void orders.push(order),
    crashed: () => void sums.crashes++,
    workRefusedWhileLeaving: sinceMs => void workAfterLeavingMs.push(sinceMs),
    reserveKv(sizeBytes) {
      if (sums.kvUsedBytes + sizeBytes > kvTotalBytes) return false;
      sums.kvUsedBytes += sizeBytes;
      sums.kvPeakBytes = Math.max(sums.kvPeakBytes, sums.kvUsedBytes);
      return true;
    },
    freeKv(sizeBytes) {
      sums.kvUsedBytes -= sizeBytes;
    },
    freeAllKv() {
      sums.kvUsedBytes = 0;
    },
    kvUsedBytes: () => sums.kvUsedBytes,
    totals: () => ({
      ...sums,
      runs: [...runs.values()].map(run => ({...run})),
      orders: [...orders],
      workAfterLeavingMs: [...workAfterLeavingMs],
    }),
  };
}
