/** What the hosts learn together of how the model engines work. */

import type {Clock} from '../../ports/clock.js';
import {plannedTokens, USABLE_SHARE} from './placement_rules.js';
import {
  createPooledMeans,
  type FadingSums,
  type PooledMeans,
} from './pooled_means.js';

/** What one host has seen, as it tells its peers. */
export type LearnedSums = Readonly<Record<LearnedKind, FadingSums>>;

type LearnedKind = 'starts' | 'runs' | 'prefills';

/** A run that came to its end. */
export interface FinishedRun {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly durationMs: number;
  /** Memory of the engine, in tokens. */
  readonly kvTokens: number;
}

export interface SharedLearning {
  /** From the placement of a stream to its first event. */
  noteStart(durationMs: number): void;
  /** From the placement of a stream to its first event, on the mean. */
  meanStartMs(): number;
  noteRun(run: FinishedRun): void;
  meanRunMs(): number;
  /** Time of a whole decode engine that a run takes, on the mean. */
  meanDecodeMs(): number;
  meanPromptTokens(): number;
  /** A prompt was read by an engine that had nothing else to read. */
  notePrefill(tokens: number, durationMs: number): void;
  tokensPerMs(): number;
  own(): LearnedSums;
  /** What all hosts have seen, for those that do not hear them. */
  total(): LearnedSums;
  hear(hostId: string, sums: LearnedSums): void;
  forget(hostId: string): void;
}

/** Assumed before anything has run; what is seen takes its place. */
const FIRST = {
  startMs: 250,
  decodeMs: 365,
  promptTokens: 3_200,
  runMs: 3_000,
  tokensPerMs: 33,
};
/** Starts change with the backlogs of a burst; what engines do, hardly. */
const START_FADE_MS = 3_000;
const RUN_FADE_MS = 60_000;
const START_FIRST_WEIGHT = 2;
/** Short runs end first, so that the first ones to end tell too little. */
const RUN_FIRST_WEIGHT = 60;
const PREFILL_FIRST_WEIGHT = 3;

export function createSharedLearning(host: {
  readonly clock: Clock;
}): SharedLearning {
  const starts = createPooledMeans(host, {
    first: [FIRST.startMs],
    firstWeight: START_FIRST_WEIGHT,
    fadeMs: START_FADE_MS,
  });
  const runs = createPooledMeans(host, {
    first: [FIRST.decodeMs, FIRST.promptTokens, FIRST.runMs],
    firstWeight: RUN_FIRST_WEIGHT,
    fadeMs: RUN_FADE_MS,
  });
  const prefills = createPooledMeans(host, {
    first: [FIRST.tokensPerMs],
    firstWeight: PREFILL_FIRST_WEIGHT,
    fadeMs: RUN_FADE_MS,
  });
  const pools: Readonly<Record<LearnedKind, PooledMeans>> = {
    starts,
    runs,
    prefills,
  };
  const each = Object.entries(pools) as ReadonlyArray<
    readonly [LearnedKind, PooledMeans]
  >;

  return {
    noteStart: durationMs => starts.note([durationMs]),
    meanStartMs: () => starts.means()[0],
    noteRun({promptTokens, outputTokens, durationMs, kvTokens}) {
      // As admission counts it: by the mean of what it holds a decode engine
      // seemed to take a fifth more runs than it is given.
      const need = {promptTokens, expectedOutputTokens: outputTokens};
      const usable = kvTokens * USABLE_SHARE;
      const share = usable > 0 ? plannedTokens(need) / usable : 1;
      runs.note([share * durationMs, promptTokens, durationMs]);
    },
    meanDecodeMs: () => runs.means()[0],
    meanPromptTokens: () => runs.means()[1],
    meanRunMs: () => runs.means()[2],
    notePrefill(tokens, durationMs) {
      if (durationMs > 0 && tokens > 0) prefills.note([tokens / durationMs]);
    },
    tokensPerMs: () => prefills.means()[0],
    own: () => ({
      starts: starts.own(),
      runs: runs.own(),
      prefills: prefills.own(),
    }),
    total: () => ({
      starts: starts.total(),
      runs: runs.total(),
      prefills: prefills.total(),
    }),
    hear(hostId, sums) {
      for (const [kind, pool] of each) pool.hear(hostId, sums[kind]);
    },
    forget(hostId) {
      for (const [, pool] of each) pool.forget(hostId);
    },
  };
}
