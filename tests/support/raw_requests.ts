/** Requests on a raw connection of a test's server. */

import type net from 'node:net';

/** Calls `respond` after each whole request on the connection. */
export function takeRequests(socket: net.Socket, respond: () => void): void {
  socket.on('error', () => undefined);
  let received = '';
  socket.on('data', bytes => {
    received += bytes.toString('latin1');
    const headEnd = received.indexOf('\r\n\r\n');
    if (headEnd < 0) return;
    const length = /^content-length: (\d+)/im.exec(received)?.[1] ?? '0';
    if (received.length < headEnd + 4 + Number(length)) return;
    received = '';
    respond();
  });
}
