/** Finds the command, parses its flags, and turns errors into exit codes. */

import {parseArgs} from 'node:util';
import {formatSuggestion} from '../core/did_you_mean.js';
import {
  exitCodes,
  RefusedError,
  UsageError,
  type CliHost,
  type Command,
  type ParsedArguments,
} from './command.js';
import {formatCommandHelp, formatOverview} from './help.js';

/** Runs one command line; the result is the exit code. */
export async function runCommandLine(
  argv: readonly string[],
  commands: readonly Command[],
  host: CliHost,
): Promise<number> {
  try {
    return await dispatch(argv, commands, host);
  } catch (error) {
    return reportError(error, host);
  }
}

async function dispatch(
  argv: readonly string[],
  commands: readonly Command[],
  host: CliHost,
): Promise<number> {
  if (argv.length === 0) {
    host.writeError(formatOverview(commands));
    return exitCodes.usage;
  }
  if (argv[0] === 'help' || argv[0] === '--help' || argv[0] === '-h') {
    return showHelp(argv.slice(1), commands, host);
  }
  const command = findCommand(argv, commands);
  const rest = argv.slice(command.name.split(' ').length);
  if (command.takesRawArguments) {
    return command.run(createRawArguments(rest), host);
  }
  if (rest.includes('--help') || rest.includes('-h')) {
    host.writeOut(formatCommandHelp(command));
    return exitCodes.done;
  }
  return command.run(parseFlags(command, rest), host);
}

function showHelp(
  words: readonly string[],
  commands: readonly Command[],
  host: CliHost,
): number {
  if (words.length === 0) {
    host.writeOut(formatOverview(commands));
    return exitCodes.done;
  }
  const group = commands.filter(command =>
    command.name.startsWith(`${words.join(' ')} `),
  );
  const found = group.length > 0 ? group : [findCommand(words, commands)];
  host.writeOut(found.map(formatCommandHelp).join('\n'));
  return exitCodes.done;
}

function findCommand(
  words: readonly string[],
  commands: readonly Command[],
): Command {
  const one = words[0];
  const two = words.slice(0, 2).join(' ');
  const found =
    commands.find(command => command.name === two) ??
    commands.find(command => command.name === one);
  if (found) return found;
  const group = commands.filter(command => command.name.startsWith(`${one} `));
  if (group.length > 0) throw createGroupError(one, words[1], group);
  const firstWords = commands.map(command => command.name.split(' ', 1)[0]);
  const suggestion = formatSuggestion(one, [...firstWords, 'help']);
  throw new UsageError(
    `Unknown command '${one}'.${suggestion} 'corianderbend help' lists them.`,
  );
}

function createGroupError(
  first: string,
  second: string | undefined,
  group: readonly Command[],
): Error {
  const seconds = group.map(command => command.name.slice(first.length + 1));
  const known = `Known: ${seconds.join(', ')}.`;
  if (second === undefined || second.startsWith('-')) {
    return new UsageError(`'${first}' needs a second word. ${known}`);
  }
  const suggestion = formatSuggestion(second, seconds);
  return new UsageError(
    `Unknown command '${first} ${second}'.${suggestion} ${known}`,
  );
}

function parseFlags(
  command: Command,
  rest: readonly string[],
): ParsedArguments {
  checkFlagNames(command, rest);
  const parsed = parseStrictly(command, rest);
  if (command.positionals === '' && parsed.positionals.length > 0) {
    throw new UsageError(`Unexpected argument '${parsed.positionals[0]}'.`);
  }
  const values: Readonly<Record<string, unknown>> = parsed.values;
  return {
    positionals: parsed.positionals,
    getText(flag) {
      const value = values[flag];
      return typeof value === 'string' ? value : undefined;
    },
    getTexts(flag) {
      const value = values[flag];
      return Array.isArray(value) ? value.map(String) : [];
    },
    isSet: flag => values[flag] === true,
  };
}

function checkFlagNames(command: Command, rest: readonly string[]): void {
  const names = Object.keys(command.flags);
  for (const word of rest) {
    if (word === '--') return;
    const match = /^--([^=]+)/.exec(word);
    if (!match || names.includes(match[1])) continue;
    const suggestion = formatSuggestion(match[1], names);
    throw new UsageError(`Unknown flag '--${match[1]}'.${suggestion}`);
  }
}

function parseStrictly(command: Command, rest: readonly string[]) {
  try {
    return parseArgs({
      args: [...rest],
      options: command.flags,
      allowPositionals: true,
      strict: true,
    });
  } catch (error) {
    // parseArgs names the flag and what is wrong with it.
    const message = error instanceof Error ? error.message : String(error);
    throw new UsageError(message.split('\n', 1)[0]);
  }
}

function createRawArguments(rest: readonly string[]): ParsedArguments {
  return {
    positionals: rest,
    getText: () => undefined,
    getTexts: () => [],
    isSet: () => false,
  };
}

/** A user's mistake shows one sentence; only our own faults show a stack. */
function reportError(error: unknown, host: CliHost): number {
  if (error instanceof UsageError) {
    host.writeError(`corianderbend: ${error.message}\n`);
    return exitCodes.usage;
  }
  if (error instanceof RefusedError) {
    host.writeError(`corianderbend: ${error.message}\n`);
    return exitCodes.refused;
  }
  const stack = error instanceof Error ? error.stack : String(error);
  host.writeError(
    `corianderbend: internal fault. Please report it.\n${stack}\n`,
  );
  return exitCodes.refused;
}
