/**
 * A loopback proxy between two processes that delays, drops or resets their
 * traffic, to simulate network faults outside both processes.
 */

import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {resetSocket} from '../../stand_ins/reset_socket.js';

export type ProxyMode =
  | 'pass'
  /** Delays bytes in both directions. */
  | 'delay'
  /** Accepts connections but drops all bytes. */
  | 'silent'
  /** Keeps all bytes, and delivers them once the mode changes. */
  | 'hold'
  /** Forwards requests but drops answers. */
  | 'one-way'
  /** Resets new connections. */
  | 'reset';

/** How the connections of some hosts are cut. */
export type LinkCut =
  /** All stay open, and no byte passes. */
  | 'hang'
  /** All are reset. */
  | 'reset'
  /** Open ones go on; new ones are reset. */
  | 'refuse-new';

/** A time in which bytes were dropped or connections reset. */
export interface LinkDisturbance {
  readonly fromMs: number;
  toMs: number;
}

export interface FaultProxy {
  /** `ip:port` that the proxy listens on. */
  readonly address: string;
  /** Those that concern all hosts. */
  readonly disturbances: readonly LinkDisturbance[];
  setMode(mode: ProxyMode): void;
  /** Refuses new connections, or accepts them again. */
  setListening(isListening: boolean): void;
  /**
   * Cuts the connections from these addresses; undefined restores them and
   * resets those that have lost bytes.
   */
  cut(sources: ReadonlySet<string>, how: LinkCut | undefined): void;
  /** Resets all open connections. */
  resetAll(): void;
  /** Drops all bytes of the open connections from now on. */
  silenceOpen(): void;
  /** Drops all bytes of this many further connections. */
  silenceNext(count: number): void;
  close(): void;
}

const DELAY_MS = 150;
const WHOLE_MODES: ReadonlySet<ProxyMode> = new Set(['pass', 'delay', 'hold']);

interface ProxiedConnection {
  readonly source: string;
  readonly client: net.Socket;
  readonly server: net.Socket;
  isSilenced: boolean;
}

/** Creates a proxy to `target` in the mode `pass`. */
export async function createFaultProxy(target: string): Promise<FaultProxy> {
  const colon = target.lastIndexOf(':');
  const host = target.slice(0, colon);
  const targetPort = Number(target.slice(colon + 1));
  const connections = new Set<ProxiedConnection>();
  const disturbances: LinkDisturbance[] = [];
  let mode: ProxyMode = 'pass';

  /** By source address. */
  const cuts = new Map<string, LinkCut>();
  /** What the mode `hold` keeps, in order of arrival. */
  let held: Array<() => void> = [];
  let silentCount = 0;

  function isBlocked(
    {source, isSilenced}: ProxiedConnection,
    isAnswer: boolean,
  ): boolean {
    return (
      isSilenced ||
      mode === 'silent' ||
      (mode === 'one-way' && isAnswer) ||
      cuts.get(source) === 'hang'
    );
  }

  function pass(action: () => void): void {
    if (mode === 'hold') held.push(action);
    else if (mode === 'delay') setTimeout(action, DELAY_MS);
    else action();
  }

  function forward(connection: ProxiedConnection, isAnswer: boolean): void {
    const {client, server} = connection;
    const [from, to] = isAnswer ? [server, client] : [client, server];
    from.on('data', bytes => {
      // Dropped bytes are never sent, not even when the mode changes.
      if (isBlocked(connection, isAnswer)) return;
      pass(() => {
        if (to.writable) to.write(bytes);
      });
    });
    from.on('end', () => {
      if (!isBlocked(connection, isAnswer)) pass(() => to.end());
    });
    from.on('error', () => resetSocket(to));
    from.on('close', hadError => {
      if (!hadError) pass(() => to.end());
    });
  }

  const listener = net.createServer({allowHalfOpen: true}, client => {
    const source = client.remoteAddress ?? '';
    const cutBy = cuts.get(source);
    if (mode === 'reset' || cutBy === 'reset' || cutBy === 'refuse-new') {
      client.on('error', () => undefined);
      resetSocket(client);
      return;
    }
    const server = net.connect({host, port: targetPort, allowHalfOpen: true});
    const isSilenced = silentCount > 0;
    if (isSilenced) silentCount--;
    const connection = {source, client, server, isSilenced};
    connections.add(connection);
    client.on('close', () => connections.delete(connection));
    client.setNoDelay(true);
    server.setNoDelay(true);
    forward(connection, false);
    forward(connection, true);
  });
  await new Promise<void>(resolve => listener.listen(0, '127.0.0.1', resolve));
  const {port} = listener.address() as net.AddressInfo;

  function resetFrom(isChosen: (source: string) => boolean): void {
    for (const {source, client, server} of connections) {
      if (!isChosen(source)) continue;
      resetSocket(client);
      resetSocket(server);
    }
  }

  function resetAll(): void {
    const nowMs = performance.now();
    disturbances.push({fromMs: nowMs, toMs: nowMs});
    resetFrom(() => true);
  }

  return {
    address: `127.0.0.1:${port}`,
    disturbances,
    setMode(next) {
      const nowMs = performance.now();
      const open = disturbances.find(({toMs}) => toMs === Infinity);
      if (open) open.toMs = nowMs;
      if (!WHOLE_MODES.has(next)) {
        disturbances.push({fromMs: nowMs, toMs: Infinity});
      }
      mode = next;
      const released = next === 'hold' ? [] : held;
      if (released.length > 0) held = [];
      for (const action of released) action();
    },
    setListening(isListening) {
      if (isListening === listener.listening) return;
      if (isListening) listener.listen(port, '127.0.0.1');
      else listener.close();
    },
    cut(sources, how) {
      const hung = new Set(
        [...sources].filter(source => cuts.get(source) === 'hang'),
      );
      for (const source of sources) {
        if (how) cuts.set(source, how);
        else cuts.delete(source);
      }
      resetFrom(source => hung.has(source));
      if (how === 'reset') resetFrom(source => sources.has(source));
    },
    resetAll,
    silenceOpen() {
      for (const connection of connections) connection.isSilenced = true;
    },
    silenceNext(count) {
      silentCount = count;
    },
    close() {
      listener.close();
      resetAll();
    },
  };
}
