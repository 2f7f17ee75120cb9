/**
 * Limits of client accounts at one entry: a rate by token bucket, and a bound
 * on requests that run at once.
 *
 * The limits in the settings are for all entries together. No entry can know
 * what the others admitted just now, so each takes an even share, and some
 * more because callers don't spread evenly; the fleet may admit at most
 * `SHARE_SLACK` times the limit.
 */

import type {Clock} from '../ports/clock.js';
import type {AccountSettings} from './settings_types.js';

const SHARE_SLACK = 1.5;
const BURST_MS = 2000;
const MS_PER_SECOND = 1000;
const MIN_RETRY_MS = 100;

export type AccountAdmission =
  | {readonly kind: 'admitted'}
  | {readonly kind: 'refused'; readonly retryAfterMs: number};

export interface AccountLimits {
  /** Takes one place; give it back with `release`. */
  admit(account: AccountSettings): AccountAdmission;
  release(accountName: string): void;
  /** Requests that run for this account at this entry. */
  runningCount(accountName: string): number;
}

interface AccountBooks {
  availableCount: number;
  updatedAtMs: number;
  runningCount: number;
}

export interface AccountLimitsHost {
  readonly clock: Clock;
  /** Entries that share the limits, at least 1. */
  entryCount(): number;
}

export function createAccountLimits(host: AccountLimitsHost): AccountLimits {
  const books = new Map<string, AccountBooks>();

  /** Share of a fleet-wide limit that this entry may use. */
  function shareOf(limit: number): number {
    const entryCount = Math.max(1, host.entryCount());
    return entryCount === 1 ? limit : (limit * SHARE_SLACK) / entryCount;
  }

  function refill(account: AccountSettings): AccountBooks {
    const nowMs = host.clock.nowMs();
    const perMs = shareOf(account.requestsPerSecond) / MS_PER_SECOND;
    const burst = Math.max(1, perMs * BURST_MS);
    let entry = books.get(account.name);
    if (!entry) {
      entry = {availableCount: burst, updatedAtMs: nowMs, runningCount: 0};
      books.set(account.name, entry);
    }
    const gained = (nowMs - entry.updatedAtMs) * perMs;
    entry.availableCount = Math.min(burst, entry.availableCount + gained);
    entry.updatedAtMs = nowMs;
    return entry;
  }

  return {
    admit(account) {
      const entry = refill(account);
      const maxRunning = Math.max(1, Math.ceil(shareOf(account.maxConcurrent)));
      if (entry.runningCount >= maxRunning) {
        return {kind: 'refused', retryAfterMs: MS_PER_SECOND};
      }
      if (entry.availableCount < 1) {
        const perMs = shareOf(account.requestsPerSecond) / MS_PER_SECOND;
        const waitMs = (1 - entry.availableCount) / perMs;
        return {kind: 'refused', retryAfterMs: Math.max(MIN_RETRY_MS, waitMs)};
      }
      entry.availableCount--;
      entry.runningCount++;
      return {kind: 'admitted'};
    },
    release(accountName) {
      const entry = books.get(accountName);
      if (entry && entry.runningCount > 0) entry.runningCount--;
    },
    runningCount: accountName => books.get(accountName)?.runningCount ?? 0,
  };
}
