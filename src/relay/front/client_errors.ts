/** What a caller is answered whose bytes are no request. */

import type {Duplex} from 'node:stream';

/** The head of a request didn't arrive in time. */
export const HEAD_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

const DEFAULT_STATUS = '400 Bad Request';
const STATUSES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  [HEAD_TIMEOUT_CODE]: '408 Request Timeout',
};

export interface ClientError extends Error {
  readonly code?: string;
}

/** Answers and closes; only allowed while no request of the socket is open. */
export function answerClientError({code}: ClientError, socket: Duplex): void {
  if (code === 'ECONNRESET') return void socket.destroy();
  // It is being closed.
  if (!socket.writable) return;
  const status = STATUSES[code ?? ''] ?? DEFAULT_STATUS;
  socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`, () =>
    socket.destroy(),
  );
}
