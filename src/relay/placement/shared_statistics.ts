/** Statistics on the model engines that all hosts gather together. */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Upstream} from '../../core/upstream.js';
import {createEngineSpeeds, type EngineSpeeds} from './engine_speeds.js';
import {plannedTokens, USABLE_KV_SHARE} from './placement_rules.js';
import {
  createPooledMeans,
  type DecayingSums,
  type PooledMeans,
} from './pooled_means.js';

/** The observations of one host, as announced to its peers. */
export type StatisticsSums = Readonly<Record<StatisticKind, DecayingSums>>;

type StatisticKind = 'starts' | 'runs' | 'prefills';

/** A run that completed. */
export interface FinishedRun {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly durationMs: number;
  /** Memory of the engine, in tokens. */
  readonly kvTokens: number;
}

export interface SharedStatisticsHost {
  readonly clock: Clock;
  /** Listed engines of all model services; speeds are measured for these. */
  engines?(): readonly Upstream[];
  /** Number of live hosts, this one included. */
  hostCount?(): number;
  readonly log?: Logger;
}

export interface SharedStatistics {
  /** Relative speeds of the engines. */
  readonly speeds: EngineSpeeds;
  /** Records the time from the placement of a stream to its first event. */
  recordStart(durationMs: number): void;
  /** Mean time from the placement of a stream to its first event. */
  meanStartMs(): number;
  recordRun(run: FinishedRun): void;
  meanRunMs(): number;
  /** Mean of a run's duration times the share of a decode engine it takes. */
  meanDecodeMs(): number;
  meanPromptTokens(): number;
  /** Records a prefill on an engine that had no other prompt. */
  recordPrefill(tokens: number, durationMs: number): void;
  tokensPerMs(): number;
  ownSums(): StatisticsSums;
  /**
   * The observations of all hosts, for those that do not receive them directly.
   */
  totalSums(): StatisticsSums;
  setPeer(hostId: string, sums: StatisticsSums): void;
  removePeer(hostId: string): void;
}

/** Assumed until there are observations. */
const INITIAL = {
  startMs: 250,
  decodeMs: 365,
  promptTokens: 3_200,
  runMs: 3_000,
  tokensPerMs: 33,
};
/**
 * Start times change with the backlogs of a burst; the other statistics hardly
 * change.
 */
const START_DECAY_MS = 3_000;
const RUN_DECAY_MS = 60_000;
const START_INITIAL_WEIGHT = 2;
const RUN_INITIAL_WEIGHT = 60;
const PREFILL_INITIAL_WEIGHT = 3;
/**
 * Of the runs that began together the short ones end first. A run counts from
 * this many times the mean duration after its start, when nearly all have ended.
 */
const RUN_DELAY_FACTOR = 2;

/** A run that has ended and doesn't count yet. */
interface HeldRun {
  readonly startedAtMs: number;
  readonly values: readonly number[];
}

export function createSharedStatistics(
  host: SharedStatisticsHost,
): SharedStatistics {
  const starts = createPooledMeans(host, {
    initialMeans: [INITIAL.startMs],
    initialWeight: START_INITIAL_WEIGHT,
    decayMs: START_DECAY_MS,
  });
  const runs = createPooledMeans(host, {
    initialMeans: [INITIAL.decodeMs, INITIAL.promptTokens, INITIAL.runMs],
    initialWeight: RUN_INITIAL_WEIGHT,
    decayMs: RUN_DECAY_MS,
  });
  const prefills = createPooledMeans(host, {
    initialMeans: [INITIAL.tokensPerMs],
    initialWeight: PREFILL_INITIAL_WEIGHT,
    decayMs: RUN_DECAY_MS,
  });
  const pools: Readonly<Record<StatisticKind, PooledMeans>> = {
    starts,
    runs,
    prefills,
  };
  const each = Object.entries(pools) as ReadonlyArray<
    readonly [StatisticKind, PooledMeans]
  >;
  const tokensPerMs = () => prefills.means()[0];
  /** In the order of their starts. */
  const heldRuns: HeldRun[] = [];

  function holdRun(run: HeldRun): void {
    const later = heldRuns.findLastIndex(
      ({startedAtMs}) => startedAtMs <= run.startedAtMs,
    );
    heldRuns.splice(later + 1, 0, run);
  }

  /** Counts the held runs that are due. */
  function runMeans(): readonly number[] {
    const nowMs = host.clock.nowMs();
    for (;;) {
      const means = runs.means();
      const untilMs = nowMs - RUN_DELAY_FACTOR * means[2];
      const [first] = heldRuns;
      if (!first || first.startedAtMs > untilMs) return means;
      heldRuns.shift();
      runs.add(first.values);
    }
  }

  const speeds = createEngineSpeeds({
    clock: host.clock,
    tokensPerMs,
    engines: host.engines ?? (() => []),
    hostCount: host.hostCount ?? (() => 1),
    log: host.log,
  });

  return {
    speeds,
    recordStart: durationMs => starts.add([durationMs]),
    meanStartMs: () => starts.means()[0],
    recordRun({promptTokens, outputTokens, durationMs, kvTokens}) {
      // Counts the memory that placement plans for a run. When the mean memory
      // that a run holds was counted instead, a decode engine seemed to have
      // room for a fifth more runs than are placed on it.
      const need = {promptTokens, expectedOutputTokens: outputTokens};
      const usable = kvTokens * USABLE_KV_SHARE;
      const share = usable > 0 ? plannedTokens(need) / usable : 1;
      holdRun({
        startedAtMs: host.clock.nowMs() - durationMs,
        values: [share * durationMs, promptTokens, durationMs],
      });
    },
    meanDecodeMs: () => runMeans()[0],
    meanPromptTokens: () => runMeans()[1],
    meanRunMs: () => runMeans()[2],
    recordPrefill(tokens, durationMs) {
      if (durationMs > 0 && tokens > 0) prefills.add([tokens / durationMs]);
    },
    tokensPerMs,
    ownSums() {
      runMeans();
      return {
        starts: starts.ownSums(),
        runs: runs.ownSums(),
        prefills: prefills.ownSums(),
      };
    },
    totalSums() {
      runMeans();
      return {
        starts: starts.totalSums(),
        runs: runs.totalSums(),
        prefills: prefills.totalSums(),
      };
    },
    setPeer(hostId, sums) {
      for (const [kind, pool] of each) pool.setPeer(hostId, sums[kind]);
    },
    removePeer(hostId) {
      for (const [, pool] of each) pool.removePeer(hostId);
      speeds.removePeer(hostId);
    },
  };
}
