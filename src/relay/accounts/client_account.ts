/** Looks up client accounts and computes the cost of their requests. */

import type {
  AccountQuota,
  ClientAccount,
  Routing,
} from '../../core/routing_types.js';
import type {PromptDescription} from '../../ports/relay.js';

/** Client accounts, indexed by name and key. */
export interface AccountTable {
  /** Whether requests need the key of an account. */
  readonly requiresKey: boolean;
  readonly hasLimits: boolean;
  get(name: string): ClientAccount | undefined;
  findByKey(keyDigest: string): ClientAccount | undefined;
}

export function createAccountTable({
  accounts,
  requiresKey = accounts.length > 0,
}: Pick<Routing, 'accounts' | 'requiresKey'>): AccountTable {
  const byName = new Map<string, ClientAccount>();
  const byKey = new Map<string, ClientAccount>();
  for (const account of accounts) {
    byName.set(account.name, account);
    for (const digest of account.keyDigests) byKey.set(digest, account);
  }
  return {
    requiresKey,
    hasLimits: accounts.some(({quota}) => quota !== undefined),
    get: name => byName.get(name),
    findByKey: keyDigest => byKey.get(keyDigest),
  };
}

/** Returns the cost of a request in the units of its account's quota. */
export function costOf(
  quota: AccountQuota,
  prompt: PromptDescription | undefined,
): number {
  if (quota.unit === 'requests') return 1;
  if (!prompt) return quota.tokensOfPlainRequest;
  return prompt.promptTokens + prompt.maxOutputTokens;
}
