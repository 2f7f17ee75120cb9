/**
 * Forecasts answer lengths from a histogram of completed answers, which is read
 * as a table of quantiles.
 */

import {build, type Histogram} from 'hdr-histogram-js';

const HIGHEST_TOKENS = 1_000_000;
const QUANTILES = 40;
const SAMPLES_PER_REFRESH = 64;
/** The histogram is reset after this many samples to drop old lengths. */
const MAX_SAMPLES = 8_192;
const MIN_SAMPLES = 32;

export interface LengthForecast {
  record(tokens: number): void;
  /** Returns the mean length in tokens. */
  meanTokens(): number;
  /** Probability that an answer of `doneTokens` ends within `moreTokens`. */
  endChance(doneTokens: number, moreTokens: number): number;
  /** Returns the given quantile of the answer length. */
  quantileTokens(quantile: number): number;
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_TOKENS,
    numberOfSignificantValueDigits: 2,
    useWebAssembly: false,
  });
}

/** @param initialMeanTokens Mean length until there are enough samples. */
export function createLengthForecast(
  initialMeanTokens: number,
): LengthForecast {
  let histogram = createHistogram();
  let count = 0;
  let mean = initialMeanTokens;
  let table: readonly number[] = [];

  function refresh(): void {
    mean = histogram.mean;
    const next: number[] = [];
    for (let i = 0; i <= QUANTILES; i++) {
      next.push(histogram.getValueAtPercentile((100 * i) / QUANTILES));
    }
    table = next;
  }

  /** Returns the share of answers not longer than `tokens`. */
  function getShareUpTo(tokens: number): number {
    if (table.length === 0) return 1 - Math.exp(-tokens / mean);
    if (tokens < table[0]) return 0;
    let low = 0;
    let high = QUANTILES;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      if (table[middle] <= tokens) low = middle;
      else high = middle - 1;
    }
    if (low === QUANTILES) return 1;
    const within = (tokens - table[low]) / (table[low + 1] - table[low]);
    return (low + within) / QUANTILES;
  }

  return {
    record(tokens) {
      if (tokens < 1) return;
      histogram.recordValue(Math.min(tokens, HIGHEST_TOKENS));
      count++;
      if (count % SAMPLES_PER_REFRESH === 0 || count === MIN_SAMPLES) refresh();
      if (count >= MAX_SAMPLES) {
        histogram = createHistogram();
        count = 0;
      }
    },
    meanTokens: () => mean,
    endChance(doneTokens, moreTokens) {
      const remainingShare = 1 - getShareUpTo(doneTokens);
      if (remainingShare <= 0) return 1;
      const ended =
        getShareUpTo(doneTokens + moreTokens) - getShareUpTo(doneTokens);
      return Math.min(1, ended / remainingShare);
    },
    quantileTokens(quantile) {
      if (table.length === 0) return -mean * Math.log(1 - quantile);
      return table[Math.round(quantile * QUANTILES)];
    },
  };
}
