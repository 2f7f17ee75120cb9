/**
 * Splits the bytes of an event stream after whole events.
 *
 * An engine may fail in the middle of an event. A resumable stream forwards
 * only whole events, so that the first event of the next run doesn't follow a
 * truncated one.
 *
 * A blank line ends a block of lines. A block of comments is no event.
 */

import {createByteQueue} from '../../core/byte_queue.js';

/** What bytes have completed. */
export interface FramedEvents {
  readonly count: number;
  /** The `id` field of the last event that has one. */
  readonly lastId?: string;
}

export interface EventFramer {
  /** Adds bytes and returns the events that they complete. */
  push(bytes: Buffer): FramedEvents;
  /** Takes the bytes of whole blocks; undefined if there are none. */
  takeWhole(): Buffer | undefined;
  /** Takes all bytes that were not taken. */
  takeAll(): Buffer | undefined;
  /** Size of what is held, whether or not it was taken. */
  heldBytes(): number;
  /** Size of what followed the last whole block. */
  restBytes(): number;
  /** Size of what followed the last whole event. */
  bytesSinceEvent(): number;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const ID_NAME = Buffer.from('id:');
const ID_LINE = /^id: ?(.*?)\r?$/;

/** The place of a line in what is held. */
interface Line {
  readonly from: number;
  readonly to: number;
}

function isBlank(bytes: Buffer, {from, to}: Line): boolean {
  return from === to || (to === from + 1 && bytes[from] === CARRIAGE_RETURN);
}

function isId(bytes: Buffer, {from, to}: Line): boolean {
  return (
    to - from >= ID_NAME.length &&
    ID_NAME.every((byte, i) => bytes[from + i] === byte)
  );
}

function readId(bytes: Buffer, {from, to}: Line): string | undefined {
  return ID_LINE.exec(bytes.toString('latin1', from, to))?.[1];
}

export function createEventFramer(): EventFramer {
  /** What follows the last whole block that was taken. */
  const held = createByteQueue();
  /** Size of the whole blocks in what is held. */
  let wholeBytes = 0;
  /** Size of what was taken of the block that isn't whole. */
  let takenBytes = 0;
  let lineFrom = 0;
  let scannedBytes = 0;
  let hasFields = false;
  let idLine: Line | undefined;
  let bytesSinceEvent = 0;

  function drop(bytes: number): void {
    held.drop(bytes);
    wholeBytes = 0;
    lineFrom -= bytes;
    scannedBytes -= bytes;
    if (idLine) {
      idLine = {from: idLine.from - bytes, to: idLine.to - bytes};
    }
  }

  function take(from: number, to: number): Buffer | undefined {
    return to > from ? held.copy(from, to) : undefined;
  }

  return {
    push(added) {
      held.push(added);
      const bytes = held.bytes();
      let count = 0;
      let lastId: Line | undefined;
      let eventEnd = -1;
      for (let i = scannedBytes; i < bytes.length; i++) {
        if (bytes[i] !== LINE_FEED) continue;
        const line: Line = {from: lineFrom, to: i};
        lineFrom = i + 1;
        if (!isBlank(bytes, line)) {
          if (bytes[line.from] !== COLON) hasFields = true;
          if (!idLine && isId(bytes, line)) idLine = line;
          continue;
        }
        wholeBytes = lineFrom;
        if (!hasFields) continue;
        count++;
        lastId = idLine ?? lastId;
        eventEnd = lineFrom;
        hasFields = false;
        idLine = undefined;
      }
      scannedBytes = bytes.length;
      bytesSinceEvent =
        eventEnd < 0 ? bytesSinceEvent + added.length : bytes.length - eventEnd;
      return {count, lastId: lastId && readId(bytes, lastId)};
    },
    takeWhole() {
      const taken = take(takenBytes, wholeBytes);
      if (!taken) return undefined;
      takenBytes = 0;
      drop(wholeBytes);
      return taken;
    },
    takeAll() {
      const size = held.sizeBytes();
      const taken = take(takenBytes, size);
      takenBytes = size - wholeBytes;
      drop(wholeBytes);
      return taken;
    },
    heldBytes: () => held.sizeBytes(),
    restBytes: () => held.sizeBytes() - wholeBytes,
    bytesSinceEvent: () => bytesSinceEvent,
  };
}
