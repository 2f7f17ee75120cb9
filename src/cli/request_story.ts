/**
 * The lines of one request from the logs of many hosts, in order, with what
 * the hosts learned of its upstreams meanwhile. Pure.
 *
 * Clocks of hosts differ: the time of day orders lines of different hosts, and
 * each host's own lines keep the order of its steady clock. Lines that were
 * left out or cut are passed over.
 */

/** One structured line, with the fields that every line has. */
export interface LogLine {
  readonly wallMs: number;
  readonly steadyMs: number;
  readonly host: string;
  readonly level: string;
  readonly part: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Lines about upstreams count this long before the request's first line. */
const BEFORE_MS = 5_000;
const AFTER_MS = 1_000;

/** Reads a line; anything before its opening brace is passed over. */
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
    // A line that was cut at the end of a file, or not ours.
    return undefined;
  }
}

function compareLines(a: LogLine, b: LogLine): number {
  if (a.host === b.host) return a.steadyMs - b.steadyMs;
  return a.wallMs - b.wallMs;
}

/** Upstreams that the request's lines name. */
function upstreamsOf(lines: readonly LogLine[]): ReadonlySet<string> {
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

/** The lines that tell what became of the request, in order. */
export function findStory(
  lines: readonly LogLine[],
  requestId: string,
): readonly LogLine[] {
  const own = lines.filter(({fields}) => fields.request === requestId);
  if (own.length === 0) return [];
  const fromMs = Math.min(...own.map(({wallMs}) => wallMs)) - BEFORE_MS;
  const untilMs = Math.max(...own.map(({wallMs}) => wallMs)) + AFTER_MS;
  const upstreams = upstreamsOf(own);
  const around = lines.filter(
    ({fields, part, wallMs}) =>
      fields.request === undefined &&
      ['upstreams', 'crashes', 'orders'].includes(part) &&
      upstreams.has(String(fields.upstream)) &&
      wallMs >= fromMs &&
      wallMs <= untilMs,
  );
  return [...own, ...around].sort(compareLines);
}

/** One line for people: time since the first, host, part, what and why. */
export function formatStory(story: readonly LogLine[]): string {
  const firstMs = story.at(0)?.wallMs ?? 0;
  return story
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
