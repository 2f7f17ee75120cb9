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
  /** One that was taken was not needed. */
  giveBack(service: string): void;
  /** Whether so many could be taken now. */
  hasLeft(service: string, count: number): boolean;
}

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const tokens = new Map<string, number>();
  const left = (service: string) =>
    Math.min(options.burst(), tokens.get(service) ?? Infinity);
  function add(service: string, count: number): void {
    tokens.set(service, Math.min(options.burst(), left(service) + count));
  }

  return {
    requestStarted: service => add(service, options.ratioOf(service)),
    giveBack: service => add(service, 1),
    hasLeft: (service, count) => left(service) >= count,
    tryTake(service) {
      if (left(service) < 1) return false;
      tokens.set(service, left(service) - 1);
      return true;
    },
  };
}
