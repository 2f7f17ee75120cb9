/** Looks up client accounts and computes the cost of their requests. */

import type {AccountQuota, ClientAccount} from '../../core/routing_types.js';
import type {PromptDescription} from '../../ports/relay.js';

/** Client accounts, indexed by name and key. */
export interface AccountTable {
  /** If there are no accounts, requests need no key. */
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

/** Returns the cost of a request in the units of its account's quota. */
export function costOf(
  quota: AccountQuota,
  prompt: PromptDescription | undefined,
): number {
  if (quota.unit === 'requests') return 1;
  if (!prompt) return quota.tokensOfPlainRequest;
  return prompt.promptTokens + prompt.maxOutputTokens;
}
