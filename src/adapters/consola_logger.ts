/** Logger by consola: one line per message, with the part as a prefix. */

import {createConsola} from 'consola/core';
import type {LogFields, Logger, LogLevel} from '../ports/log.js';

export type LogFormat = 'text' | 'json';

export interface ConsolaLoggerOptions {
  /** The part of the program, written as a prefix. */
  readonly part: string;
  /** The least severe level that is written. */
  readonly level: LogLevel;
  readonly format: LogFormat;
  /** Writes a line that includes its line end; standard error by default. */
  readonly write?: (line: string) => void;
  /** The time in milliseconds since the Unix epoch. */
  readonly wallMs?: () => number;
}

/** Consola's numbers of the levels. */
const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

/** Fields whose values are masked. */
const SECRET_FIELD = /key$|secret|password|token$|authorization/i;
/** Fields that match `SECRET_FIELD` but hold no secret. */
const NON_SECRET_FIELD = /^(?:rowKey|cacheKey)$/;
const MASK = '[hidden]';

type LineFormatter = (line: LogLine) => string;

interface LogLine {
  readonly wallMs: number;
  readonly level: LogLevel;
  readonly part: string;
  readonly sentence: string;
  readonly fields: LogFields;
}

const formatters: Readonly<Record<LogFormat, LineFormatter>> = {
  text: formatText,
  json: formatJson,
};

export function createConsolaLogger(options: ConsolaLoggerOptions): Logger {
  const write = options.write ?? (line => void process.stderr.write(line));
  const wallMs = options.wallMs ?? Date.now;
  const format = formatters[options.format];
  const consola = createConsola({
    level: CONSOLA_LEVELS[options.level],
    // Repeated messages are written each time, not merged.
    throttle: 0,
    reporters: [
      {
        log(entry) {
          const [sentence, fields] = entry.args;
          write(
            format({
              wallMs: wallMs(),
              level: toLogLevel(entry.type),
              part: options.part,
              sentence: String(sentence),
              fields: maskSecrets(fields),
            }),
          );
        },
      },
    ],
  });
  return {
    error: (sentence, fields) => consola.error(sentence, fields ?? {}),
    warn: (sentence, fields) => consola.warn(sentence, fields ?? {}),
    info: (sentence, fields) => consola.info(sentence, fields ?? {}),
    debug: (sentence, fields) => consola.debug(sentence, fields ?? {}),
  };
}

function toLogLevel(type: string): LogLevel {
  return type === 'error' || type === 'warn' || type === 'debug'
    ? type
    : 'info';
}

/** Keys in a log would let anyone who reads it act for the callers. */
function maskSecrets(fields: LogFields): LogFields {
  return Object.fromEntries(
    Object.entries(fields).map(([name, value]) => [
      name,
      SECRET_FIELD.test(name) && !NON_SECRET_FIELD.test(name) ? MASK : value,
    ]),
  );
}

function formatText(line: LogLine): string {
  const time = new Date(line.wallMs).toISOString();
  const fields = Object.entries(line.fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => ` ${name}=${formatValue(value)}`)
    .join('');
  const level = line.level.padEnd(5);
  return `${time} ${level} [${line.part}] ${replaceLineBreaks(line.sentence)}${fields}\n`;
}

function formatValue(value: string | number | boolean | undefined): string {
  const text = String(value);
  return /^[\w.:/#@+-]+$/.test(text) ? text : JSON.stringify(text);
}

/** Replaces line breaks, so that a caller's text can't forge a log line. */
function replaceLineBreaks(text: string): string {
  return text.replace(/[\r\n]+/g, ' ');
}

function formatJson(line: LogLine): string {
  const {wallMs, level, part, sentence, fields} = line;
  const time = new Date(wallMs).toISOString();
  return `${JSON.stringify({...fields, time, level, part, message: sentence})}\n`;
}

/** The base level and those of single parts: `info,journal=debug`. */
export interface LogLevels {
  readonly base: LogLevel;
  readonly parts: ReadonlyMap<string, LogLevel>;
}

const LEVEL_NAMES: readonly string[] = Object.keys(CONSOLA_LEVELS);

/** Parses the `--log-level` flag; returns a string if it is invalid. */
export function parseLogLevels(text: string): LogLevels | string {
  let base: LogLevel = 'info';
  const parts = new Map<string, LogLevel>();
  for (const item of text.split(',').filter(Boolean)) {
    const [first, second] = item.split('=', 2);
    const level = second ?? first;
    if (!isLogLevel(level)) {
      return `Unknown log level '${level}'; expected one of ${LEVEL_NAMES.join(', ')}.`;
    }
    if (second === undefined) base = level;
    else parts.set(first, level);
  }
  return {base, parts};
}

function isLogLevel(text: string): text is LogLevel {
  return LEVEL_NAMES.includes(text);
}

/** Creates the loggers of all parts from one set of levels. */
export function createLoggerFactory(
  levels: LogLevels,
  options: Omit<ConsolaLoggerOptions, 'part' | 'level'>,
): (part: string) => Logger {
  return part =>
    createConsolaLogger({
      ...options,
      part,
      level: levels.parts.get(part) ?? levels.base,
    });
}
