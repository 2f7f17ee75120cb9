/** What the HTTP front needs of the process it runs in. */

import type {Metrics} from '../adapters/metrics.js';
import type {AccountLimits} from '../core/account_limits.js';
import type {AccountSettings, Settings} from '../core/settings_types.js';
import type {RequestRunner} from '../ports/answer_sink.js';
import type {Clock} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';
import type {Random} from '../ports/random.js';
import type {CallerAuth} from './caller_auth.js';

/** One address that callers may use, best first. */
export interface EntryAddress {
  readonly address: string;
}

export interface EntriesAnswer {
  readonly entries: readonly EntryAddress[];
  /** Callers should ask again after this time. */
  readonly ttlMs: number;
}

/** Settings in force, with what is derived from them once. */
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
  /** Undefined until a configuration has been read. */
  getSettings(): FrontSettings | undefined;
  getEntries(): EntriesAnswer;
  /** Whether an `Authorization` header shows the operators' key. */
  isOperator(authorization: string | undefined): boolean;
  /** True once this entry drains. */
  isLeaving(): boolean;
}

/** An admitted caller. */
export interface Caller {
  readonly account: AccountSettings;
  readonly settings: Settings;
}
