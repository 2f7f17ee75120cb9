/** Resets connections, as a crash or a network fault does. */

import type {Socket} from 'node:net';

/**
 * Resets the connection, or destroys it if its shutdown has already begun.
 *
 * Node doesn't reset a socket whose shutdown is in progress, but marks it as
 * closing. The process then never exits: it waits for the socket in a busy
 * loop, which shows as a finished process that uses most of a core.
 */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
