/** Finds the client account of a caller by its key. Only key hashes are kept. */

import {readKeyDigest} from '../core/caller_key.js';
import type {AccountSettings, Settings} from '../core/settings_types.js';

/** Finds accounts by the `Authorization` header. */
export interface CallerAuth {
  findAccount(authorization: string | undefined): AccountSettings | undefined;
}

export function createCallerAuth(settings: Settings): CallerAuth {
  const accountsByKeyHash = new Map<string, AccountSettings>();
  for (const account of settings.accounts) {
    for (const hash of account.keySha256) {
      accountsByKeyHash.set(hash.toLowerCase(), account);
    }
  }
  return {
    findAccount(authorization) {
      const digest = readKeyDigest(authorization);
      return digest === undefined ? undefined : accountsByKeyHash.get(digest);
    },
  };
}
