/** A logger that keeps its lines, for tests to check. */

import type {Logger} from '../../src/ports/log.js';

export interface LoggedLine {
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface RecordingLog extends Logger {
  readonly lines: readonly LoggedLine[];
}

export function createRecordingLog(): RecordingLog {
  const lines: LoggedLine[] = [];
  const record = (message: string, fields = {}) =>
    void lines.push({message, fields});
  return {lines, error: record, warn: record, info: record, debug: record};
}
