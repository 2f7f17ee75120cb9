/** Look-ups of client accounts, and what their requests cost. */

import type {AccountQuota, ClientAccount} from '../../core/routing_types.js';
import type {PromptDescription} from '../../ports/relay.js';

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
