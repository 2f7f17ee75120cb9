/**
 * Structured logs, one JSON object a line, bounded in rate and never blocking.
 *
 * Guards against a reader that stalls: lines wait in a small buffer while the
 * stream cannot take them, and are counted and dropped once it is full, so
 * that requests never wait for a log. Ordinary lines have a budget a second;
 * warnings and errors have one of their own, so that a burst of answered
 * requests cannot push out the line that explains a failure.
 */

import type {Clock} from '../ports/clock.js';
import type {LogFields, Logger, LogLevel} from '../ports/log.js';

/** Where lines go; the standard output of the process outside tests. */
export interface LineSink {
  /** False when the reader is behind. */
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

const RANK: Readonly<Record<LogLevel, number>> = {
  error: 0,
  warn: 1,
  info: 2,
  debug: 3,
};
/** One host ends some ten requests a second; this is five times as many. */
const ORDINARY_LINES_PER_S = 50;
const URGENT_LINES_PER_S = 100;
const BURST_S = 4;
/** While the reader is behind; about 100 kB. */
const MAX_WAITING_LINES = 400;
const MS_PER_SECOND = 1_000;

interface LineBudget {
  take(nowMs: number): boolean;
}

function createLineBudget(linesPerS: number): LineBudget {
  const most = linesPerS * BURST_S;
  let left = most;
  let lastMs: number | undefined;
  return {
    take(nowMs) {
      const passedMs = nowMs - (lastMs ?? nowMs);
      lastMs = nowMs;
      left = Math.min(most, left + (passedMs * linesPerS) / MS_PER_SECOND);
      if (left < 1) return false;
      left--;
      return true;
    },
  };
}

/** Makes the loggers of all parts of one process. */
export function createLineLoggers(
  host: LineLoggerHost,
  options: LineLoggerOptions,
): (part: string) => Logger {
  const {clock, sink} = host;
  const ordinary = createLineBudget(ORDINARY_LINES_PER_S);
  const urgent = createLineBudget(URGENT_LINES_PER_S);
  let waiting: string[] = [];
  let isBehind = false;
  let dropped = 0;

  sink.onWritable(() => {
    isBehind = false;
    const lines = waiting;
    waiting = [];
    for (const line of lines) push(line);
  });

  /** False when there is no room for the line. */
  function push(line: string): boolean {
    if (!isBehind) {
      isBehind = !sink.write(line);
      return true;
    }
    if (waiting.length >= MAX_WAITING_LINES) return false;
    waiting.push(line);
    return true;
  }

  function drop(): void {
    dropped++;
    host.onDropped?.();
  }

  function write(
    level: LogLevel,
    part: string,
    sentence: string,
    fields: LogFields | undefined,
  ): void {
    const budget = RANK[level] <= RANK.warn ? urgent : ordinary;
    if (!budget.take(clock.nowMs())) return drop();
    const line = {
      time: new Date(clock.wallMs()).toISOString(),
      steadyMs: Math.round(clock.nowMs()),
      host: options.hostId,
      level,
      part,
      message: sentence,
      ...fields,
      ...(dropped > 0 ? {linesLeftOut: dropped} : {}),
    };
    // The count stays until a line that says it has been taken.
    if (push(`${JSON.stringify(line)}\n`)) dropped = 0;
    else drop();
  }

  return part => {
    const at = (level: LogLevel) => (sentence: string, fields?: LogFields) => {
      if (RANK[level] > RANK[options.level]) return;
      write(level, part, sentence, fields);
    };
    return {
      error: at('error'),
      warn: at('warn'),
      info: at('info'),
      debug: at('debug'),
    };
  };
}
