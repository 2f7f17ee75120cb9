/**
 * What this host measures of the speed of engines, from its own prompts and
 * runs. Does no I/O.
 *
 * The time between events of a run grows with the number of runs on its engine.
 * So it is normalised by an exponent between 0 (no effect) and 1 (the runs
 * divide the engine). The exponent is learned from changes of the load of the
 * same engine: between engines, load and speed are related, because faster
 * engines get more runs.
 */

import type {Clock} from '../../ports/clock.js';
import {createBoundedMap} from '../../core/bounded_map.js';
import {MAX_FACTOR, MIN_FACTOR} from './speed_records.js';

/** Events of one run over a short time. */
export interface EventPace {
  readonly engineId: string;
  /** Engines are compared within a pool: those of a service and a role. */
  readonly pool: string;
  /** Runs on the engine. */
  readonly runs: number;
  readonly msPerToken: number;
  readonly durationMs: number;
}

/** A prompt that was alone at its prefill engine. */
export interface PromptPace {
  readonly engineId: string;
  readonly pool: string;
  readonly tokensPerMs: number;
}

/** The speed of an engine as this host measured it. */
export interface OwnSpeed {
  readonly engineId: string;
  /** From 0 to 1; 1 if the measurement has replaced all earlier ones. */
  readonly weight: number;
  readonly factor: number;
  readonly measuredAtMs: number;
}

export interface SpeedSamples {
  recordEvents(pace: EventPace): void;
  recordPrompt(pace: PromptPace): void;
  /** Speeds relative to the mean of the pool's engines. */
  speeds(): readonly OwnSpeed[];
  /** The effect of an engine's load on the time between events, 0 to 1. */
  loadExponent(): number;
}

export interface SpeedSamplesHost {
  readonly clock: Clock;
  /** Mean prefill speed over all hosts. */
  tokensPerMs(): number;
  /** Number of listed engines of a pool. */
  poolSize(pool: string): number;
}

/**
 * Measurements lose two thirds of their weight after this time of further runs:
 * one run that slows down to a third then shows it within a second.
 */
const RUN_DECAY_MS = 500;
/**
 * The same for prompts: a prompt counts for more than all earlier ones, and
 * those lose two thirds of their weight in the time below, because one host
 * rarely has several prompts a second at the same engine.
 */
const PROMPT_WEIGHT = 0.6;
const PROMPT_DECAY_MS = 1_000;
/**
 * Loads and times are compared with their means over this time of runs, which
 * covers the start and end of several runs.
 */
const LOAD_DECAY_MS = 5_000;
/** The load exponent is a property of the hardware and hardly changes. */
const EXPONENT_DECAY_MS = 60_000;
/**
 * Weight of the initial exponent of 0. A second of runs whose number varies by
 * a third has a weight of 0.1.
 */
const EXPONENT_INITIAL_WEIGHT = 0.3;
/**
 * Engines not measured for longer do not count for the mean: at 0.6 streams per
 * second a host uses most of 30 engines in this time.
 */
const KEEP_MS = 60_000;
/** More engines than one host uses in that time. */
const MAX_ENGINES = 128;
/**
 * The mean of fewer engines differs too much from that of all: speeds of 0.7
 * and 1.7 give it an error of a quarter.
 */
const MIN_ENGINES_FOR_MEAN = 3;

interface Sample {
  readonly pool: string;
  readonly kind: 'events' | 'prompts';
  /** Logarithm of the speed, before normalisation. */
  readonly logSpeed: number;
  /** Logarithm of the number of runs; 0 for prompts. */
  readonly logRuns: number;
  readonly weight: number;
  /** Slow means, for the load exponent and the mean of the pool. */
  readonly slowLogSpeed: number;
  readonly slowLogRuns: number;
  readonly measuredAtMs: number;
}

const clamp = (value: number, low: number, high: number) =>
  Math.min(high, Math.max(low, value));

const mix = (before: number, value: number, keep: number) =>
  before * keep + value * (1 - keep);

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

export function createSpeedSamples(host: SpeedSamplesHost): SpeedSamples {
  const {clock} = host;
  const samples = createBoundedMap<Sample>(MAX_ENGINES);
  let covariance = 0;
  let variance = 0;
  let exponentAtMs = 0;

  function loadExponent(): number {
    return clamp(covariance / (variance + EXPONENT_INITIAL_WEIGHT), 0, 1);
  }

  function learnExponent(before: Sample, pace: EventPace, logSpeed: number) {
    const nowMs = clock.nowMs();
    const keep = Math.exp((exponentAtMs - nowMs) / EXPONENT_DECAY_MS);
    const weight = pace.durationMs / 1_000;
    const moreRuns = Math.log(pace.runs) - before.slowLogRuns;
    const slower = before.slowLogSpeed - logSpeed;
    covariance = covariance * keep + weight * moreRuns * slower;
    variance = variance * keep + weight * moreRuns * moreRuns;
    exponentAtMs = nowMs;
  }

  /** The earlier sample, unless it is too old or of another role. */
  function sampleBefore(
    engineId: string,
    pool: string,
    kind: Sample['kind'],
  ): Sample | undefined {
    const before = samples.get(engineId);
    const isSame = before?.pool === pool && before.kind === kind;
    return isSame && isRecent(before) ? before : undefined;
  }

  const ageMs = (sample: Sample | undefined) =>
    sample ? clock.nowMs() - sample.measuredAtMs : 0;
  const isRecent = (sample: Sample) => ageMs(sample) <= KEEP_MS;

  function recent(): ReadonlyArray<readonly [string, Sample]> {
    return [...samples.entries()].filter(([, sample]) => isRecent(sample));
  }

  /**
   * Mean logarithms of the normalised speeds of events, by pool. They are based
   * on the slow means: an engine that slows down suddenly must not lower the
   * mean with which it is compared.
   */
  function meansByPool(
    entries: ReadonlyArray<readonly [string, Sample]>,
    exponent: number,
  ): ReadonlyMap<string, number> {
    const speeds = new Map<string, number[]>();
    for (const [, {kind, pool, slowLogSpeed, slowLogRuns}] of entries) {
      if (kind !== 'events') continue;
      const known = speeds.get(pool) ?? [];
      known.push(slowLogSpeed + exponent * slowLogRuns);
      speeds.set(pool, known);
    }
    const means = new Map<string, number>();
    for (const [pool, known] of speeds) {
      const needed = Math.min(MIN_ENGINES_FOR_MEAN, host.poolSize(pool));
      if (known.length >= needed) means.set(pool, mean(known));
    }
    return means;
  }

  return {
    recordEvents(pace) {
      const {engineId, pool, runs, msPerToken, durationMs} = pace;
      if (!Number.isFinite(msPerToken) || msPerToken <= 0) return;
      if (!(durationMs > 0) || !(runs >= 1)) return;
      const logSpeed = -Math.log(msPerToken);
      const logRuns = Math.log(runs);
      const before = sampleBefore(engineId, pool, 'events');
      if (before) learnExponent(before, pace, logSpeed);
      // Without runs for some time, the earlier measurements are older than
      // the duration of the new ones.
      const elapsedMs = Math.max(durationMs, ageMs(before));
      const keep = before ? Math.exp(-elapsedMs / RUN_DECAY_MS) : 0;
      const slowKeep = before ? Math.exp(-durationMs / LOAD_DECAY_MS) : 0;
      const added = 1 - Math.exp(-durationMs / RUN_DECAY_MS);
      samples.set(engineId, {
        pool,
        kind: 'events',
        logSpeed: mix(before?.logSpeed ?? 0, logSpeed, keep),
        logRuns: mix(before?.logRuns ?? 0, logRuns, keep),
        weight: (before?.weight ?? 0) * keep + added,
        slowLogSpeed: mix(before?.slowLogSpeed ?? 0, logSpeed, slowKeep),
        slowLogRuns: mix(before?.slowLogRuns ?? 0, logRuns, slowKeep),
        measuredAtMs: clock.nowMs(),
      });
    },
    recordPrompt({engineId, pool, tokensPerMs}) {
      if (!(tokensPerMs > 0) || !Number.isFinite(tokensPerMs)) return;
      const logSpeed = Math.log(tokensPerMs);
      const before = sampleBefore(engineId, pool, 'prompts');
      const keep = before
        ? (1 - PROMPT_WEIGHT) * Math.exp(-ageMs(before) / PROMPT_DECAY_MS)
        : 0;
      samples.set(engineId, {
        pool,
        kind: 'prompts',
        logSpeed: mix(before?.logSpeed ?? 0, logSpeed, keep),
        logRuns: 0,
        weight: (before?.weight ?? 0) * keep + PROMPT_WEIGHT,
        slowLogSpeed: 0,
        slowLogRuns: 0,
        measuredAtMs: clock.nowMs(),
      });
    },
    speeds() {
      const entries = recent();
      const exponent = loadExponent();
      const eventMeans = meansByPool(entries, exponent);
      const speeds: OwnSpeed[] = [];
      for (const [engineId, sample] of entries) {
        const {kind, pool, logSpeed, logRuns, weight, measuredAtMs} = sample;
        const meanLogSpeed =
          kind === 'prompts'
            ? Math.log(host.tokensPerMs())
            : eventMeans.get(pool);
        if (meanLogSpeed === undefined) continue;
        const relative = logSpeed + exponent * logRuns - meanLogSpeed;
        const factor = clamp(Math.exp(relative), MIN_FACTOR, MAX_FACTOR);
        speeds.push({engineId, weight, factor, measuredAtMs});
      }
      return speeds;
    },
    loadExponent,
  };
}
