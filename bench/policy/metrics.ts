/** Collects the metrics of one simulated run. */

import {build, type Histogram} from 'hdr-histogram-js';
import type {RequestClass} from '../../src/ports/grants.js';
import type {Capacity} from './capacity_bound.js';
import type {Cluster, RunPlan} from './run_plan.js';
import {ACCOUNT_DEMAND, type Arrival} from './workload.js';

export interface RequestEnd {
  readonly arrival: Arrival;
  readonly outcome: string;
  readonly endedAtMs: number;
  readonly firstTokenAtMs: number | undefined;
  readonly lastTokenAtMs: number | undefined;
  readonly tokens: number;
}

export interface RunResult {
  readonly offered: number;
  /** Requests answered in full, within both latency targets and the wait. */
  readonly good: number;
  /** The largest possible `good`, given capacity and arrivals. */
  readonly bound: number;
  readonly goodShare: number;
  /** Prompt tokens of good requests as a share of those offered. */
  readonly goodTokenShare: number;
  readonly lateFirst: number;
  readonly latePace: number;
  readonly prefills: number;
  readonly wastedPrefills: number;
  /** Prompt tokens computed in vain as a share of all those computed. */
  readonly wastedTokenShare: number;
  readonly wastedShare: number;
  readonly ttftMs: Percentiles;
  readonly tokenIntervalMs: Percentiles;
  readonly jain: number;
  readonly outcomes: ReadonlyMap<string, number>;
  /** Imports that engines refused for lack of a slot or memory. */
  readonly refusedImports: number;
  /** Requests that never ended. Must be 0. */
  readonly lost: number;
  /** Engines that still have reservations after the run. Must be 0. */
  readonly enginesWithOpenReservations: number;
  readonly cachedTokenShare: number;
  /** Good requests, by second of arrival. */
  readonly goodBySecond: readonly number[];
  readonly offeredBySecond: readonly number[];
  readonly capacityBySecond: readonly number[];
  /** Refused callers that returned, and how many of them were then served. */
  readonly returned: number;
  readonly returnedServed: number;
  readonly goodShareByClass: Readonly<Record<RequestClass, number>>;
}

export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

const HISTOGRAM_MAX_MS = 600_000;
const MS_PER_SECOND = 1_000;

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HISTOGRAM_MAX_MS,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });
}

function percentiles(histogram: Histogram): Percentiles {
  return {
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99),
  };
}

/** Max-min fair shares of `total` for the given demands. */
export function fairShares(
  demands: readonly number[],
  total: number,
): readonly number[] {
  const order = demands
    .map((_, i) => i)
    .sort((a, b) => demands[a] - demands[b]);
  const shares = demands.map(() => 0);
  let left = total;
  order.forEach((index, position) => {
    const equal = left / (order.length - position);
    shares[index] = Math.min(demands[index], equal);
    left -= shares[index];
  });
  return shares;
}

export function jainIndex(values: readonly number[]): number {
  const sum = values.reduce((a, b) => a + b, 0);
  const squares = values.reduce((a, b) => a + b * b, 0);
  return squares === 0 ? 1 : (sum * sum) / (values.length * squares);
}

export function createMetrics(plan: RunPlan, capacity: Capacity) {
  const untilMs = plan.warmUpMs + plan.durationMs;
  const seconds = Math.ceil(untilMs / MS_PER_SECOND);
  const isMeasured = (arrival: Arrival) => arrival.atMs >= plan.warmUpMs;
  const outcomes = new Map<string, number>();
  const ttft = newHistogram();
  const intervals = newHistogram();
  const goodBySecond = new Array<number>(seconds).fill(0);
  const offeredBySecond = new Array<number>(seconds).fill(0);
  const capacityBySecond = new Array<number>(seconds).fill(
    capacity.ratePerSecond,
  );
  const goodByAccount = new Map<string, number>();
  const offeredByAccount = new Map<string, number>();
  const goodByClass = {interactive: 0, patient: 0};
  const offeredByClass = {interactive: 0, patient: 0};
  let returned = 0;
  let returnedServed = 0;
  let offered = 0;
  let offeredTokens = 0;
  let good = 0;
  let goodTokens = 0;
  let lateFirst = 0;
  let latePace = 0;
  let prefills = 0;
  let prefillTokens = 0;
  let cachedTokens = 0;
  let wastedPrefills = 0;
  let wastedTokens = 0;
  let endedCount = 0;

  function increment(map: Map<string, number>, key: string): void {
    map.set(key, (map.get(key) ?? 0) + 1);
  }

  /** Classifies a full answer by its latency targets and its wait. */
  function classifyAnswer(
    end: RequestEnd,
  ): 'good' | 'late-first' | 'late-pace' {
    const {arrival} = end;
    const firstMs = end.firstTokenAtMs! - arrival.atMs;
    if (firstMs > arrival.ttftMs) return 'late-first';
    const paceMs =
      (end.lastTokenAtMs! - end.firstTokenAtMs!) / Math.max(1, end.tokens - 1);
    const isLate = end.lastTokenAtMs! - arrival.atMs > arrival.waitMs;
    if (isLate || paceMs > plan.shape.tokenIntervalMs) return 'late-pace';
    return 'good';
  }

  return {
    recordStart(arrival: Arrival): void {
      if (isMeasured(arrival) && arrival.returnCount > 0) returned++;
    },
    ended(end: RequestEnd): void {
      endedCount++;
      const {arrival} = end;
      if (!isMeasured(arrival)) return;
      const second = Math.floor(arrival.atMs / MS_PER_SECOND);
      const isWithoutCancellation = arrival.cancelAtMs === undefined;
      increment(outcomes, end.outcome);
      if (end.firstTokenAtMs !== undefined) {
        ttft.recordValue(Math.round(end.firstTokenAtMs - arrival.atMs));
      }
      const isWhole = end.outcome === 'whole';
      if (!isWithoutCancellation && !isWhole) return;
      offered++;
      offeredTokens += arrival.promptTokens;
      offeredBySecond[second]++;
      offeredByClass[arrival.requestClass]++;
      increment(offeredByAccount, arrival.account);
      if (!isWhole) return;
      if (arrival.returnCount > 0) returnedServed++;
      const verdict = classifyAnswer(end);
      if (verdict === 'late-first') lateFirst++;
      if (verdict === 'late-pace') latePace++;
      if (verdict !== 'good') return;
      good++;
      goodTokens += arrival.promptTokens;
      goodBySecond[second]++;
      goodByClass[arrival.requestClass]++;
      increment(goodByAccount, arrival.account);
    },
    prefilled(arrival: Arrival, computed: number, cached: number): void {
      if (!isMeasured(arrival)) return;
      prefills++;
      prefillTokens += computed;
      cachedTokens += cached;
    },
    /** @param isWhole False for a prefill that was cancelled while it ran. */
    recordWastedPrefill(
      arrival: Arrival,
      tokens: number,
      isWhole: boolean,
    ): void {
      if (!isMeasured(arrival)) return;
      wastedPrefills++;
      wastedTokens += tokens;
      if (isWhole) return;
      prefills++;
      prefillTokens += tokens;
    },
    recordTokenInterval(arrival: Arrival, intervalMs: number): void {
      if (isMeasured(arrival)) intervals.recordValue(Math.round(intervalMs));
    },
    /** Records the rate that the healthy engines can serve at that time. */
    recordCapacity(atMs: number, ratePerSecond: number): void {
      capacityBySecond[Math.floor(atMs / MS_PER_SECOND)] = ratePerSecond;
    },
    result(
      arrivals: number,
      liveCount: number,
      enginesWithOpenReservations: number,
      cluster: Cluster,
    ): RunResult {
      const fromSecond = plan.warmUpMs / MS_PER_SECOND;
      const capacityTotal = capacityBySecond
        .slice(fromSecond)
        .reduce((a, b) => a + b, 0);
      const bound = Math.min(offered, capacityTotal);
      const accounts = ACCOUNT_DEMAND.map((_, i) => `account-${i}`);
      const demands = accounts.map(each => offeredByAccount.get(each) ?? 0);
      const fair = fairShares(demands, Math.min(good, offered));
      const satisfaction = accounts.map(
        (each, i) => (goodByAccount.get(each) ?? 0) / Math.max(1, fair[i]),
      );
      let refusedImports = 0;
      for (const engine of cluster.decodes.values()) {
        refusedImports += engine.refusedImports();
      }
      return {
        offered,
        good,
        bound,
        goodShare: good / bound,
        goodTokenShare: goodTokens / Math.max(1, offeredTokens),
        lateFirst,
        latePace,
        prefills,
        wastedPrefills,
        wastedShare: wastedPrefills / Math.max(1, prefills),
        wastedTokenShare: wastedTokens / Math.max(1, prefillTokens),
        ttftMs: percentiles(ttft),
        tokenIntervalMs: percentiles(intervals),
        jain: jainIndex(satisfaction),
        outcomes,
        refusedImports,
        lost: liveCount + (arrivals - endedCount - liveCount),
        enginesWithOpenReservations,
        cachedTokenShare:
          cachedTokens / Math.max(1, cachedTokens + prefillTokens),
        goodBySecond,
        offeredBySecond,
        capacityBySecond,
        returned,
        returnedServed,
        goodShareByClass: {
          interactive: goodByClass.interactive / offeredByClass.interactive,
          patient: goodByClass.patient / offeredByClass.patient,
        },
      };
    },
  };
}
