import type {Socket} from 'node:net';

/**
 * Whether a connection that emitted `end` was reset. When the last bytes and
 * the reset arrive together, Node reports a normal end without an error. A
 * reset connection has no remote address any more; one that the peer closed
 * normally still has it.
 */
export function isReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}
