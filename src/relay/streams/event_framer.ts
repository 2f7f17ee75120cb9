/**
 * Splits the bytes of an event stream into whole events.
 *
 * An engine may fail in the middle of an event. A resumable stream forwards
 * only whole events, so that the first event of the next run doesn't follow a
 * truncated one.
 */

/** One whole event; `bytes` include the blank line at its end. */
export interface StreamEvent {
  /** The `id` field of the event, if it has one. */
  readonly id?: string;
  readonly bytes: Buffer;
}

export interface EventFramer {
  /** Adds bytes and returns the events that they complete, in order. */
  push(bytes: Buffer): readonly StreamEvent[];
  /** Returns the bytes after the last whole event. */
  rest(): Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(.*?)\r?$/m;

/** Returns the index after the blank line that ends the event, or -1. */
function findEventEnd(bytes: Buffer, from: number): number {
  let lineStart = from;
  for (;;) {
    const lineEnd = bytes.indexOf(LINE_FEED, lineStart);
    if (lineEnd < 0) return -1;
    const isBlank =
      lineEnd === lineStart ||
      (lineEnd === lineStart + 1 && bytes[lineStart] === CARRIAGE_RETURN);
    if (isBlank) return lineEnd + 1;
    lineStart = lineEnd + 1;
  }
}

function toEvent(bytes: Buffer): StreamEvent {
  const id = ID_FIELD.exec(bytes.toString('latin1'))?.[1];
  return {id, bytes};
}

export function createEventFramer(): EventFramer {
  let pending: Buffer = Buffer.alloc(0);
  return {
    push(bytes) {
      const all = pending.length > 0 ? Buffer.concat([pending, bytes]) : bytes;
      const events: StreamEvent[] = [];
      let from = 0;
      for (;;) {
        const end = findEventEnd(all, from);
        if (end < 0) break;
        events.push(toEvent(all.subarray(from, end)));
        from = end;
      }
      pending = all.subarray(from);
      return events;
    },
    rest: () => pending,
  };
}
