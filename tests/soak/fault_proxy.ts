/**
 * A loopback proxy between two processes that delays, drops or resets their
 * traffic, to simulate network faults outside both processes.
 */

import net from 'node:net';
import {resetSocket} from '../../stand_ins/reset_socket.js';

export type ProxyMode =
  | 'pass'
  /** Delays bytes in both directions. */
  | 'delay'
  /** Accepts connections but drops all bytes. */
  | 'silent'
  /** Forwards requests but drops answers. */
  | 'one-way'
  /** Resets new connections. */
  | 'reset';

export interface FaultProxy {
  /** `ip:port` that the proxy listens on. */
  readonly address: string;
  setMode(mode: ProxyMode): void;
  /** Refuses new connections, or accepts them again. */
  setListening(isListening: boolean): void;
  /** Resets all open connections. */
  resetAll(): void;
  close(): void;
}

const DELAY_MS = 150;

interface ProxiedConnection {
  readonly client: net.Socket;
  readonly server: net.Socket;
}

/** Creates a proxy to `target` in the mode `pass`. */
export async function createFaultProxy(target: string): Promise<FaultProxy> {
  const colon = target.lastIndexOf(':');
  const host = target.slice(0, colon);
  const targetPort = Number(target.slice(colon + 1));
  const connections = new Set<ProxiedConnection>();
  let mode: ProxyMode = 'pass';

  function isBlocked(isAnswer: boolean): boolean {
    return mode === 'silent' || (mode === 'one-way' && isAnswer);
  }

  function forward(from: net.Socket, to: net.Socket, isAnswer: boolean): void {
    from.on('data', bytes => {
      // Dropped bytes are never sent, not even when the mode changes.
      if (isBlocked(isAnswer)) return;
      const write = () => {
        if (to.writable) to.write(bytes);
      };
      if (mode === 'delay') setTimeout(write, DELAY_MS);
      else write();
    });
    const delayMs = () => (mode === 'delay' ? DELAY_MS : 0);
    from.on('end', () => {
      if (!isBlocked(isAnswer)) setTimeout(() => to.end(), delayMs());
    });
    from.on('error', () => resetSocket(to));
    from.on('close', hadError => {
      if (hadError) return;
      setTimeout(() => to.end(), delayMs());
    });
  }

  const listener = net.createServer({allowHalfOpen: true}, client => {
    if (mode === 'reset') {
      client.on('error', () => undefined);
      resetSocket(client);
      return;
    }
    const server = net.connect({host, port: targetPort, allowHalfOpen: true});
    const connection: ProxiedConnection = {client, server};
    connections.add(connection);
    client.on('close', () => connections.delete(connection));
    client.setNoDelay(true);
    server.setNoDelay(true);
    forward(client, server, false);
    forward(server, client, true);
  });
  await new Promise<void>(resolve => listener.listen(0, '127.0.0.1', resolve));
  const {port} = listener.address() as net.AddressInfo;

  function resetAll(): void {
    for (const {client, server} of connections) {
      resetSocket(client);
      resetSocket(server);
    }
  }

  return {
    address: `127.0.0.1:${port}`,
    setMode(next) {
      mode = next;
    },
    setListening(isListening) {
      if (isListening === listener.listening) return;
      if (isListening) listener.listen(port, '127.0.0.1');
      else listener.close();
    },
    resetAll,
    close() {
      listener.close();
      resetAll();
    },
  };
}
