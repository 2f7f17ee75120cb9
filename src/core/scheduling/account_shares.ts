/**
 * Weighted fairness between client accounts, based on the recent engine use of
 * each account with exponential decay.
 */

export interface AccountLimits {
  readonly weight: number;
  /** Maximum concurrent grants and queue entries at one home. */
  readonly maxConcurrent: number;
}

export interface AccountShares {
  /** Adds engine time that was used or granted. */
  charge(account: string, costMs: number, nowMs: number): void;
  /** Returns the use per unit of weight, in milliseconds. */
  normalizedUse(account: string, nowMs: number): number;
  limits(account: string): AccountLimits;
  setLimits(limits: ReadonlyMap<string, AccountLimits>): void;
}

const DEFAULT_LIMITS: AccountLimits = {
  weight: 1,
  maxConcurrent: Number.POSITIVE_INFINITY,
};
const MAX_ACCOUNTS = 4_096;

/** @param halfLifeMs Half-life of recorded use. */
export function createAccountShares(halfLifeMs: number): AccountShares {
  let limitsByAccount: ReadonlyMap<string, AccountLimits> = new Map();
  const uses = new Map<string, {costMs: number; atMs: number}>();

  function decay(use: {costMs: number; atMs: number}, nowMs: number): void {
    use.costMs *= 0.5 ** ((nowMs - use.atMs) / halfLifeMs);
    use.atMs = nowMs;
  }

  function limits(account: string): AccountLimits {
    return limitsByAccount.get(account) ?? DEFAULT_LIMITS;
  }

  return {
    charge(account, costMs, nowMs) {
      let use = uses.get(account);
      if (!use) {
        if (uses.size >= MAX_ACCOUNTS) {
          const [oldest] = uses.keys();
          uses.delete(oldest);
        }
        use = {costMs: 0, atMs: nowMs};
        uses.set(account, use);
      }
      decay(use, nowMs);
      use.costMs += costMs;
    },
    normalizedUse(account, nowMs) {
      const use = uses.get(account);
      if (!use) return 0;
      decay(use, nowMs);
      return use.costMs / Math.max(limits(account).weight, 1e-6);
    },
    limits,
    setLimits(next) {
      limitsByAccount = next;
    },
  };
}
