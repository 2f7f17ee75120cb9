/** Severity of a log line. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Structured values of a log line. They must hold no secrets. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** A logger with a fixed prefix for one part of the program. */
export interface Logger {
  error(sentence: string, fields?: LogFields): void;
  warn(sentence: string, fields?: LogFields): void;
  info(sentence: string, fields?: LogFields): void;
  debug(sentence: string, fields?: LogFields): void;
}
