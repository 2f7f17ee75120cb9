/**
 * How long a prefill takes: a fixed part and a part for each token that is
 * not cached, fitted to the prefills seen, older ones fading.
 */

const FADE = 0.98;
const MIN_SAMPLES = 6;
/** A step is at least this much faster or slower to count as a spread. */
const MIN_VARIANCE = 1;

export interface PrefillModel {
  learn(tokens: number, tookMs: number): void;
  estimateMs(tokens: number): number;
  sampleCount(): number;
}

export function createPrefillModel(
  firstOverheadMs: number,
  firstMsPerToken: number,
): PrefillModel {
  let overheadMs = firstOverheadMs;
  let msPerToken = firstMsPerToken;
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
      weight = weight * FADE + 1;
      sumX = sumX * FADE + tokens;
      sumY = sumY * FADE + tookMs;
      sumXx = sumXx * FADE + tokens * tokens;
      sumXy = sumXy * FADE + tokens * tookMs;
      samples++;
      if (samples >= MIN_SAMPLES) fit();
    },
    estimateMs: tokens => overheadMs + msPerToken * tokens,
    sampleCount: () => samples,
  };
}
