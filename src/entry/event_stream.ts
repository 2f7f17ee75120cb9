/**
 * Writes server-sent events to one caller, each as one chunk and one write.
 *
 * `response.write` hands a chunk's size, text and end to the kernel as a list
 * of three, and that call is most of what relaying a token costs. Here a chunk
 * is one string, written to the response's socket. The order holds since the
 * head is flushed first and `end` goes through the response as usual.
 */

import type {ServerResponse} from 'node:http';

export interface EventStream {
  /** Sends `text` between the frame's ends; `text` is JSON. */
  write(text: string): void;
  /** Sends what comes last and ends the response. */
  end(last: string): void;
}

/** What stands before and after the text of each event; plain ASCII. */
export interface EventFrame {
  readonly prefix: string;
  readonly suffix: string;
}

const HEX = 16;

/** Sends the head of the response at once. */
export function createEventStream(
  response: ServerResponse,
  frame: EventFrame,
): EventStream {
  const frameBytes = frame.prefix.length + frame.suffix.length;
  const suffix = `${frame.suffix}\r\n`;
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    'transfer-encoding': 'chunked',
  });
  response.flushHeaders();
  // Null while an earlier answer on a pipelined connection is under way.
  const {socket} = response;

  return {
    write(text) {
      if (response.writableEnded || response.destroyed) return;
      if (!socket) {
        response.write(`${frame.prefix}${text}${frame.suffix}`);
        return;
      }
      const textBytes = Buffer.byteLength(text);
      const size = (frameBytes + textBytes).toString(HEX);
      const chunk = `${size}\r\n${frame.prefix}${text}${suffix}`;
      // Text of one byte a character needs no look at each of them.
      socket.write(chunk, textBytes === text.length ? 'latin1' : 'utf8');
    },
    end: last => void response.end(last),
  };
}
