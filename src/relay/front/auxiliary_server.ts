/** Small HTTP servers for readiness, the directory, peers and metrics. */

import http from 'node:http';
import {listenOn} from '../../adapters/listen.js';
import type {Clock} from '../../ports/clock.js';
import type {ConnectionLimit} from '../limits/connection_limit.js';
import {closeAfterAnswer, declaredBytes} from './unread_body.js';

export interface AuxiliaryServerHost {
  readonly clock: Clock;
  readonly connections: ConnectionLimit;
}

export interface AuxiliaryAnswer {
  readonly status: number;
  readonly contentType?: string;
  readonly body?: string;
}

/** Returns undefined for a call that isn't served here. */
export type AuxiliaryHandler = (
  method: string,
  target: string,
) => AuxiliaryAnswer | undefined;

export interface AuxiliaryServer {
  /** `onError` gets what fails once it listens. */
  listen(address: string, onError?: (error: Error) => void): Promise<void>;
  close(): void;
}

const NOT_FOUND: AuxiliaryAnswer = {status: 404};
const TOO_MANY: AuxiliaryAnswer = {status: 503};

const HEADERS_TIMEOUT_MS = 5_000;
/** For a request with its body. */
const REQUEST_TIMEOUT_MS = 30_000;
const CONNECTION_CHECK_INTERVAL_MS = 1_000;
/** Requests sent ahead of answers that a connection may have open. */
const MAX_OPEN_REQUESTS = 16;

/** Takes over a message and its response; returns false for any other. */
export type MessageHandler = (
  message: http.IncomingMessage,
  response: http.ServerResponse,
) => boolean;

export function createAuxiliaryServer(
  {clock, connections}: AuxiliaryServerHost,
  handler: AuxiliaryHandler,
  handleMessage: MessageHandler = () => false,
): AuxiliaryServer {
  function findAnswer({
    method = 'GET',
    url = '/',
    socket,
  }: http.IncomingMessage): AuxiliaryAnswer {
    if (connections.isRefused(socket)) return TOO_MANY;
    return handler(method, url) ?? NOT_FOUND;
  }

  function handle(
    message: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const {socket} = message;
    if (connections.openRequests(socket) > MAX_OPEN_REQUESTS) {
      return void socket.destroy();
    }
    const isRefused = connections.isRefused(socket);
    if (!isRefused && handleMessage(message, response)) return;
    if (declaredBytes(message) === 0) message.resume();
    else closeAfterAnswer(message, response, clock);
    const answer = findAnswer(message);
    const body = answer.body ?? '';
    response.writeHead(answer.status, {
      ...(answer.contentType ? {'Content-Type': answer.contentType} : {}),
      'Content-Length': String(Buffer.byteLength(body)),
    });
    response.end(body);
  }

  const server = http.createServer(
    {
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    },
    handle,
  );
  // No body is read here, and who reads one sends the status 100.
  server.on('checkContinue', handle);
  connections.watch(server);
  return {
    listen: (address, onError) => listenOn(server, address, onError),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
