/**
 * Bounds the connections of a server. One more than the bound closes the
 * connection that has been idle longest. With none idle, the requests of the
 * new one are refused.
 */

import type http from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {MemoryBudget} from './memory_budget.js';

export interface ConnectionLimitHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  readonly memory: Pick<MemoryBudget, 'open'>;
}

export interface ConnectionLimitOptions {
  /** Which server it is, for logs and metrics. */
  readonly server: string;
  readonly maxConnections: number;
  /** The time that the headers of a request may take. */
  headerTimeoutMs?(): number | undefined;
}

export interface ConnectionLimit {
  readonly maxConnections: number;
  /** Counts and bounds the connections of the server. */
  watch(server: http.Server): void;
  /** Whether requests on the connection must be refused. */
  isRefused(socket: Socket): boolean;
  openCount(): number;
  /** Requests on the connection whose response has not ended. */
  openRequests(socket: Socket): number;
}

interface Connection {
  readonly socket: Socket;
  openRequests: number;
  idleSinceMs: number;
  /** Bytes that had been read when it became idle. */
  idleAtByte: number;
}

/** Why a connection was ended. */
type EndCause = 'idle' | 'refused' | 'too-many-refused';

/** They come on top of the bound, for a moment each. */
const MAX_REFUSED = 256;
/** How long one to be refused may take to send a request. */
const REFUSED_WAIT_MS = 1_000;
/** The request on a new connection may not have been read yet. */
const FIRST_REQUEST_MS = 30;
const DEFAULT_HEADER_TIMEOUT_MS = 5_000;
const LOG_INTERVAL_MS = 1_000;

export function createConnectionLimit(
  host: ConnectionLimitHost,
  options: ConnectionLimitOptions,
): ConnectionLimit {
  const {clock, log, metrics} = host;
  const {server: serverName, maxConnections} = options;
  const maxRefused = Math.min(MAX_REFUSED, maxConnections);
  const connections = new Map<Socket, Connection>();
  /** Longest idle first. */
  const idle = new Set<Connection>();
  const refused = new Set<Socket>();
  let loggedAtMs = Number.NEGATIVE_INFINITY;

  function noteEnd(cause: EndCause): void {
    metrics.count(
      'connections_ended',
      `server="${serverName}",cause="${cause}"`,
    );
    if (clock.nowMs() - loggedAtMs < LOG_INTERVAL_MS) return;
    loggedAtMs = clock.nowMs();
    log.warn('Connections are at their limit.', {
      server: serverName,
      cause,
      open: connections.size,
      idle: idle.size,
      refused: refused.size,
      maxConnections,
    });
  }

  /** How long it may be idle before it is closed for another one. */
  function toSpareMs({socket, idleAtByte}: Connection): number {
    const timeoutMs = options.headerTimeoutMs?.() ?? DEFAULT_HEADER_TIMEOUT_MS;
    const isBegun = socket.bytesRead > idleAtByte;
    if (isBegun) return timeoutMs;
    return idleAtByte === 0 ? Math.min(FIRST_REQUEST_MS, timeoutMs) : 0;
  }

  const isUnused = (connection: Connection) =>
    clock.nowMs() - connection.idleSinceMs >= toSpareMs(connection);

  function remove(connection: Connection): void {
    connections.delete(connection.socket);
    idle.delete(connection);
  }

  /** Returns whether there was one to close. */
  function closeLongestIdle(): boolean {
    for (const connection of idle) {
      if (!isUnused(connection)) continue;
      remove(connection);
      connection.socket.destroy();
      noteEnd('idle');
      return true;
    }
    return false;
  }

  function refuse(socket: Socket): void {
    if (refused.size >= maxRefused) {
      noteEnd('too-many-refused');
      socket.destroy();
      return;
    }
    noteEnd('refused');
    refused.add(socket);
    const timer = clock.setTimer(REFUSED_WAIT_MS, () => socket.destroy());
    socket.once('close', () => {
      refused.delete(socket);
      clock.clearTimer(timer);
    });
  }

  function setIdle(connection: Connection): void {
    if (!connections.has(connection.socket)) return;
    connection.idleSinceMs = clock.nowMs();
    connection.idleAtByte = connection.socket.bytesRead;
    idle.add(connection);
  }

  function add(socket: Socket): void {
    const isFull = connections.size >= maxConnections;
    if (isFull && !closeLongestIdle()) return refuse(socket);
    const connection = {socket, openRequests: 0, idleSinceMs: 0, idleAtByte: 0};
    connections.set(socket, connection);
    setIdle(connection);
    const holding = host.memory.open({
      kind: 'connection',
      requestId: '',
      end: () => undefined,
    });
    socket.once('close', () => {
      holding.close();
      remove(connection);
    });
  }

  function noteRequest(
    {socket}: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const connection = connections.get(socket);
    if (!connection) return;
    connection.openRequests++;
    idle.delete(connection);
    response.once('close', () => {
      if (--connection.openRequests === 0) setIdle(connection);
    });
  }

  return {
    maxConnections,
    watch(server) {
      server.on('connection', add);
      // Before the handlers, which may end the response at once.
      server.prependListener('request', noteRequest);
      server.prependListener('checkContinue', noteRequest);
    },
    isRefused: socket => refused.has(socket),
    openCount: () => connections.size + refused.size,
    openRequests: socket => connections.get(socket)?.openRequests ?? 0,
  };
}
