/**
 * Estimates the output length of streams, from the caller's estimate or from
 * earlier streams of the service.
 */

import type {RelayJob} from '../relay_types.js';

export interface OutputForecast {
  expectedTokens(job: RelayJob): number;
  /** Records the output of a complete stream. */
  recordOutput(service: string, tokens: number): void;
}

/** Estimate for a service without complete streams. */
const INITIAL_OUTPUT_TOKENS = 800;
const SMOOTHING = 0.1;

export function createOutputForecast(): OutputForecast {
  const means = new Map<string, number>();
  const meanOf = (service: string) =>
    means.get(service) ?? INITIAL_OUTPUT_TOKENS;
  return {
    expectedTokens({request, service}) {
      const {prompt} = request;
      const expected = prompt?.expectedOutputTokens ?? meanOf(service.name);
      const limit = prompt?.maxOutputTokens ?? expected;
      return limit > 0 ? Math.min(expected, limit) : expected;
    },
    recordOutput(service, tokens) {
      const previousMean = meanOf(service);
      means.set(service, previousMean + SMOOTHING * (tokens - previousMean));
    },
  };
}
