/**
 * Opens connections for undici so that a reset breaks off an answer without
 * length. Undici takes such a reset for the end of the answer, as if the
 * upstream had closed the connection.
 */

import type {Socket} from 'node:net';
import {buildConnector} from 'undici';

/** Not `ECONNRESET`, which undici ignores once an answer has begun. */
const RESET_CODE = 'ECONNABORTED';

/**
 * When the last bytes and a reset arrive together, Node emits `end` without an
 * error; the socket then has no remote address any more.
 */
function failOnHiddenReset(socket: Socket): void {
  const emit = socket.emit.bind(socket) as (...args: unknown[]) => boolean;
  socket.emit = (...args: unknown[]) => {
    const isReset = args[0] === 'end' && socket.remoteAddress === undefined;
    if (!isReset) return emit(...args);
    const error = new Error('The connection was reset.');
    socket.destroy(Object.assign(error, {code: RESET_CODE}));
    return true;
  };
}

export function createResetAwareConnector(
  options: buildConnector.BuildOptions = {},
): buildConnector.connector {
  const connect = buildConnector(options);
  return (target, callback) =>
    connect(target, (...result) => {
      const [, socket] = result;
      socket?.on('error', (error: NodeJS.ErrnoException) => {
        if (error.code === 'ECONNRESET') error.code = RESET_CODE;
      });
      if (socket) failOnHiddenReset(socket);
      callback(...result);
    });
}
