/** The host of the HTTP front, and types that its routes share. */

import type {Metrics} from '../adapters/metrics.js';
import type {AccountLimits} from '../core/account_limits.js';
import type {AccountSettings, Settings} from '../core/settings_types.js';
import type {RequestRunner} from '../ports/answer_sink.js';
import type {Clock} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';
import type {Random} from '../ports/random.js';
import type {CallerAuth} from './caller_auth.js';

/** The address of an entry that callers may use. */
export interface EntryAddress {
  readonly address: string;
}

export interface EntriesAnswer {
  /** In order of preference, best first. */
  readonly entries: readonly EntryAddress[];
  /** Callers should fetch the list again after this time. */
  readonly ttlMs: number;
}

/** The settings in force and the authentication derived from them. */
export interface FrontSettings {
  readonly settings: Settings;
  readonly auth: CallerAuth;
}

export interface FrontHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly runner: RequestRunner;
  readonly limits: AccountLimits;
  readonly metrics: Metrics;
  /** Undefined before the first configuration is read. */
  getSettings(): FrontSettings | undefined;
  getEntries(): EntriesAnswer;
  /** Whether an `Authorization` header holds the operator key. */
  isOperator(authorization: string | undefined): boolean;
  /** Whether this entry is draining. */
  isLeaving(): boolean;
}

/** An admitted caller. */
export interface Caller {
  readonly account: AccountSettings;
  readonly settings: Settings;
}
