/**
 * How many retries a service may cost, as a share of its requests. Without a
 * bound, a failing service would get its whole load twice or three times just
 * when it can carry least.
 */

export interface RetryBudgetOptions {
  /**
   * Retries that are allowed however few requests there were. Where hosts
   * share an allowance this is one host's part, and changes with their number.
   */
  burst(): number;
  /** Retries allowed for each request of a service, for example 0.1. */
  ratioOf(service: string): number;
}

export interface RetryBudget {
  /** A first try of a request. */
  requestStarted(service: string): void;
  /** Takes one retry, if one is left. */
  tryTake(service: string): boolean;
}

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const tokens = new Map<string, number>();
  const left = (service: string) =>
    Math.min(options.burst(), tokens.get(service) ?? Infinity);
  return {
    requestStarted(service) {
      const grown = left(service) + options.ratioOf(service);
      tokens.set(service, Math.min(options.burst(), grown));
    },
    tryTake(service) {
      if (left(service) < 1) return false;
      tokens.set(service, left(service) - 1);
      return true;
    },
  };
}
