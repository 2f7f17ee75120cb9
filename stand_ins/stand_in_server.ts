/**
 * HTTP server shared by the stand-ins: routes, JSON bodies, and two faults of
 * sockets: silent connections, and a crash that closes them all.
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

export interface ServerRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
  /** The body as JSON; an empty body is an empty object. */
  json(): unknown;
}

export interface ServerAnswer {
  readonly status: number;
  readonly headers?: Readonly<
    Record<string, string | readonly string[] | undefined>
  >;
  /** Bytes are sent unchanged, other values as JSON. */
  readonly body: unknown;
}

/** A response whose body is written in chunks. */
export interface ServerStream {
  /** Drops the chunk if the connection is silent or closed. */
  write(chunk: string): void;
  onClose(handler: () => void): void;
}

export type RouteHandler = (
  request: ServerRequest,
  openStream: () => ServerStream,
) => Promise<ServerAnswer | 'streaming'>;

export interface StandInServerOptions {
  /** `ip:port`; port 0 picks a free one. */
  readonly address: string;
  /**
   * Keyed by `METHOD /path`; a path that ends in `/*` matches all paths below
   * it.
   */
  readonly routes: Readonly<Record<string, RouteHandler>>;
  /** Handles requests that match no route. */
  readonly fallback?: RouteHandler;
}

export interface StandInServer {
  /** `ip:port` that the server listens on. */
  readonly address: string;
  /** Silences the open connections permanently; new ones work. */
  silenceConnections(): void;
  /** Destroys every connection and stops listening. */
  close(): Promise<void>;
}

const KEEP_ALIVE_MS = 30_000;

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

function toServerRequest(
  message: IncomingMessage,
  body: Buffer,
): ServerRequest {
  const url = new URL(message.url ?? '/', 'http://stand-in');
  return {
    method: message.method ?? 'GET',
    path: url.pathname,
    query: url.searchParams,
    headers: message.headers,
    body,
    json: () => (body.length === 0 ? {} : JSON.parse(body.toString('utf8'))),
  };
}

export async function createStandInServer(
  options: StandInServerOptions,
): Promise<StandInServer> {
  const sockets = new Set<Socket>();
  const silentSockets = new WeakSet<Socket>();

  function handlerFor(request: ServerRequest): RouteHandler | undefined {
    const exact = options.routes[`${request.method} ${request.path}`];
    if (exact) return exact;
    const parent = request.path.slice(0, request.path.indexOf('/', 1) + 1);
    const prefixHandler = options.routes[`${request.method} ${parent}*`];
    return prefixHandler ?? options.fallback;
  }

  function send(response: ServerResponse, answer: ServerAnswer): void {
    const socket = response.socket;
    if (!socket || silentSockets.has(socket) || response.destroyed) return;
    const isBytes = answer.body instanceof Uint8Array;
    const body = isBytes
      ? (answer.body as Uint8Array)
      : Buffer.from(JSON.stringify(answer.body));
    response.writeHead(answer.status, {
      'content-type': isBytes ? 'application/octet-stream' : 'application/json',
      ...answer.headers,
      'content-length': body.length,
    });
    response.end(body);
  }

  function openStream(response: ServerResponse): ServerStream {
    response.writeHead(200, {'content-type': 'application/x-ndjson'});
    response.flushHeaders();
    return {
      write(chunk) {
        const socket = response.socket;
        if (socket && !silentSockets.has(socket)) response.write(chunk);
      },
      onClose: handler => void response.on('close', handler),
    };
  }

  async function serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const request = toServerRequest(message, await readBody(message));
    if (silentSockets.has(message.socket)) return;
    const handler = handlerFor(request);
    if (!handler) {
      send(response, {status: 404, body: {error: 'no such path'}});
      return;
    }
    try {
      const answer = await handler(request, () => openStream(response));
      if (answer !== 'streaming') send(response, answer);
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      send(response, {status: 400, body: {error: detail}});
    }
  }

  const server = createServer((message, response) => {
    serve(message, response).catch(() => message.socket.destroy());
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  const address = await listen(server, options.address);

  return {
    address,
    silenceConnections() {
      for (const socket of sockets) silentSockets.add(socket);
    },
    close() {
      for (const socket of sockets) socket.destroy();
      return new Promise(resolve => server.close(() => resolve()));
    },
  };
}

function listen(server: Server, address: string): Promise<string> {
  const colon = address.lastIndexOf(':');
  const ip = address.slice(0, colon);
  const port = Number(address.slice(colon + 1));
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, () => {
      const bound = server.address() as AddressInfo;
      resolve(`${ip}:${bound.port}`);
    });
  });
}
