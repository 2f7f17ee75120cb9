/**
 * Which engines to trust: ejects those that fail or are much slower than
 * their pool without saying so, lets cold and returned ones in by a ramp,
 * and never ejects so many that a bad signal could empty a pool.
 */

export interface HealthOptions {
  /** Slower than the pool's median by this factor: ejected. */
  readonly slowFactor: number;
  /** Samples before slowness counts. */
  readonly minSamples: number;
  readonly failuresToEject: number;
  readonly ejectMs: number;
  /** Time from first use to full share. */
  readonly rampMs: number;
  /** At least this share of a pool stays in use. */
  readonly floorShare: number;
}

export const DEFAULT_HEALTH: HealthOptions = {
  slowFactor: 2,
  minSamples: 3,
  failuresToEject: 3,
  ejectMs: 10_000,
  rampMs: 3_000,
  floorShare: 0.5,
};

const SMOOTHING = 0.4;
/** Share of its slots that a cold engine gets at once. */
const RAMP_START = 0.25;
const MAX_EJECT_FACTOR = 6;

interface EngineRecord {
  readonly pool: string;
  admittedAtMs: number;
  slowness: number;
  samples: number;
  failures: number;
  ejectedUntilMs: number;
  ejections: number;
}

export interface EngineHealth {
  add(engineId: string, pool: string, nowMs: number, isWarm: boolean): void;
  remove(engineId: string): void;
  /** `cost` is a time per unit of work, comparable within the pool. */
  sample(engineId: string, cost: number, nowMs: number): void;
  failure(engineId: string, nowMs: number): void;
  success(engineId: string): void;
  isUsable(engineId: string, nowMs: number): boolean;
  /** Share of its capacity that the engine may use now, 0 to 1. */
  share(engineId: string, nowMs: number): number;
  ejectedCount(nowMs: number): number;
}

export function createEngineHealth(options: HealthOptions): EngineHealth {
  const records = new Map<string, EngineRecord>();

  function medianSlowness(pool: string, except: EngineRecord): number {
    const known: number[] = [];
    for (const record of records.values()) {
      if (record.pool === pool && record !== except && record.samples > 0) {
        known.push(record.slowness);
      }
    }
    if (known.length === 0) return 0;
    known.sort((a, b) => a - b);
    return known[(known.length - 1) >> 1];
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
    record.ejections = Math.min(MAX_EJECT_FACTOR, record.ejections + 1);
    record.ejectedUntilMs = nowMs + options.ejectMs * record.ejections;
    record.admittedAtMs = record.ejectedUntilMs;
    record.failures = 0;
    record.samples = 0;
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
        ejections: 0,
      });
    },
    remove(engineId) {
      records.delete(engineId);
    },
    sample(engineId, cost, nowMs) {
      const record = records.get(engineId);
      if (!record) return;
      record.slowness =
        record.samples === 0
          ? cost
          : record.slowness + SMOOTHING * (cost - record.slowness);
      record.samples++;
      if (record.samples < options.minSamples) return;
      const median = medianSlowness(record.pool, record);
      const isSlow =
        median > 0 && record.slowness > options.slowFactor * median;
      if (isSlow) eject(record, nowMs);
      else if (record.ejections > 0 && record.ejectedUntilMs <= nowMs) {
        record.ejections -= SMOOTHING * record.ejections;
      }
    },
    failure(engineId, nowMs) {
      const record = records.get(engineId);
      if (!record) return;
      record.failures++;
      if (record.failures >= options.failuresToEject) eject(record, nowMs);
    },
    success(engineId) {
      const record = records.get(engineId);
      if (record) record.failures = 0;
    },
    isUsable(engineId, nowMs) {
      const record = records.get(engineId);
      return record !== undefined && record.ejectedUntilMs <= nowMs;
    },
    share(engineId, nowMs) {
      const record = records.get(engineId);
      if (!record || record.ejectedUntilMs > nowMs) return 0;
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
