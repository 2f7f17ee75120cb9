/**
 * Closes connections on which a request is answered before its body was read.
 *
 * If a connection with unread bytes is closed at once, it is reset, and the
 * caller may lose the answer. So only the sending side is closed first, and a
 * bounded part of what the caller still sends is read and discarded.
 */

import type http from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '../../ports/clock.js';

const MAX_DISCARDED_BYTES = 256 * 1024;
const LINGER_MS = 1_000;

/** Bytes of the body as declared; undefined if it comes in chunks. */
export function declaredBytes({
  headers,
}: http.IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}

/** Replaces the parser, so that no further request is read. */
function discardRest(socket: Socket): void {
  const firstByte = socket.bytesRead;
  socket.removeAllListeners('data');
  socket.on('data', () => {
    if (socket.bytesRead - firstByte > MAX_DISCARDED_BYTES) socket.pause();
  });
}

function linger(socket: Socket, clock: Clock): void {
  socket.end();
  const timer = clock.setTimer(LINGER_MS, () => socket.destroy());
  socket.once('close', () => clock.clearTimer(timer));
  socket.once('end', () => socket.destroy());
  if (!socket.isPaused()) return discardRest(socket);
  // The HTTP server only restarts the reading while its parser is attached.
  socket.once('resume', () => discardRest(socket));
  socket.resume();
}

/** Nothing more of the message is read, and nothing that follows it. */
export function closeAfterAnswer(
  message: http.IncomingMessage,
  response: http.ServerResponse,
  clock: Clock,
): void {
  const {socket} = message;
  message.pause();
  response.shouldKeepAlive = false;
  // Called by the HTTP server once the last answer has been handed over.
  socket.destroySoon = () => {
    if (!socket.destroyed) linger(socket, clock);
  };
}
