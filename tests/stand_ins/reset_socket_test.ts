import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {test} from 'node:test';
import {resetSocket} from '../../stand_ins/reset_socket.js';

const CLOSE_WITHIN_MS = 2_000;

for (const [state, prepare] of [
  ['is open', () => undefined],
  ['has begun to end', (socket: net.Socket) => socket.end()],
] as const) {
  test(`a socket that ${state} is closed by a reset`, async () => {
    // Guards against a process that doesn't exit and uses most of a core: a
    // socket that was reset during its shutdown was never closed, and the event
    // loop waited for it at exit.
    const server = net.createServer({allowHalfOpen: true}, socket => {
      socket.on('error', () => undefined);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as net.AddressInfo;
    const socket = net.connect({host: '127.0.0.1', port, allowHalfOpen: true});
    await once(socket, 'connect');
    const closed = once(socket, 'close', {
      signal: AbortSignal.timeout(CLOSE_WITHIN_MS),
    });
    prepare(socket);
    resetSocket(socket);
    await assert.doesNotReject(closed);
    server.close();
  });
}
