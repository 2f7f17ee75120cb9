/** Runs one relay process on the platform. */

import {parseArgs} from 'node:util';
import {createPlatformAdapters} from '../../../platform/platform_adapters.js';
import {createLineLoggers, type LineSink} from '../../adapters/line_logger.js';
import {createSystemClock} from '../../adapters/system_clock.js';
import type {SignalBuffer} from '../signal_buffer.js';
import type {Logger, LogLevel} from '../../ports/log.js';
import {createRelayMetrics} from '../../relay/relay_metrics.js';
import {startRelay} from '../../relay/relay_process.js';
import type {RelayProcess} from '../../relay/relay_process_types.js';
import {StartError} from '../../relay/start/start_error.js';
import type {BoundIssue} from '../../relay/relay_bounds.js';
import type {UsableSettings} from '../../relay/relay_settings.js';
import {awaitHostFile, readHostFile} from './relay_host_file.js';

export const RELAY_SUMMARY = 'Run one relay process on the platform.';
const USAGE =
  'Usage: corianderbend relay --host-file FILE [--log-level LEVEL]\n';
const EXIT_DONE = 0;
const EXIT_FAILED = 1;
const EXIT_REQUESTS_ABORTED = 1;
const EXIT_USAGE = 2;
const LEVELS: readonly string[] = ['error', 'warn', 'info', 'debug'];

/** Runs until the relay has shut down; returns the exit code. */
export async function runRelayCommand(
  words: readonly string[],
  signalBuffer: SignalBuffer,
): Promise<number> {
  const args = readArguments(words);
  if (typeof args === 'string') {
    process.stderr.write(`corianderbend: ${args}\n${USAGE}`);
    return EXIT_USAGE;
  }
  const {file, level} = args;
  const writeError = (text: string) => void process.stderr.write(text);
  const clock = createSystemClock();
  const read = await awaitHostFile(
    {clock, isEnding: signalBuffer.isEnding, writeError},
    file,
  );
  if (read.kind === 'ended') return EXIT_DONE;
  if (read.kind === 'read') return run(read, file, level, signalBuffer);
  writeError(read.sentences);
  return EXIT_USAGE;
}

interface RelayArguments {
  readonly file: string;
  readonly level: LogLevel;
}

/** Returns a sentence if the arguments cannot be used. */
function readArguments(words: readonly string[]): RelayArguments | string {
  const read = parseWords(words);
  if (read instanceof Error) return read.message;
  const {values} = read;
  const level = values['log-level'];
  if (!isLevel(level)) return `There is no log level ${level}.`;
  const variable = values['host-file-variable'];
  const file =
    values['host-file'] ?? (variable ? process.env[variable] : undefined);
  if (file) return {file, level};
  return variable
    ? `The variable ${variable} names no host file.`
    : 'No host file is named.';
}

function parseWords(words: readonly string[]) {
  try {
    return parseArgs({
      args: [...words],
      options: {
        'host-file': {type: 'string'},
        'host-file-variable': {type: 'string'},
        'log-level': {type: 'string', default: 'info'},
      },
    });
  } catch (error) {
    return error as Error;
  }
}

function isLevel(text: string): text is LogLevel {
  return LEVELS.includes(text);
}

async function run(
  {settings, issues}: UsableSettings,
  file: string,
  level: LogLevel,
  signalBuffer: SignalBuffer,
): Promise<number> {
  const metrics = createRelayMetrics();
  const clock = createSystemClock();
  const createLogger = createLineLoggers(
    {
      clock,
      sink: createStandardOutput(),
      onDropped: () => metrics.count('log_lines_dropped'),
    },
    {hostId: settings.hostId, level},
  );
  const log = createLogger('process');
  logUnhandledErrors(log);
  logIssues(issues, log);
  const relay = await startRelay({
    settings,
    adapters: createPlatformAdapters(),
    metrics,
    createLogger,
    isEnding: signalBuffer.isEnding,
  }).catch((error: unknown) => reportFailedStart(error, log));
  if (typeof relay === 'number') return relay;
  const leave = async (waitedMs: number) => {
    const sinceMs = clock.nowMs() - waitedMs;
    // The file may have changed without a signal, and it says when the process
    // will be killed.
    try {
      await reload(file, relay, log);
    } finally {
      relay.leave(clock.nowMs() - sinceMs);
    }
  };
  signalBuffer.forwardTo({
    SIGTERM: leave,
    SIGINT: leave,
    SIGQUIT: leave,
    SIGHUP: () => void reload(file, relay, log),
    SIGUSR1: () => ignoreSignal('SIGUSR1', log),
    SIGUSR2: () => ignoreSignal('SIGUSR2', log),
  });
  const abortedCount = await relay.ended;
  return abortedCount > 0 ? EXIT_REQUESTS_ABORTED : EXIT_DONE;
}

/** Reports values that aren't used as they are given. */
function logIssues(issues: readonly BoundIssue[], log: Logger): void {
  for (const {setting, given, used, reason} of issues) {
    log.warn('A setting is not usable as given.', {
      setting,
      given: given === undefined ? undefined : JSON.stringify(given),
      used: used ?? 'none',
      reason,
    });
  }
}

function ignoreSignal(signal: string, log: Logger): void {
  log.info('A signal was ignored that means nothing here.', {signal});
}

/** Returns the exit code; throws any error that has no words for operators. */
function reportFailedStart(error: unknown, log: Logger): number {
  if (!(error instanceof StartError)) throw error;
  const {kind, message} = error;
  if (kind === 'ended') {
    log.info('Ended before it served.');
    return EXIT_DONE;
  }
  log.error('Failed to start.', {reason: message});
  process.stderr.write(`corianderbend: ${message}\n`);
  return EXIT_FAILED;
}

/**
 * Logs uncaught errors instead of ending the process, which would abort the
 * requests of all other callers. Most are unexpected socket failures.
 */
function logUnhandledErrors(log: Logger): void {
  const report = (error: unknown) =>
    log.error('Unhandled error.', {
      reason: error instanceof Error ? error.stack : String(error),
    });
  process.on('uncaughtException', report);
  process.on('unhandledRejection', report);
}

/** Reads the settings again and uses those that take effect at once. */
async function reload(
  file: string,
  relay: Pick<RelayProcess, 'applySettings'>,
  log: Logger,
): Promise<void> {
  const read = await readHostFile(file);
  if (read.kind === 'unusable') {
    log.warn('Failed to read the settings.', {reason: read.sentences});
    return;
  }
  logIssues(read.issues, log);
  const changes = relay.applySettings(read.settings);
  const changed = changes['at-once'];
  const needsRestart = changes['at-start'];
  log.info('Settings read again.', {
    changed: changed.join(',') || undefined,
    needsRestart: needsRestart.join(',') || undefined,
  });
}

function createStandardOutput(): LineSink {
  const {stdout} = process;
  return {
    write: line => stdout.write(line),
    onWritable(listener) {
      stdout.on('drain', listener);
      // A stream that failed emits no `drain`, but a pipe may get a reader again.
      stdout.on('error', listener);
    },
  };
}
