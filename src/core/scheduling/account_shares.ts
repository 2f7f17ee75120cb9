/**
 * Weighted fairness between client accounts: recent use of engines by each,
 * fading with time, against the share its weight gives it.
 */

export interface AccountLimits {
  readonly weight: number;
  /** Most grants and queue places held at once at one home. */
  readonly maxConcurrent: number;
}

export interface AccountShares {
  /** Adds engine time used or promised. */
  charge(account: string, costMs: number, nowMs: number): void;
  /** Use for each unit of weight, in milliseconds. */
  normalizedUse(account: string, nowMs: number): number;
  limits(account: string): AccountLimits;
  setLimits(limits: ReadonlyMap<string, AccountLimits>): void;
}

const DEFAULT_LIMITS: AccountLimits = {
  weight: 1,
  maxConcurrent: Number.POSITIVE_INFINITY,
};
const MAX_ACCOUNTS = 4_096;

/** @param halfLifeMs Use counts half after this time. */
export function createAccountShares(halfLifeMs: number): AccountShares {
  let limitsByAccount: ReadonlyMap<string, AccountLimits> = new Map();
  const uses = new Map<string, {costMs: number; atMs: number}>();

  function fade(use: {costMs: number; atMs: number}, nowMs: number): void {
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
      fade(use, nowMs);
      use.costMs += costMs;
    },
    normalizedUse(account, nowMs) {
      const use = uses.get(account);
      if (!use) return 0;
      fade(use, nowMs);
      return use.costMs / Math.max(limits(account).weight, 1e-6);
    },
    limits,
    setLimits(next) {
      limitsByAccount = next;
    },
  };
}
