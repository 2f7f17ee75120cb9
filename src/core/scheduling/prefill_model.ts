/**
 * Estimates prefill times as a fixed overhead plus a time per uncached token,
 * fitted to observed prefills with exponential decay.
 */

const DECAY = 0.98;
const MIN_SAMPLES = 6;
/** Minimum variance of the token counts required for a linear fit. */
const MIN_VARIANCE = 1;

export interface PrefillModel {
  learn(tokens: number, tookMs: number): void;
  estimateMs(tokens: number): number;
  sampleCount(): number;
}

export function createPrefillModel(
  initialOverheadMs: number,
  initialMsPerToken: number,
): PrefillModel {
  let overheadMs = initialOverheadMs;
  let msPerToken = initialMsPerToken;
  let samples = 0;
  let weight = 0;
  let sumX = 0;
  let sumY = 0;
  let sumXx = 0;
  let sumXy = 0;

  function fit(): void {
    const variance = sumXx / weight - (sumX / weight) ** 2;
    const meanX = sumX / weight;
    const meanY = sumY / weight;
    if (variance < MIN_VARIANCE) {
      overheadMs = 0;
      msPerToken = meanY / Math.max(1, meanX);
      return;
    }
    const slope = (sumXy / weight - meanX * meanY) / variance;
    msPerToken = Math.max(0, Math.min(slope, meanY / Math.max(1, meanX)));
    overheadMs = Math.max(0, meanY - msPerToken * meanX);
  }

  return {
    learn(tokens, tookMs) {
      weight = weight * DECAY + 1;
      sumX = sumX * DECAY + tokens;
      sumY = sumY * DECAY + tookMs;
      sumXx = sumXx * DECAY + tokens * tokens;
      sumXy = sumXy * DECAY + tokens * tookMs;
      samples++;
      if (samples >= MIN_SAMPLES) fit();
    },
    estimateMs: tokens => overheadMs + msPerToken * tokens,
    sampleCount: () => samples,
  };
}
