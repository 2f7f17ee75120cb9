/**
 * Structured logs, one JSON object per line, rate-limited and non-blocking.
 *
 * While the reader of the stream stalls, lines are kept in a small buffer; once
 * it is full they are counted and dropped, so that requests never wait for the
 * log. Warnings and errors have a separate rate limit, so that a burst of
 * ordinary lines can't displace the line that explains a failure.
 */

import type {Clock} from '../ports/clock.js';
import type {LogFields, Logger, LogLevel} from '../ports/log.js';

/** Where lines are written: standard output, except in tests. */
export interface LineSink {
  /** Returns false if the caller should wait for `onWritable`. */
  write(line: string): boolean;
  onWritable(listener: () => void): void;
}

export interface LineLoggerHost {
  readonly clock: Clock;
  readonly sink: LineSink;
  onDropped?(): void;
}

export interface LineLoggerOptions {
  readonly hostId: string;
  readonly level: LogLevel;
}

const SEVERITY: Readonly<Record<LogLevel, number>> = {
  error: 0,
  warn: 1,
  info: 2,
  debug: 3,
};
/** Five times the ten or so requests that one host completes in a second. */
const ORDINARY_LINES_PER_S = 50;
const URGENT_LINES_PER_S = 100;
const BURST_S = 4;
/** Size of the buffer, about 100 kB. */
const MAX_BUFFERED_LINES = 400;
const MS_PER_SECOND = 1_000;

interface LineRateLimiter {
  tryTake(nowMs: number): boolean;
}

function createLineRateLimiter(linesPerS: number): LineRateLimiter {
  const most = linesPerS * BURST_S;
  let left = most;
  let lastMs: number | undefined;
  return {
    tryTake(nowMs) {
      const passedMs = nowMs - (lastMs ?? nowMs);
      lastMs = nowMs;
      left = Math.min(most, left + (passedMs * linesPerS) / MS_PER_SECOND);
      if (left < 1) return false;
      left--;
      return true;
    },
  };
}

/** Creates the loggers of all parts of one process. */
export function createLineLoggers(
  host: LineLoggerHost,
  options: LineLoggerOptions,
): (part: string) => Logger {
  const {clock, sink} = host;
  const ordinary = createLineRateLimiter(ORDINARY_LINES_PER_S);
  const urgent = createLineRateLimiter(URGENT_LINES_PER_S);
  let buffered: string[] = [];
  let isSinkFull = false;
  let droppedCount = 0;

  sink.onWritable(() => {
    isSinkFull = false;
    const lines = buffered;
    buffered = [];
    for (const line of lines) writeOrBuffer(line);
  });

  /** Returns false if the buffer is full. */
  function writeOrBuffer(line: string): boolean {
    if (!isSinkFull) {
      isSinkFull = !sink.write(line);
      return true;
    }
    if (buffered.length >= MAX_BUFFERED_LINES) return false;
    buffered.push(line);
    return true;
  }

  function countDropped(): void {
    droppedCount++;
    host.onDropped?.();
  }

  function write(
    level: LogLevel,
    part: string,
    sentence: string,
    fields: LogFields | undefined,
  ): void {
    const rateLimiter = SEVERITY[level] <= SEVERITY.warn ? urgent : ordinary;
    if (!rateLimiter.tryTake(clock.nowMs())) return countDropped();
    const line = {
      time: new Date(clock.wallMs()).toISOString(),
      steadyMs: Math.round(clock.nowMs()),
      host: options.hostId,
      level,
      part,
      message: sentence,
      ...fields,
      ...(droppedCount > 0 ? {linesLeftOut: droppedCount} : {}),
    };
    // The count is reset once a line that contains it has been accepted.
    if (writeOrBuffer(`${JSON.stringify(line)}\n`)) droppedCount = 0;
    else countDropped();
  }

  return part => {
    const createWriter =
      (level: LogLevel) => (sentence: string, fields?: LogFields) => {
        if (SEVERITY[level] > SEVERITY[options.level]) return;
        write(level, part, sentence, fields);
      };
    return {
      error: createWriter('error'),
      warn: createWriter('warn'),
      info: createWriter('info'),
      debug: createWriter('debug'),
    };
  };
}
