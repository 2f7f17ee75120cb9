/** One process of the system. */

import type {HostSettings} from '../core/settings_types.js';
import type {Logger} from '../ports/log.js';

export interface ServeOptions {
  /** Makes the logger of a part, with its level and format. */
  readonly createLogger: (part: string) => Logger;
}

/** Runs until the process has drained; the result is the exit code. */
export async function runServe(
  host: HostSettings,
  options: ServeOptions,
): Promise<number> {
  options.createLogger('serve').error('Serving is not built in yet.', {
    host: host.hostId,
  });
  return 1;
}
