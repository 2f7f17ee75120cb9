/** Types and helpers for commands, and the host interface that they use. */

import type {ParseArgsConfig} from 'node:util';
import ModernError from 'modern-errors';

/** Exit codes of the program. */
export const exitCodes = {done: 0, refused: 1, usage: 2} as const;

export const CliError = ModernError.subclass('CliError');
/** The command line is invalid; exit code 2. */
export const UsageError = CliError.subclass('UsageError');
/** The command failed or was refused; exit code 1. */
export const RefusedError = CliError.subclass('RefusedError');

/** Access to files, the environment and output for commands. */
export interface CliHost {
  /** Throws `RefusedError` with a short message if the file cannot be read. */
  readFile(path: string): string;
  getEnvironment(name: string): string | undefined;
  writeOut(text: string): void;
  writeError(text: string): void;
  /** Returns a new unique identifier. */
  nextId(): string;
  /** Returns the name of the operating system user. */
  getUserName(): string;
}

type ParseArgsOptions = NonNullable<ParseArgsConfig['options']>;

/** A flag and its help text. */
export type FlagSpec = ParseArgsOptions[string] & {
  readonly help: string;
  /** Name of the value in help, such as `FILE`. */
  readonly valueName?: string;
};

export type FlagSpecs = Readonly<Record<string, FlagSpec>>;

/** Flags and positional arguments of a command line. */
export interface ParsedArguments {
  readonly positionals: readonly string[];
  getText(flag: string): string | undefined;
  getTexts(flag: string): readonly string[];
  isSet(flag: string): boolean;
}

export interface Command {
  /** One or two words, such as `config check`. */
  readonly name: string;
  readonly summary: string;
  /** Positional arguments as shown in help; empty if there are none. */
  readonly positionals: string;
  readonly flags: FlagSpecs;
  /** Passes all arguments unparsed to `run`, for commands that parse them. */
  readonly takesRawArguments?: boolean;
  run(args: ParsedArguments, host: CliHost): Promise<number>;
}

/** Returns the value of a required flag. */
export function requireText(args: ParsedArguments, flag: string): string {
  const value = args.getText(flag);
  if (value === undefined) {
    throw new UsageError(`The flag --${flag} is missing.`);
  }
  return value;
}

/** Returns the whole number in a flag, or undefined if the flag is absent. */
export function readCount(
  args: ParsedArguments,
  flag: string,
): number | undefined {
  const text = args.getText(flag);
  if (text === undefined) return undefined;
  if (!/^\d{1,15}$/.test(text)) {
    throw new UsageError(`The flag --${flag} needs a whole number.`);
  }
  return Number(text);
}

export const jsonFlag: FlagSpecs = {
  json: {type: 'boolean', help: 'Print JSON for scripts.'},
};
