/**
 * Tracks whether the bytes of an event stream end inside an event, and whether
 * they contain one at all.
 */

export interface EventBoundary {
  push(bytes: Buffer): void;
  /** Whether a line has begun, or an event that no blank line has ended. */
  isInsideEvent(): boolean;
  /** Whether a whole line of an event has arrived. */
  hasEvent(): boolean;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;

/** What is known of a line before its end has arrived. */
type OpenLine = 'empty' | 'carriage-return' | 'comment' | 'field';

function classifyStart(bytes: Buffer, from: number, to: number): OpenLine {
  if (bytes[from] === COLON) return 'comment';
  const isReturn = bytes[from] === CARRIAGE_RETURN && to === from + 1;
  return isReturn ? 'carriage-return' : 'field';
}

function extendLine(
  line: OpenLine,
  bytes: Buffer,
  from: number,
  to: number,
): OpenLine {
  if (from === to) return line;
  if (line === 'empty') return classifyStart(bytes, from, to);
  return line === 'carriage-return' ? 'field' : line;
}

export function createEventBoundary(): EventBoundary {
  let hasFields = false;
  let hasEvent = false;
  let line: OpenLine = 'empty';

  function endLine(): void {
    if (line === 'field') hasFields = hasEvent = true;
    else if (line !== 'comment') hasFields = false;
    line = 'empty';
  }

  return {
    push(bytes) {
      let from = 0;
      for (;;) {
        const end = bytes.indexOf(LINE_FEED, from);
        const to = end < 0 ? bytes.length : end;
        line = extendLine(line, bytes, from, to);
        if (end < 0) return;
        endLine();
        from = end + 1;
      }
    },
    isInsideEvent: () => hasFields || line !== 'empty',
    hasEvent: () => hasEvent,
  };
}
