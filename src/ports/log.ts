/** Severity of a log line. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Values that a log line may carry beside its sentence. Never a secret. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** A log with a fixed prefix for one part of the program. */
export interface Logger {
  error(sentence: string, fields?: LogFields): void;
  warn(sentence: string, fields?: LogFields): void;
  info(sentence: string, fields?: LogFields): void;
  debug(sentence: string, fields?: LogFields): void;
}
