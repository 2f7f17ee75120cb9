/**
 * Closes a caller's connection in stages (RFC 9112, section 9.6): bytes that
 * reach a closed connection reset it, and the caller then loses answers that it
 * has not read. So only the sending side is closed first, and a bounded part of
 * what the caller still sends is read and discarded.
 */

import type {Socket} from 'node:net';
import type {Clock} from '../../ports/clock.js';

const MAX_DISCARDED_BYTES = 256 * 1024;
const LINGER_MS = 1_000;

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

/** Replaces the method by which Node closes a connection after an answer. */
export function lingerAtClose(socket: Socket, clock: Clock): void {
  let isLingering = false;
  socket.destroySoon = () => {
    if (isLingering || socket.destroyed) return;
    isLingering = true;
    linger(socket, clock);
  };
}
