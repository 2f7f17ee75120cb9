/** Pure rules for the shares of accounts that use a service. */

/** Use of a service by one account within the window. */
export interface AccountUse {
  readonly account: string;
  readonly tokens: number;
  /** Mean tokens of a request, weighted by tokens. */
  readonly requestTokens: number;
  readonly weight: number;
}

/**
 * An account may need up to this multiple of what it used. With a smaller value
 * the accounts that crowd out the others keep more; with 1, what each used
 * would be its share. With a larger value, less of an idle account's share goes
 * to the others.
 */
const MAX_NEED = 4;
/**
 * An account is over its share only beyond the variation of random arrivals at
 * the same rate: three standard deviations, and two requests, since an account
 * with few requests in the window varies by whole requests.
 */
const TOLERATED_DEVIATIONS = 3;
const TOLERATED_REQUESTS = 2;

/**
 * Returns the tokens per weight at which all use would be divided fairly: each
 * account gets this level times its weight, or less if it needs less.
 */
export function findShareLevel(uses: readonly AccountUse[]): number {
  const needed = uses
    .map(({tokens, weight}) => ({needTokens: tokens * MAX_NEED, weight}))
    .sort((a, b) => a.needTokens / a.weight - b.needTokens / b.weight);
  let leftTokens = uses.reduce((sum, {tokens}) => sum + tokens, 0);
  let leftWeight = uses.reduce((sum, {weight}) => sum + weight, 0);
  for (const {needTokens, weight} of needed) {
    const level = leftTokens / leftWeight;
    if (needTokens >= level * weight) return level;
    leftTokens -= needTokens;
    leftWeight -= weight;
  }
  return 0;
}

/**
 * An account that was over its share remains so until its use is within the
 * share itself. With a single threshold, it could exceed its share by the
 * tolerance again and again.
 */
export function isUseOverShare(
  use: AccountUse,
  level: number,
  wasOver: boolean,
): boolean {
  const {tokens, requestTokens, weight} = use;
  const shareTokens = level * weight;
  if (wasOver) return tokens > shareTokens;
  const deviationTokens = Math.sqrt(shareTokens * requestTokens);
  const toleratedTokens =
    TOLERATED_DEVIATIONS * deviationTokens + TOLERATED_REQUESTS * requestTokens;
  return tokens > shareTokens + toleratedTokens;
}
