/**
 * Which engines to trust: ejects those that fail or are much slower than
 * their pool without saying so, tries them again with single requests, lets
 * them and cold ones in by a ramp, and never ejects so many that a bad signal
 * could empty a pool.
 */

export interface HealthOptions {
  /** Slower than the pool's median by this factor: ejected. */
  readonly slowFactor: number;
  /** Samples before slowness counts. */
  readonly minSamples: number;
  readonly failuresToEject: number;
  /** First ejection; each in a row doubles it up to the most. */
  readonly ejectMs: number;
  readonly mostEjectMs: number;
  /** Between two single requests to an engine that is tried again. */
  readonly tryEveryMs: number;
  /** Time from first use to full share. */
  readonly rampMs: number;
  /** At least this share of a pool stays in use. */
  readonly floorShare: number;
}

export const DEFAULT_HEALTH: HealthOptions = {
  slowFactor: 2,
  minSamples: 3,
  // One is enough: the ejection is short and a single good request ends it,
  // while an engine that died is idle and would draw each retry to itself.
  failuresToEject: 1,
  ejectMs: 1_500,
  mostEjectMs: 3_000,
  tryEveryMs: 2_000,
  rampMs: 3_000,
  floorShare: 0.5,
};

const SMOOTHING = 0.4;
const MEDIAN_EVERY_MS = 50;
/** Share of its capacity that a cold engine gets at once. */
const RAMP_START = 0.25;

interface EngineRecord {
  readonly pool: string;
  /** Start of the ramp. */
  admittedAtMs: number;
  slowness: number;
  samples: number;
  failures: number;
  ejectedUntilMs: number;
  nextEjectMs: number;
  /** Ejected before and not proven good since. */
  isOnTrial: boolean;
  lastTryMs: number;
}

export interface EngineHealth {
  add(engineId: string, pool: string, nowMs: number, isWarm: boolean): void;
  remove(engineId: string): void;
  /** `cost` is a time per unit of work, comparable within the pool. */
  sample(engineId: string, cost: number, nowMs: number): void;
  failure(engineId: string, nowMs: number): void;
  success(engineId: string, nowMs: number): void;
  isUsable(engineId: string, nowMs: number): boolean;
  /** True while its samples say nothing about the pool as a whole. */
  isOutlier(engineId: string): boolean;
  /** Notes that the engine got a request; it matters while on trial. */
  noteUse(engineId: string, nowMs: number): void;
  /** Share of its capacity that the engine may use now, 0 to 1. */
  share(engineId: string, nowMs: number): number;
  ejectedCount(nowMs: number): number;
}

export function createEngineHealth(options: HealthOptions): EngineHealth {
  const records = new Map<string, EngineRecord>();

  const medians = new Map<string, {slowness: number; atMs: number}>();

  /** Slowness of the middle engine; 0 when nothing is known. */
  function refreshMedian(pool: string, nowMs: number): void {
    const last = medians.get(pool);
    if (last && nowMs - last.atMs < MEDIAN_EVERY_MS) return;
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

  /** True unless the pool would fall below its floor. */
  function mayEject(pool: string, nowMs: number): boolean {
    let total = 0;
    let usable = 0;
    for (const record of records.values()) {
      if (record.pool !== pool) continue;
      total++;
      if (record.ejectedUntilMs <= nowMs) usable++;
    }
    return usable - 1 >= total * options.floorShare;
  }

  function eject(record: EngineRecord, nowMs: number): void {
    if (record.ejectedUntilMs > nowMs) return;
    if (!mayEject(record.pool, nowMs)) return;
    record.ejectedUntilMs = nowMs + record.nextEjectMs;
    record.nextEjectMs = Math.min(options.mostEjectMs, record.nextEjectMs * 2);
    record.failures = 0;
    record.samples = 0;
    record.isOnTrial = true;
    record.lastTryMs = Number.NEGATIVE_INFINITY;
  }

  function admit(record: EngineRecord, nowMs: number): void {
    if (!record.isOnTrial || record.ejectedUntilMs > nowMs) return;
    record.isOnTrial = false;
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
        isOnTrial: false,
        lastTryMs: Number.NEGATIVE_INFINITY,
      });
    },
    remove(engineId) {
      records.delete(engineId);
    },
    sample(engineId, cost, nowMs) {
      const record = records.get(engineId);
      // What an ejected engine still runs was given to it before.
      if (!record || record.ejectedUntilMs > nowMs) return;
      record.slowness =
        record.samples === 0
          ? cost
          : record.slowness + SMOOTHING * (cost - record.slowness);
      record.samples++;
      refreshMedian(record.pool, nowMs);
      const needed = record.isOnTrial ? 1 : options.minSamples;
      if (record.samples < needed) return;
      if (isSlow(record)) eject(record, nowMs);
      else admit(record, nowMs);
    },
    failure(engineId, nowMs) {
      const record = records.get(engineId);
      if (!record) return;
      record.failures++;
      const needed = record.isOnTrial ? 1 : options.failuresToEject;
      if (record.failures >= needed) eject(record, nowMs);
    },
    success(engineId, nowMs) {
      const record = records.get(engineId);
      if (!record) return;
      record.failures = 0;
      if (!isSlow(record)) admit(record, nowMs);
    },
    isUsable(engineId, nowMs) {
      const record = records.get(engineId);
      return record !== undefined && record.ejectedUntilMs <= nowMs;
    },
    isOutlier(engineId) {
      const record = records.get(engineId);
      return record !== undefined && (record.isOnTrial || isSlow(record));
    },
    noteUse(engineId, nowMs) {
      const record = records.get(engineId);
      if (record) record.lastTryMs = nowMs;
    },
    share(engineId, nowMs) {
      const record = records.get(engineId);
      if (!record || record.ejectedUntilMs > nowMs) return 0;
      if (record.isOnTrial) {
        const mayTry = nowMs - record.lastTryMs >= options.tryEveryMs;
        return mayTry ? RAMP_START : 0;
      }
      const ageMs = nowMs - record.admittedAtMs;
      if (ageMs >= options.rampMs) return 1;
      return RAMP_START + (1 - RAMP_START) * (ageMs / options.rampMs);
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
