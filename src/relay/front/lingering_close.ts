/**
 * Closes a caller's connection in stages (RFC 9112, section 9.6): bytes that
 * reach a closed connection reset it, and the caller then loses answers that it
 * has not read.
 */

import type {Socket} from 'node:net';
import type {Clock} from '../../ports/clock.js';

/** How long bytes of the caller are read and discarded after the last answer. */
const LINGER_MS = 1_000;

/** Replaces the method by which Node closes a connection after an answer. */
export function lingerAtClose(socket: Socket, clock: Clock): void {
  let isLingering = false;
  socket.destroySoon = () => {
    if (isLingering || socket.destroyed) return;
    isLingering = true;
    socket.end();
    const timer = clock.setTimer(LINGER_MS, () => socket.destroy());
    socket.once('close', () => clock.clearTimer(timer));
  };
}
