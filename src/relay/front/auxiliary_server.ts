/** Small HTTP servers for readiness, the directory, peers and metrics. */

import http from 'node:http';
import {listenOn} from '../../adapters/listen.js';

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

/** Takes over a message and its response; returns false for any other. */
export type MessageHandler = (
  message: http.IncomingMessage,
  response: http.ServerResponse,
) => boolean;

export function createAuxiliaryServer(
  handler: AuxiliaryHandler,
  handleMessage: MessageHandler = () => false,
): AuxiliaryServer {
  const server = http.createServer((message, response) => {
    if (handleMessage(message, response)) return;
    message.resume();
    const answer =
      handler(message.method ?? 'GET', message.url ?? '/') ?? NOT_FOUND;
    const body = answer.body ?? '';
    response.writeHead(answer.status, {
      ...(answer.contentType ? {'Content-Type': answer.contentType} : {}),
      'Content-Length': String(Buffer.byteLength(body)),
    });
    response.end(body);
  });
  return {
    listen: (address, onError) => listenOn(server, address, onError),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
