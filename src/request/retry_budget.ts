/**
 * Limits the retries of a service to a share of its requests. Without a limit,
 * retries would double or triple the load of a failing service.
 */

export interface RetryBudgetOptions {
  /**
   * Retries allowed regardless of the number of requests. Where hosts share
   * this allowance, it is the share of one host and changes with their number.
   */
  burst(): number;
  /** Retries allowed for each request of a service, for example 0.1. */
  ratioOf(service: string): number;
  /** A request allowed retries for which the budget had no room. */
  onOverflow?(service: string, count: number): void;
}

export interface RetryBudget {
  /** Records the first attempt of a request. */
  requestStarted(service: string): void;
  /** Takes one retry from the budget; returns whether one was left. */
  tryTake(service: string): boolean;
  /** Returns a retry that was taken but not used. */
  giveBack(service: string): void;
  /** Whether `count` retries are left. */
  hasLeft(service: string, count: number): boolean;
}

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const tokens = new Map<string, number>();
  const availableTokens = (service: string) =>
    Math.min(options.burst(), tokens.get(service) ?? Infinity);
  function add(service: string, count: number): void {
    tokens.set(
      service,
      Math.min(options.burst(), availableTokens(service) + count),
    );
  }

  return {
    requestStarted(service) {
      const count = options.ratioOf(service);
      const excess = availableTokens(service) + count - options.burst();
      add(service, count);
      if (excess > 0) options.onOverflow?.(service, Math.min(excess, count));
    },
    giveBack: service => add(service, 1),
    hasLeft: (service, count) => availableTokens(service) >= count,
    tryTake(service) {
      if (availableTokens(service) < 1) return false;
      tokens.set(service, availableTokens(service) - 1);
      return true;
    },
  };
}
