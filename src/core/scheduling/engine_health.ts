/**
 * Outlier detection for engines. It ejects engines that fail or are much slower
 * than their pool, probes them with single requests, and ramps up returning and
 * cold engines. A minimum share of each pool is never ejected, so that a wrong
 * signal cannot empty it.
 */

export interface HealthOptions {
  /** An engine slower than the pool's median by this factor is ejected. */
  readonly slowFactor: number;
  /** Samples required before slowness is evaluated. */
  readonly minSamples: number;
  readonly failuresToEject: number;
  /** First ejection time; doubled on each repeated ejection up to the maximum. */
  readonly ejectMs: number;
  readonly maxEjectMs: number;
  /** Interval of probe requests to an engine on probation. */
  readonly probeIntervalMs: number;
  /** Time from first use to full share. */
  readonly rampMs: number;
  /** Minimum share of a pool that is never ejected. */
  readonly minUsableShare: number;
}

export const DEFAULT_HEALTH: HealthOptions = {
  slowFactor: 2,
  minSamples: 3,
  // The ejection is short and ends with one successful request, whereas a failed
  // engine is idle and would attract every retry.
  failuresToEject: 1,
  ejectMs: 1_500,
  maxEjectMs: 3_000,
  probeIntervalMs: 2_000,
  rampMs: 3_000,
  minUsableShare: 0.5,
};

const SMOOTHING = 0.4;
const MEDIAN_INTERVAL_MS = 50;
/** Initial share of the capacity of a cold engine. */
const RAMP_START_SHARE = 0.25;

interface EngineRecord {
  readonly pool: string;
  /** Time at which the ramp started. */
  admittedAtMs: number;
  slowness: number;
  samples: number;
  failures: number;
  ejectedUntilMs: number;
  nextEjectMs: number;
  /** Ejected before and without a successful request since. */
  isOnProbation: boolean;
  lastProbeMs: number;
}

export interface EngineHealth {
  add(engineId: string, pool: string, nowMs: number, isWarm: boolean): void;
  remove(engineId: string): void;
  /** Records `cost`, a time per unit of work comparable within the pool. */
  sample(engineId: string, cost: number, nowMs: number): void;
  failure(engineId: string, nowMs: number): void;
  success(engineId: string, nowMs: number): void;
  isUsable(engineId: string, nowMs: number): boolean;
  /** Whether its samples are not representative of the pool. */
  isOutlier(engineId: string): boolean;
  /** Records a request to the engine; only relevant on probation. */
  recordUse(engineId: string, nowMs: number): void;
  /** Returns the usable share of the engine's capacity, 0 to 1. */
  share(engineId: string, nowMs: number): number;
  ejectedCount(nowMs: number): number;
}

export function createEngineHealth(options: HealthOptions): EngineHealth {
  const records = new Map<string, EngineRecord>();

  const medians = new Map<string, {slowness: number; atMs: number}>();

  /** Updates the pool's median slowness; 0 without samples. */
  function refreshMedian(pool: string, nowMs: number): void {
    const last = medians.get(pool);
    if (last && nowMs - last.atMs < MEDIAN_INTERVAL_MS) return;
    const known: number[] = [];
    for (const record of records.values()) {
      if (record.pool === pool && record.samples > 0) {
        known.push(record.slowness);
      }
    }
    known.sort((a, b) => a - b);
    const slowness = known.length > 0 ? known[(known.length - 1) >> 1] : 0;
    medians.set(pool, {slowness, atMs: nowMs});
  }

  function isSlow(record: EngineRecord): boolean {
    const median = medians.get(record.pool)?.slowness ?? 0;
    return (
      median > 0 &&
      record.samples > 0 &&
      record.slowness > options.slowFactor * median
    );
  }

  /** Whether an ejection keeps the minimum share of the pool usable. */
  function mayEject(pool: string, nowMs: number): boolean {
    let total = 0;
    let usable = 0;
    for (const record of records.values()) {
      if (record.pool !== pool) continue;
      total++;
      if (record.ejectedUntilMs <= nowMs) usable++;
    }
    return usable - 1 >= total * options.minUsableShare;
  }

  function eject(record: EngineRecord, nowMs: number): void {
    if (record.ejectedUntilMs > nowMs) return;
    if (!mayEject(record.pool, nowMs)) return;
    record.ejectedUntilMs = nowMs + record.nextEjectMs;
    record.nextEjectMs = Math.min(options.maxEjectMs, record.nextEjectMs * 2);
    record.failures = 0;
    record.samples = 0;
    record.isOnProbation = true;
    record.lastProbeMs = Number.NEGATIVE_INFINITY;
  }

  function endProbation(record: EngineRecord, nowMs: number): void {
    if (!record.isOnProbation || record.ejectedUntilMs > nowMs) return;
    record.isOnProbation = false;
    record.admittedAtMs = nowMs;
    record.nextEjectMs = options.ejectMs;
  }

  return {
    add(engineId, pool, nowMs, isWarm) {
      records.set(engineId, {
        pool,
        admittedAtMs: isWarm ? nowMs - options.rampMs : nowMs,
        slowness: 0,
        samples: 0,
        failures: 0,
        ejectedUntilMs: 0,
        nextEjectMs: options.ejectMs,
        isOnProbation: false,
        lastProbeMs: Number.NEGATIVE_INFINITY,
      });
    },
    remove(engineId) {
      records.delete(engineId);
    },
    sample(engineId, cost, nowMs) {
      const record = records.get(engineId);
      // Work still running on an ejected engine was assigned before.
      if (!record || record.ejectedUntilMs > nowMs) return;
      record.slowness =
        record.samples === 0
          ? cost
          : record.slowness + SMOOTHING * (cost - record.slowness);
      record.samples++;
      refreshMedian(record.pool, nowMs);
      const needed = record.isOnProbation ? 1 : options.minSamples;
      if (record.samples < needed) return;
      if (isSlow(record)) eject(record, nowMs);
      else endProbation(record, nowMs);
    },
    failure(engineId, nowMs) {
      const record = records.get(engineId);
      if (!record) return;
      record.failures++;
      const needed = record.isOnProbation ? 1 : options.failuresToEject;
      if (record.failures >= needed) eject(record, nowMs);
    },
    success(engineId, nowMs) {
      const record = records.get(engineId);
      if (!record) return;
      record.failures = 0;
      if (!isSlow(record)) endProbation(record, nowMs);
    },
    isUsable(engineId, nowMs) {
      const record = records.get(engineId);
      return record !== undefined && record.ejectedUntilMs <= nowMs;
    },
    isOutlier(engineId) {
      const record = records.get(engineId);
      return record !== undefined && (record.isOnProbation || isSlow(record));
    },
    recordUse(engineId, nowMs) {
      const record = records.get(engineId);
      if (record) record.lastProbeMs = nowMs;
    },
    share(engineId, nowMs) {
      const record = records.get(engineId);
      if (!record || record.ejectedUntilMs > nowMs) return 0;
      if (record.isOnProbation) {
        const mayProbe = nowMs - record.lastProbeMs >= options.probeIntervalMs;
        return mayProbe ? RAMP_START_SHARE : 0;
      }
      const ageMs = nowMs - record.admittedAtMs;
      if (ageMs >= options.rampMs) return 1;
      return (
        RAMP_START_SHARE + (1 - RAMP_START_SHARE) * (ageMs / options.rampMs)
      );
    },
    ejectedCount(nowMs) {
      let count = 0;
      for (const record of records.values()) {
        if (record.ejectedUntilMs > nowMs) count++;
      }
      return count;
    },
  };
}
