/** Reads the settings of a relay process from its host file. */

import {readFileSync} from 'node:fs';
import type {Clock} from '../../ports/clock.js';
import {
  readJsonRelaySettings,
  type UsableSettings,
} from '../../relay/relay_settings.js';

export type HostFileRead =
  | ({readonly kind: 'read'} & UsableSettings)
  /** The sentences name the file. */
  | {readonly kind: 'unusable'; readonly sentences: string};

export interface HostFileHost {
  readonly clock: Clock;
  /** Whether the process was told to end. */
  isEnding(): boolean;
  writeError(text: string): void;
}

/** A file that is replaced or written at this moment is whole by then. */
const GIVE_UP_AFTER_MS = 2_000;
const RETRY_INTERVAL_MS = 50;

/** Reads the file once. */
export async function readHostFile(file: string): Promise<HostFileRead> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return {kind: 'unusable', sentences: `${file} cannot be read: ${error}\n`};
  }
  const usable = readJsonRelaySettings(text);
  if (usable) return {kind: 'read', ...usable};
  const reader = await import('../../relay/relay_settings_reader.js');
  const result = reader.readRelaySettings({file, text});
  if (result.usable) return {kind: 'read', ...result.usable};
  const {formatDiagnostics} = await import('../../core/diagnostics.js');
  return {kind: 'unusable', sentences: formatDiagnostics(result.diagnostics)};
}

/** Reads the file again for a short time if it can't be used. */
export async function awaitHostFile(
  host: HostFileHost,
  file: string,
): Promise<HostFileRead | {readonly kind: 'ended'}> {
  const {clock} = host;
  const giveUpAtMs = clock.nowMs() + GIVE_UP_AFTER_MS;
  for (let isFirst = true; ; isFirst = false) {
    const read = await readHostFile(file);
    if (read.kind === 'read' || clock.nowMs() >= giveUpAtMs) return read;
    if (host.isEnding()) return {kind: 'ended'};
    if (isFirst) {
      host.writeError(`corianderbend: ${file} cannot be used yet.\n`);
    }
    await new Promise<void>(resolve => {
      clock.setTimer(RETRY_INTERVAL_MS, resolve);
    });
  }
}
