/** Severity of a log line. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Structured values of a log line. They must hold no secrets. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** A logger with a fixed prefix for one part of the program. */
export interface Logger {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
}
