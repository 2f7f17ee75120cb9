/** Client accounts as the configuration names them, and look-ups by key. */

import type {PromptDescription} from '../../ports/relay.js';

/** What the rate limit of an account counts. */
export type QuotaUnit = 'requests' | 'tokens';

/** A token bucket that all hosts share. */
export interface AccountQuota {
  readonly unit: QuotaUnit;
  /** Units that the bucket gains in a second. */
  readonly unitsPerS: number;
  /** Units that a full bucket holds. */
  readonly burstUnits: number;
  /** Cost of a request that does not say how many tokens it takes. */
  readonly tokensOfPlainRequest: number;
}

export interface ClientAccount {
  readonly name: string;
  readonly keyDigests: readonly string[];
  /** Goes before the priority of the route; 0 is the most urgent. */
  readonly priority?: number;
  /** Absent where nothing limits the account. */
  readonly quota?: AccountQuota;
}

/** Accounts made ready for look-ups. */
export interface AccountTable {
  /** Without accounts no key is asked for. */
  readonly isEmpty: boolean;
  get(name: string): ClientAccount | undefined;
  findByKey(keyDigest: string): ClientAccount | undefined;
}

export function createAccountTable(
  accounts: readonly ClientAccount[],
): AccountTable {
  const byName = new Map<string, ClientAccount>();
  const byKey = new Map<string, ClientAccount>();
  for (const account of accounts) {
    byName.set(account.name, account);
    for (const digest of account.keyDigests) byKey.set(digest, account);
  }
  return {
    isEmpty: accounts.length === 0,
    get: name => byName.get(name),
    findByKey: keyDigest => byKey.get(keyDigest),
  };
}

/** What a request takes from the bucket of its account, in its units. */
export function costOf(
  quota: AccountQuota,
  prompt: PromptDescription | undefined,
): number {
  if (quota.unit === 'requests') return 1;
  if (!prompt) return quota.tokensOfPlainRequest;
  return prompt.promptTokens + prompt.maxOutputTokens;
}
