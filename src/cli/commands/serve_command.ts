/** The command `serve`, which runs one process of the system. */

import {
  createLoggerFactory,
  parseLogLevels,
  type LogFormat,
} from '../../adapters/consola_logger.js';
import {readHostSettings} from '../../core/settings_reader.js';
import type {HostSettings} from '../../core/settings_types.js';
import {runServe} from '../../serve/serve.js';
import {
  UsageError,
  type CliHost,
  type Command,
  type ParsedArguments,
} from '../command.js';
import {reportDiagnostics} from '../settings_files.js';

const PEER_KEY_VARIABLE = 'CORIANDERBEND_PEER_KEY';
const OPERATOR_KEY_VARIABLE = 'CORIANDERBEND_OPERATOR_KEY';

export const serve: Command = {
  name: 'serve',
  summary: 'Run one process of the system.',
  positionals: '',
  flags: {
    'host-file': {
      type: 'string',
      valueName: 'FILE',
      help: 'What this host is; the flags below go before it.',
    },
    'host-id': {type: 'string', valueName: 'NAME', help: 'Name of the host.'},
    site: {type: 'string', valueName: 'SITE', help: 'Site of the host.'},
    'failure-domain': {
      type: 'string',
      valueName: 'NAME',
      help: 'Failure domain of the host.',
    },
    'caller-address': {
      type: 'string',
      valueName: 'IP:PORT',
      help: 'Where callers connect.',
    },
    'peer-address': {
      type: 'string',
      valueName: 'IP:PORT',
      help: 'Where our own processes and operators connect.',
    },
    'platform-url': {
      type: 'string',
      valueName: 'URL',
      help: "Base URL of the platform's service.",
    },
    'peer-key-file': {
      type: 'string',
      valueName: 'FILE',
      help: `File with the key between processes; or set ${PEER_KEY_VARIABLE}.`,
    },
    'operator-key-file': {
      type: 'string',
      valueName: 'FILE',
      help: `File with the operator key; or set ${OPERATOR_KEY_VARIABLE}.`,
    },
    'log-level': {
      type: 'string',
      valueName: 'LEVELS',
      help: 'A level, and levels of parts: info,journal=debug.',
    },
    'log-format': {
      type: 'string',
      valueName: 'FORMAT',
      help: 'text or json.',
    },
  },
  async run(args, host) {
    const createLogger = createLoggerFactory(readLogLevels(args), {
      format: readLogFormat(args),
    });
    const file = args.getText('host-file');
    const result = readHostSettings({
      source: file ? {file, text: host.readFile(file)} : undefined,
      overrides: readOverrides(args, host),
    });
    if (!result.host) return reportDiagnostics(result.diagnostics, host);
    return runServe(result.host, {createLogger});
  },
};

type Overrides = Partial<Record<keyof HostSettings, string>>;

function readOverrides(args: ParsedArguments, host: CliHost): Overrides {
  return {
    hostId: args.getText('host-id'),
    site: args.getText('site'),
    failureDomain: args.getText('failure-domain'),
    callerAddress: args.getText('caller-address'),
    peerAddress: args.getText('peer-address'),
    platformUrl: args.getText('platform-url'),
    peerKey: readKey('peer-key-file', PEER_KEY_VARIABLE, args, host),
    operatorKey: readKey(
      'operator-key-file',
      OPERATOR_KEY_VARIABLE,
      args,
      host,
    ),
  };
}

function readKey(
  flag: string,
  variable: string,
  args: ParsedArguments,
  host: CliHost,
): string | undefined {
  const file = args.getText(flag);
  return file ? host.readFile(file).trim() : host.getEnvironment(variable);
}

function readLogLevels(args: ParsedArguments) {
  const levels = parseLogLevels(args.getText('log-level') ?? 'info');
  if (typeof levels === 'string') throw new UsageError(levels);
  return levels;
}

function readLogFormat(args: ParsedArguments): LogFormat {
  const format = args.getText('log-format') ?? 'text';
  if (format === 'text' || format === 'json') return format;
  throw new UsageError(`--log-format needs text or json, not '${format}'.`);
}
