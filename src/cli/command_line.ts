/** Finds the command, parses its flags, and converts errors to exit codes. */

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

/** Runs one command line and returns the exit code. */
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
  const matches = group.length > 0 ? group : [findCommand(words, commands)];
  host.writeOut(matches.map(formatCommandHelp).join('\n'));
  return exitCodes.done;
}

function findCommand(
  words: readonly string[],
  commands: readonly Command[],
): Command {
  const firstWord = words[0];
  const twoWords = words.slice(0, 2).join(' ');
  const exactMatch =
    commands.find(command => command.name === twoWords) ??
    commands.find(command => command.name === firstWord);
  if (exactMatch) return exactMatch;
  const group = commands.filter(command =>
    command.name.startsWith(`${firstWord} `),
  );
  if (group.length > 0) throw createGroupError(firstWord, words[1], group);
  const firstWords = commands.map(command => command.name.split(' ', 1)[0]);
  const suggestion = formatSuggestion(firstWord, [...firstWords, 'help']);
  throw new UsageError(
    `Unknown command '${firstWord}'.${suggestion} 'corianderbend help' lists them.`,
  );
}

function createGroupError(
  groupName: string,
  subcommand: string | undefined,
  group: readonly Command[],
): Error {
  const subcommands = group.map(command =>
    command.name.slice(groupName.length + 1),
  );
  const known = `Known: ${subcommands.join(', ')}.`;
  if (subcommand === undefined || subcommand.startsWith('-')) {
    return new UsageError(`'${groupName}' needs a second word. ${known}`);
  }
  const suggestion = formatSuggestion(subcommand, subcommands);
  return new UsageError(
    `Unknown command '${groupName} ${subcommand}'.${suggestion} ${known}`,
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
    // The message of parseArgs names the flag and the problem.
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

/** Prints one sentence for a usage error or refusal, and the stack for a bug. */
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
