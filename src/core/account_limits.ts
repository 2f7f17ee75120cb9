/**
 * Limits of client accounts at one entry: a token bucket for the request rate,
 * and a limit of concurrent requests.
 *
 * The limits in the settings apply to all entries together. An entry does not
 * know the current load of the others, so each uses an even share with a
 * margin, because callers are not spread evenly. The fleet may admit at most
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
  /** Admits a request; `release` must be called when it ends. */
  admit(account: AccountSettings): AccountAdmission;
  release(accountName: string): void;
  /** Returns the number of running requests of the account at this entry. */
  runningCount(accountName: string): number;
}

interface AccountState {
  availableCount: number;
  updatedAtMs: number;
  runningCount: number;
}

export interface AccountLimitsHost {
  readonly clock: Clock;
  /** Returns the number of entries that share the limits, at least 1. */
  entryCount(): number;
}

export function createAccountLimits(host: AccountLimitsHost): AccountLimits {
  const states = new Map<string, AccountState>();

  /** Returns this entry's share of a fleet-wide limit. */
  function getEntryShare(limit: number): number {
    const entryCount = Math.max(1, host.entryCount());
    return entryCount === 1 ? limit : (limit * SHARE_SLACK) / entryCount;
  }

  function refill(account: AccountSettings): AccountState {
    const nowMs = host.clock.nowMs();
    const perMs = getEntryShare(account.requestsPerSecond) / MS_PER_SECOND;
    const burst = Math.max(1, perMs * BURST_MS);
    let state = states.get(account.name);
    if (!state) {
      state = {availableCount: burst, updatedAtMs: nowMs, runningCount: 0};
      states.set(account.name, state);
    }
    const gained = (nowMs - state.updatedAtMs) * perMs;
    state.availableCount = Math.min(burst, state.availableCount + gained);
    state.updatedAtMs = nowMs;
    return state;
  }

  return {
    admit(account) {
      const state = refill(account);
      const maxRunning = Math.max(
        1,
        Math.ceil(getEntryShare(account.maxConcurrent)),
      );
      if (state.runningCount >= maxRunning) {
        return {kind: 'refused', retryAfterMs: MS_PER_SECOND};
      }
      if (state.availableCount < 1) {
        const perMs = getEntryShare(account.requestsPerSecond) / MS_PER_SECOND;
        const waitMs = (1 - state.availableCount) / perMs;
        return {kind: 'refused', retryAfterMs: Math.max(MIN_RETRY_MS, waitMs)};
      }
      state.availableCount--;
      state.runningCount++;
      return {kind: 'admitted'};
    },
    release(accountName) {
      const state = states.get(accountName);
      if (state && state.runningCount > 0) state.runningCount--;
    },
    runningCount: accountName => states.get(accountName)?.runningCount ?? 0,
  };
}
