/**
 * Opens connections for undici so that a reset breaks off an answer without
 * length. Undici takes such a reset for the end of the answer, as if the
 * upstream had closed the connection.
 */

import type {Socket, TcpNetConnectOpts} from 'node:net';
import {buildConnector} from 'undici';
import type {Clock} from '../ports/clock.js';
import {isReset} from './connection_reset.js';
import {EARLY_FAULTS, RESET_WAIT_MS} from './upload_answers.js';

export interface ResetAwareConnectorHost {
  readonly clock: Clock;
  /** Absent for the default of undici. */
  readonly connectTimeoutMs?: number;
  /**
   * Whether the answer that the connection receives may end before it is whole,
   * as its upstream may not have read the upload.
   */
  mayEndEarly(): boolean;
}

/** Not `ECONNRESET`, which undici ignores once an answer has begun. */
const RESET_CODE = 'ECONNABORTED';

/** Once both sides have ended, a reset can't be seen any more. */
const SOCKET_OPTIONS: Partial<TcpNetConnectOpts> = {allowHalfOpen: true};

/** Has undici see the end of a connection only where it wasn't reset. */
function guardEnd(
  {clock, mayEndEarly}: ResetAwareConnectorHost,
  socket: Socket,
): void {
  const emit = socket.emit.bind(socket) as (...args: unknown[]) => boolean;
  const fail = (detail: string) => {
    socket.destroy(Object.assign(new Error(detail), {code: RESET_CODE}));
  };
  // When the last bytes and a reset arrive together, Node emits `end` without an
  // error. It keeps the first address that it finds, so it is asked once.
  const emitEnd = (detail: string) => {
    if (isReset(socket)) fail(detail);
    else emit('end');
  };
  socket.emit = (...args: unknown[]) => {
    if (args[0] !== 'end') return emit(...args);
    if (!mayEndEarly()) {
      emitEnd('The connection was reset.');
    } else if (socket.writableLength > 0) {
      fail(EARLY_FAULTS.unwritten);
    } else {
      clock.setTimer(RESET_WAIT_MS, () => {
        if (!socket.destroyed) emitEnd(EARLY_FAULTS.reset);
      });
    }
    return true;
  };
}

export function createResetAwareConnector(
  host: ResetAwareConnectorHost,
): buildConnector.connector {
  const options = {...SOCKET_OPTIONS, timeout: host.connectTimeoutMs};
  const connect = buildConnector(options as buildConnector.BuildOptions);
  return (target, callback) =>
    connect(target, (...result) => {
      const [, socket] = result;
      socket?.on('error', (error: NodeJS.ErrnoException) => {
        if (error.code === 'ECONNRESET') error.code = RESET_CODE;
      });
      if (socket) guardEnd(host, socket);
      callback(...result);
    });
}
