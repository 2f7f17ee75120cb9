/** How many tokens a stream will make, by its caller or by those before it. */

import type {RelayJob} from '../relay_types.js';

export interface OutputForecast {
  expectedTokens(job: RelayJob): number;
  /** A stream of the service ended whole. */
  learn(service: string, tokens: number): void;
}

/** Output of a request that gives no estimate, until some have ended. */
const FIRST_OUTPUT_TOKENS = 800;
const SMOOTHING = 0.1;

export function createOutputForecast(): OutputForecast {
  const means = new Map<string, number>();
  const meanOf = (service: string) => means.get(service) ?? FIRST_OUTPUT_TOKENS;
  return {
    expectedTokens({request, service}) {
      const {prompt} = request;
      const expected = prompt?.expectedOutputTokens ?? meanOf(service.name);
      const most = prompt?.maxOutputTokens ?? expected;
      return most > 0 ? Math.min(expected, most) : expected;
    },
    learn(service, tokens) {
      const before = meanOf(service);
      means.set(service, before + SMOOTHING * (tokens - before));
    },
  };
}
