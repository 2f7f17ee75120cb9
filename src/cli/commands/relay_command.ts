/** `relay`: one process of the relay on the users' platform. */

import {readFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {createPlatformAdapters} from '../../../platform/platform_adapters.js';
import {createLineLoggers, type LineSink} from '../../adapters/line_logger.js';
import {createSystemClock} from '../../adapters/system_clock.js';
import type {HeldSignals} from '../held_signals.js';
import type {Logger, LogLevel} from '../../ports/log.js';
import {createRelayMetrics} from '../../relay/relay_metrics.js';
import {startRelay} from '../../relay/relay_process.js';
import {
  readJsonRelaySettings,
  type RelaySettings,
} from '../../relay/relay_settings.js';

export const RELAY_SUMMARY = 'Run one relay process on the platform.';
const USAGE =
  'Usage: corianderbend relay --host-file FILE [--log-level LEVEL]\n';
const EXIT_DONE = 0;
const EXIT_CUT = 1;
const EXIT_USAGE = 2;
const LEVELS: readonly string[] = ['error', 'warn', 'info', 'debug'];

/** Runs until the process has left; the result is the exit code. */
export async function runRelayCommand(
  words: readonly string[],
  signals: HeldSignals,
): Promise<number> {
  const {values} = parseArgs({
    args: [...words],
    options: {
      'host-file': {type: 'string'},
      'host-file-variable': {type: 'string'},
      'log-level': {type: 'string', default: 'info'},
    },
  });
  const level = values['log-level'];
  const variable = values['host-file-variable'];
  const file =
    values['host-file'] ?? (variable ? process.env[variable] : undefined);
  if (!file || !isLevel(level)) {
    process.stderr.write(USAGE);
    return EXIT_USAGE;
  }
  const settings = await readSettings(file);
  return settings ? run(settings, file, level, signals) : EXIT_USAGE;
}

function isLevel(text: string): text is LogLevel {
  return LEVELS.includes(text);
}

async function readSettings(file: string): Promise<RelaySettings | undefined> {
  const text = readFileSync(file, 'utf8');
  const settings = readJsonRelaySettings(text);
  if (settings) return settings;
  const reader = await import('../../relay/relay_settings_reader.js');
  const result = reader.readRelaySettings({file, text});
  if (result.diagnostics.length > 0) {
    const {formatDiagnostics} = await import('../../core/diagnostics.js');
    process.stderr.write(formatDiagnostics(result.diagnostics));
  }
  return result.settings;
}

async function run(
  settings: RelaySettings,
  file: string,
  level: LogLevel,
  signals: HeldSignals,
): Promise<number> {
  const metrics = createRelayMetrics();
  const createLogger = createLineLoggers(
    {
      clock: createSystemClock(),
      sink: createStandardOutput(),
      onDropped: () => metrics.count('log_lines_dropped'),
    },
    {hostId: settings.hostId, level},
  );
  const log = createLogger('process');
  keepRunning(log);
  const relay = await startRelay({
    settings,
    adapters: createPlatformAdapters(),
    metrics,
    createLogger,
  });
  signals.handTo({
    SIGTERM: relay.leave,
    SIGINT: relay.leave,
    SIGHUP: () => void reload(file, settings, log),
  });
  const cutCount = await relay.ended;
  return cutCount > 0 ? EXIT_CUT : EXIT_DONE;
}

/**
 * An error that nobody caught, in most cases of a socket that broke at an odd
 * moment, must not end the requests of all other callers.
 */
function keepRunning(log: Logger): void {
  const report = (error: unknown) =>
    log.error('An error was not handled.', {
      reason: error instanceof Error ? error.stack : String(error),
    });
  process.on('uncaughtException', report);
  process.on('unhandledRejection', report);
}

/** Addresses and names of a running process do not change; others are told. */
async function reload(
  file: string,
  inForce: RelaySettings,
  log: Logger,
): Promise<void> {
  try {
    const settings = await readSettings(file);
    const changed = settings
      ? (Object.keys(settings) as Array<keyof RelaySettings>).filter(
          name =>
            JSON.stringify(settings[name]) !== JSON.stringify(inForce[name]),
        )
      : [];
    log.info('Settings read again.', {
      isUsable: settings !== undefined,
      changed: changed.join(',') || undefined,
    });
  } catch (error) {
    log.warn('Settings cannot be read.', {reason: String(error)});
  }
}

function createStandardOutput(): LineSink {
  const {stdout} = process;
  // A reader that went away must not end the process.
  stdout.on('error', () => undefined);
  return {
    write: line => stdout.write(line),
    onWritable: listener => void stdout.on('drain', listener),
  };
}
