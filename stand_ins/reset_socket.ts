/** Resets connections, as a crash or a broken link does. */

import type {Socket} from 'node:net';

/**
 * Resets the connection, or just closes it where its end was already begun.
 *
 * Guards against a process that never ends: Node refuses to reset a socket
 * whose shutdown is under way, takes it for closing all the same, and waits
 * for it in a busy loop when the process ends. It shows as a process at most
 * of a core whose work is done.
 */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
