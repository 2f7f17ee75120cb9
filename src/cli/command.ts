/** What a command of the program is, and what it may use of the world. */

import type {ParseArgsConfig} from 'node:util';
import ModernError from 'modern-errors';

/** Exit codes of the program. */
export const exitCodes = {done: 0, refused: 1, usage: 2} as const;

export const CliError = ModernError.subclass('CliError');
/** The command line itself is wrong; exit code 2. */
export const UsageError = CliError.subclass('UsageError');
/** The command was understood and could not be done; exit code 1. */
export const RefusedError = CliError.subclass('RefusedError');

/** What a command may use of the world. */
export interface CliHost {
  /** Throws `RefusedError` with a short sentence. */
  readFile(path: string): string;
  getEnvironment(name: string): string | undefined;
  writeOut(text: string): void;
  writeError(text: string): void;
  /** A fresh identifier. */
  nextId(): string;
  /** Name of the person at the terminal. */
  getUserName(): string;
}

type ParseArgsOptions = NonNullable<ParseArgsConfig['options']>;

/** One flag, with what help says of it. */
export type FlagSpec = ParseArgsOptions[string] & {
  readonly help: string;
  /** Name of the value in help, such as `FILE`. */
  readonly valueName?: string;
};

export type FlagSpecs = Readonly<Record<string, FlagSpec>>;

/** Flags and positionals as given. */
export interface ParsedArguments {
  readonly positionals: readonly string[];
  getText(flag: string): string | undefined;
  getTexts(flag: string): readonly string[];
  isSet(flag: string): boolean;
}

export interface Command {
  /** One word or two, such as `config check`. */
  readonly name: string;
  readonly summary: string;
  /** Positionals as help shows them; empty when there are none. */
  readonly positionals: string;
  readonly flags: FlagSpecs;
  /** All that follows goes to `run` unread, for commands that parse it. */
  readonly takesRawArguments?: boolean;
  run(args: ParsedArguments, host: CliHost): Promise<number>;
}

/** The value of a flag that must be there. */
export function requireText(args: ParsedArguments, flag: string): string {
  const value = args.getText(flag);
  if (value === undefined) {
    throw new UsageError(`The flag --${flag} is missing.`);
  }
  return value;
}

/** A whole number from a flag, or undefined without it. */
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
