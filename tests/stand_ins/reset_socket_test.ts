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
    // A soak whose seeds had all held went on for minutes at most of a core:
    // one link was reset while its end was on the way, and was never closed.
    // Seen in a stack of the native loop: the process waited at its exit for
    // the one socket that was left.
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
