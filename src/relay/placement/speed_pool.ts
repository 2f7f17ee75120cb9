/**
 * Combines the speeds that hosts report into one factor for each engine. Does
 * no I/O.
 *
 * The median over hosts bounds the effect of one host, and recent reports count
 * more than older ones. A host that has seen few engines reports factors
 * relative to their mean, which may differ from the mean of all; this offset
 * shows in all its reports and is removed. Without reports for 60 s an engine's
 * factor is 1 again, so that an engine that was slow is tried again.
 */

import type {Clock} from '../../ports/clock.js';

export interface SpeedReport {
  readonly weight: number;
  readonly factor: number;
  readonly measuredAtMs: number;
}

export interface SpeedPool {
  set(hostId: string, engineId: string, report: SpeedReport): void;
  removeHost(hostId: string): void;
  /** Keeps only the engines for which `isListed` returns true. */
  retain(isListed: (engineId: string) => boolean): void;
  /**
   * The factors of those of the given engines that have recent reports. The
   * engines must be of one service and role, because a host's offset is
   * different for prompts and runs.
   */
  factors(engineIds: readonly string[]): ReadonlyMap<string, number>;
  /** Number of hosts that reported the engine recently. */
  reportCount(engineId: string): number;
  /** Whether so many hosts reported the engine that no one decides alone. */
  hasMajority(engineId: string): boolean;
}

export interface SpeedPoolHost {
  readonly clock: Clock;
  /** Number of live hosts, this one included. */
  hostCount(): number;
}

/**
 * The weight of a report falls to a third in this time. An engine in use gets
 * several reports per second, so after a sudden change most of the weight is of
 * new reports within a second. With 400 ms, errors grew by a half where the
 * pace of runs depends on their number.
 */
const REPORT_DECAY_MS = 600;
/** Time in which the weight of old reports falls to a third. */
const FORGET_MS = 20_000;
const MAX_AGE_MS = 60_000;
/** Weight of the factor 1; small, so that one host's own reports suffice. */
const INITIAL_WEIGHT = 0.05;
/**
 * The latest reports on an engine that count. More change the median little, and
 * 42 engines with 24 reports each took 3 ms to combine.
 */
const MAX_REPORTS_PER_ENGINE = 12;
/**
 * With reports of fewer hosts there is no majority against a wrong one, so the
 * factor is kept within the bounds below.
 */
const MIN_HOSTS_FOR_MEDIAN = 3;
const MAX_SHARE_OF_OTHERS = 0.5;
/**
 * With fewer reports of a host, one engine that slowed down would look like an
 * offset of the host.
 */
const MIN_REPORTS_FOR_OFFSET = 3;
const FEW_HOSTS_MIN = 0.5;
const FEW_HOSTS_MAX = 2;

interface Weighted {
  readonly weight: number;
  readonly value: number;
}

/** A report, prepared for the medians. */
interface Entry {
  readonly hostId: string;
  /** Logarithm of the reported factor. */
  readonly log: number;
  readonly weight: number;
  readonly recentWeight: number;
}

type EntriesByEngine = ReadonlyMap<string, readonly Entry[]>;

function weightedMedian(values: readonly Weighted[]): number {
  const sorted = [...values].sort((a, b) => a.value - b.value);
  const half = sorted.reduce((sum, {weight}) => sum + weight, 0) / 2;
  let below = 0;
  for (const [index, {value, weight}] of sorted.entries()) {
    below += weight;
    if (below > half) return value;
    // Two equal halves have no middle value.
    if (below === half) return (value + sorted[index + 1].value) / 2;
  }
  return sorted[sorted.length - 1].value;
}

/**
 * Limits the recent weight of a host to half of the sum of the others, so that
 * one host cannot set the median by reporting often. With two reports the
 * bounds for few hosts apply instead.
 */
function limitHosts(entries: readonly Entry[]): readonly Entry[] {
  if (entries.length < MIN_HOSTS_FOR_MEDIAN) return entries;
  const total = entries.reduce((sum, each) => sum + each.recentWeight, 0);
  return entries.map(entry => {
    const most = (total - entry.recentWeight) * MAX_SHARE_OF_OTHERS;
    return {...entry, recentWeight: Math.min(entry.recentWeight, most)};
  });
}

/** Logarithms of the factors, given the offset of each host. */
function engineMedians(
  entries: EntriesByEngine,
  offsets: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const logs = new Map<string, number>();
  for (const [engineId, known] of entries) {
    const values = known.map(({hostId, log, recentWeight}) => ({
      weight: recentWeight,
      value: log - (offsets.get(hostId) ?? 0),
    }));
    logs.set(engineId, weightedMedian(values));
  }
  return logs;
}

/** By how much all reports of a host differ from those of the others. */
function hostOffsets(
  entries: EntriesByEngine,
  logs: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const differences = new Map<string, Weighted[]>();
  for (const [engineId, known] of entries) {
    for (const {hostId, log, weight} of known) {
      const ofHost = differences.get(hostId) ?? [];
      ofHost.push({weight, value: log - (logs.get(engineId) ?? 0)});
      differences.set(hostId, ofHost);
    }
  }
  const offsets = new Map<string, number>();
  for (const [hostId, ofHost] of differences) {
    if (ofHost.length < MIN_REPORTS_FOR_OFFSET) continue;
    const share = (ofHost.length - 1) / ofHost.length;
    offsets.set(hostId, weightedMedian(ofHost) * share);
  }
  return offsets;
}

export function createSpeedPool(host: SpeedPoolHost): SpeedPool {
  const {clock} = host;
  /** By engine and host. */
  const reports = new Map<string, Map<string, SpeedReport>>();

  const ageMs = ({measuredAtMs}: SpeedReport) =>
    Math.max(0, clock.nowMs() - measuredAtMs);

  function dropOldest(byHost: Map<string, SpeedReport>): void {
    let oldest: string | undefined;
    for (const [hostId, report] of byHost) {
      const before = oldest === undefined ? undefined : byHost.get(oldest);
      if (!before || report.measuredAtMs < before.measuredAtMs) oldest = hostId;
    }
    if (oldest !== undefined) byHost.delete(oldest);
  }

  function hasMajority(engineId: string): boolean {
    const count = reports.get(engineId)?.size ?? 0;
    return count >= Math.min(MIN_HOSTS_FOR_MEDIAN, host.hostCount());
  }

  function dropOld(): void {
    for (const [engineId, byHost] of reports) {
      for (const [hostId, report] of byHost) {
        if (ageMs(report) > MAX_AGE_MS) byHost.delete(hostId);
      }
      if (byHost.size === 0) reports.delete(engineId);
    }
  }

  function prepare(engineIds: readonly string[]): EntriesByEngine {
    const entries = new Map<string, readonly Entry[]>();
    for (const engineId of engineIds) {
      const byHost = reports.get(engineId);
      if (!byHost) continue;
      const prepared: Entry[] = [];
      for (const [hostId, report] of byHost) {
        const {weight, factor} = report;
        const recentWeight =
          weight * Math.exp(-ageMs(report) / REPORT_DECAY_MS);
        prepared.push({hostId, log: Math.log(factor), weight, recentWeight});
      }
      entries.set(engineId, limitHosts(prepared));
    }
    return entries;
  }

  return {
    set(hostId, engineId, report) {
      const byHost = reports.get(engineId) ?? new Map<string, SpeedReport>();
      reports.set(engineId, byHost);
      byHost.set(hostId, {...report, weight: Math.min(1, report.weight)});
      if (byHost.size > MAX_REPORTS_PER_ENGINE) dropOldest(byHost);
    },
    removeHost(hostId) {
      for (const byHost of reports.values()) byHost.delete(hostId);
    },
    retain(isListed) {
      for (const engineId of reports.keys()) {
        if (!isListed(engineId)) reports.delete(engineId);
      }
    },
    factors(engineIds) {
      dropOld();
      const entries = prepare(engineIds);
      const offsets = hostOffsets(entries, engineMedians(entries, new Map()));
      const logs = engineMedians(entries, offsets);
      const factors = new Map<string, number>();
      for (const [engineId, log] of logs) {
        const known = [...(reports.get(engineId)?.values() ?? [])];
        const weight = known.reduce(
          (sum, report) =>
            sum + report.weight * Math.exp(-ageMs(report) / FORGET_MS),
          0,
        );
        const factor = Math.exp((log * weight) / (weight + INITIAL_WEIGHT));
        const bounded = Math.min(
          FEW_HOSTS_MAX,
          Math.max(FEW_HOSTS_MIN, factor),
        );
        factors.set(engineId, hasMajority(engineId) ? factor : bounded);
      }
      return factors;
    },
    hasMajority,
    reportCount: engineId => reports.get(engineId)?.size ?? 0,
  };
}
