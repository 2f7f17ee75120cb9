/** From a caller's key to its client account. Keys are kept as hashes only. */

import {createHash} from 'node:crypto';
import type {AccountSettings, Settings} from '../core/settings_types.js';

const BEARER = /^Bearer +(\S+)$/i;

/** Finds accounts by the `Authorization` header. */
export interface CallerAuth {
  findAccount(authorization: string | undefined): AccountSettings | undefined;
}

/** Hash under which the settings keep a caller key. */
export function hashCallerKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

export function createCallerAuth(settings: Settings): CallerAuth {
  const byHash = new Map<string, AccountSettings>();
  for (const account of settings.accounts) {
    for (const hash of account.keySha256) {
      byHash.set(hash.toLowerCase(), account);
    }
  }
  return {
    findAccount(authorization) {
      const key = BEARER.exec(authorization ?? '')?.[1];
      return key === undefined ? undefined : byHash.get(hashCallerKey(key));
    },
  };
}
