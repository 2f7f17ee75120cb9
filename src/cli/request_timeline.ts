/**
 * Extracts the timeline of one request from the logs of many hosts, with the
 * log lines about its upstreams from the same time. The functions are pure.
 *
 * Clocks of hosts differ, so lines of one host are ordered by its monotonic
 * clock and lines of different hosts by the time of day. Missing and truncated
 * lines are tolerated.
 */

/** One structured log line; `fields` has all fields that not every line has. */
export interface LogLine {
  readonly wallMs: number;
  readonly steadyMs: number;
  readonly host: string;
  readonly level: string;
  readonly part: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Lines about upstreams are included from this long before the request. */
const UPSTREAM_LINES_BEFORE_MS = 5_000;
const UPSTREAM_LINES_AFTER_MS = 1_000;

/** Parses a log line and skips any text before its opening brace. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const value = JSON.parse(text.slice(start)) as Record<string, unknown>;
    const {time, steadyMs, host, level, part, message, ...fields} = value;
    if (typeof time !== 'string' || typeof message !== 'string') {
      return undefined;
    }
    return {
      wallMs: Date.parse(time),
      steadyMs: Number(steadyMs),
      host: String(host),
      level: String(level),
      part: String(part),
      message,
      fields,
    };
  } catch {
    // A truncated line at the end of a file, or a line of another program.
    return undefined;
  }
}

function compareLines(a: LogLine, b: LogLine): number {
  if (a.host === b.host) return a.steadyMs - b.steadyMs;
  return a.wallMs - b.wallMs;
}

/** Returns the upstreams that the log lines name. */
function getUpstreams(lines: readonly LogLine[]): ReadonlySet<string> {
  const names = new Set<string>();
  for (const {fields} of lines) {
    for (const key of ['upstream', 'prefill', 'upstreams']) {
      const value = fields[key];
      if (typeof value !== 'string') continue;
      for (const name of value.split(',')) names.add(name);
    }
  }
  return names;
}

/** Returns the ordered log lines of a request and of its upstreams. */
export function findTimeline(
  lines: readonly LogLine[],
  requestId: string,
): readonly LogLine[] {
  const requestLines = lines.filter(({fields}) => fields.request === requestId);
  if (requestLines.length === 0) return [];
  const fromMs =
    Math.min(...requestLines.map(({wallMs}) => wallMs)) -
    UPSTREAM_LINES_BEFORE_MS;
  const untilMs =
    Math.max(...requestLines.map(({wallMs}) => wallMs)) +
    UPSTREAM_LINES_AFTER_MS;
  const upstreams = getUpstreams(requestLines);
  const upstreamLines = lines.filter(
    ({fields, part, wallMs}) =>
      fields.request === undefined &&
      ['upstreams', 'crashes', 'orders'].includes(part) &&
      upstreams.has(String(fields.upstream)) &&
      wallMs >= fromMs &&
      wallMs <= untilMs,
  );
  return [...requestLines, ...upstreamLines].sort(compareLines);
}

/** Formats each log line as relative time, host, part, message and fields. */
export function formatTimeline(timeline: readonly LogLine[]): string {
  const firstMs = timeline.at(0)?.wallMs ?? 0;
  return timeline
    .map(({wallMs, host, part, message, fields}) => {
      const since = `${String(wallMs - firstMs).padStart(6)} ms`;
      const shown = Object.entries(fields)
        .filter(([name]) => name !== 'request')
        .map(([name, value]) => `${name}=${String(value)}`)
        .join(' ');
      return `${since}  ${host}  [${part}] ${message} ${shown}\n`;
    })
    .join('');
}
