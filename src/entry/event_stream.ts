/**
 * Writes server-sent events to a caller, each as one HTTP chunk in one write.
 *
 * `response.write` passes the size, text and end of a chunk to the kernel as
 * three buffers, and this call is most of the cost of relaying a token. Here a
 * chunk is one string, written directly to the socket of the response. The
 * order is kept, since the response head is flushed first and `end` uses the
 * response as usual.
 */

import type {ServerResponse} from 'node:http';

export interface EventStream {
  /** Sends an event; `text` is JSON and put between the frame's ends. */
  write(text: string): void;
  /** Sends `last` and ends the response. */
  end(last: string): void;
}

/** The ASCII text before and after the text of each event. */
export interface EventFrame {
  readonly prefix: string;
  readonly suffix: string;
}

const HEX = 16;

/** Creates the stream and sends the response head at once. */
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
  // Null on a pipelined connection until the earlier responses have ended.
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
      // ASCII text is faster to write as latin1, without UTF-8 encoding.
      socket.write(chunk, textBytes === text.length ? 'latin1' : 'utf8');
    },
    end: last => void response.end(last),
  };
}
