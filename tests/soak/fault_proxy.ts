/**
 * A loopback proxy between two processes that delays, drops or resets what
 * passes, so that faults of the network come from outside both.
 */

import net from 'node:net';
import {resetSocket} from '../../stand_ins/reset_socket.js';

export type ProxyMode =
  | 'pass'
  /** Bytes of both ways come late. */
  | 'delay'
  /** Connections are taken and nothing passes, either way. */
  | 'silent'
  /** Requests pass, answers don't. */
  | 'one-way'
  /** New connections are reset. */
  | 'reset';

export interface FaultProxy {
  /** `ip:port` for those that connect. */
  readonly address: string;
  setMode(mode: ProxyMode): void;
  /** Resets all open connections. */
  resetAll(): void;
  close(): void;
}

const DELAY_MS = 150;

interface Pair {
  readonly client: net.Socket;
  readonly server: net.Socket;
}

/** Lets connections to `target` pass until told otherwise. */
export async function createFaultProxy(target: string): Promise<FaultProxy> {
  const colon = target.lastIndexOf(':');
  const host = target.slice(0, colon);
  const targetPort = Number(target.slice(colon + 1));
  const pairs = new Set<Pair>();
  let mode: ProxyMode = 'pass';

  function isBlocked(isAnswer: boolean): boolean {
    return mode === 'silent' || (mode === 'one-way' && isAnswer);
  }

  function forward(from: net.Socket, to: net.Socket, isAnswer: boolean): void {
    from.on('data', bytes => {
      // What a silent link swallows never comes, also when it heals.
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
    const pair: Pair = {client, server};
    pairs.add(pair);
    client.on('close', () => pairs.delete(pair));
    client.setNoDelay(true);
    server.setNoDelay(true);
    forward(client, server, false);
    forward(server, client, true);
  });
  await new Promise<void>(resolve => listener.listen(0, '127.0.0.1', resolve));
  const {port} = listener.address() as net.AddressInfo;

  function resetAll(): void {
    for (const {client, server} of pairs) {
      resetSocket(client);
      resetSocket(server);
    }
  }

  return {
    address: `127.0.0.1:${port}`,
    setMode(next) {
      mode = next;
    },
    resetAll,
    close() {
      listener.close();
      resetAll();
    },
  };
}
