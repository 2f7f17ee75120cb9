/**
 * How long answers get, learned from those that ended: a histogram for each
 * service and class, read as a table of quantiles.
 */

import {build, type Histogram} from 'hdr-histogram-js';

const HIGHEST_TOKENS = 1_000_000;
const QUANTILES = 40;
const REFRESH_EVERY = 64;
/** Older lengths fade: the histogram is renewed after this many. */
const RENEW_EVERY = 8_192;
const MIN_SAMPLES = 32;

export interface LengthForecast {
  record(tokens: number): void;
  /** Mean length in tokens. */
  meanTokens(): number;
  /** Chance that an answer of `doneTokens` ends within `moreTokens`. */
  endChance(doneTokens: number, moreTokens: number): number;
  /** Length that a share `quantile` of answers do not exceed. */
  quantileTokens(quantile: number): number;
}

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_TOKENS,
    numberOfSignificantValueDigits: 2,
    useWebAssembly: false,
  });
}

/** @param firstGuessTokens Mean assumed until enough answers have ended. */
export function createLengthForecast(firstGuessTokens: number): LengthForecast {
  let histogram = newHistogram();
  let count = 0;
  let mean = firstGuessTokens;
  let table: readonly number[] = [];

  function refresh(): void {
    mean = histogram.mean;
    const next: number[] = [];
    for (let i = 0; i <= QUANTILES; i++) {
      next.push(histogram.getValueAtPercentile((100 * i) / QUANTILES));
    }
    table = next;
  }

  /** Share of answers not longer than `tokens`. */
  function share(tokens: number): number {
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
      if (count % REFRESH_EVERY === 0 || count === MIN_SAMPLES) refresh();
      if (count >= RENEW_EVERY) {
        histogram = newHistogram();
        count = 0;
      }
    },
    meanTokens: () => mean,
    endChance(doneTokens, moreTokens) {
      const left = 1 - share(doneTokens);
      if (left <= 0) return 1;
      const ended = share(doneTokens + moreTokens) - share(doneTokens);
      return Math.min(1, ended / left);
    },
    quantileTokens(quantile) {
      if (table.length === 0) return -mean * Math.log(1 - quantile);
      return table[Math.round(quantile * QUANTILES)];
    },
  };
}
