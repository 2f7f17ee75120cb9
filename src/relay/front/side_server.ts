/** Small HTTP servers for readiness, the directory, peers and metrics. */

import http from 'node:http';
import {listenOn} from '../../adapters/listen.js';

export interface SideAnswer {
  readonly status: number;
  readonly contentType?: string;
  readonly body?: string;
}

/** Returns undefined for a call that isn't served here. */
export type SideHandler = (
  method: string,
  target: string,
) => SideAnswer | undefined;

export interface SideServer {
  listen(address: string): Promise<void>;
  close(): void;
}

const NOT_FOUND: SideAnswer = {status: 404};

export function createSideServer(handler: SideHandler): SideServer {
  const server = http.createServer((message, response) => {
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
    listen: address => listenOn(server, address),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
