/** What a relay process is given, and what its owner can do with it. */

import type {Logger} from '../ports/log.js';
import type {SettingChanges} from './live_settings.js';
import type {RelayAdapters} from './relay_adapters.js';
import type {RelayMetrics} from './relay_metrics.js';
import type {RelaySettings} from './relay_settings.js';

export interface RelayProcessOptions {
  readonly settings: RelaySettings;
  readonly adapters: RelayAdapters;
  readonly metrics: RelayMetrics;
  readonly createLogger: (part: string) => Logger;
  /** Whether a signal to end arrived before the process served. */
  isEnding?(): boolean;
}

export interface RelayProcess {
  /** Begins to leave, `waitedMs` after the signal for it was received. */
  leave(waitedMs?: number): void;
  /** Uses the new values of the settings that take effect at once. */
  applySettings(next: RelaySettings): SettingChanges;
  /** Resolves to the number of requests that were cut, normally 0. */
  readonly ended: Promise<number>;
}
