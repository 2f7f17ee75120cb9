/**
 * HTTP front shared by the stand-ins: routes, JSON bodies, and the two faults
 * that live in sockets: connections that go silent, and sudden death.
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

export interface FrontRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
  /** The body as JSON; an empty body is an empty object. */
  json(): unknown;
}

export interface FrontAnswer {
  readonly status: number;
  readonly headers?: Readonly<
    Record<string, string | readonly string[] | undefined>
  >;
  /** Sent as it is when bytes, else as JSON. */
  readonly body: unknown;
}

/** A response whose body is written bit by bit. */
export interface FrontStream {
  /** Writes are dropped once the connection is silent or closed. */
  write(chunk: string): void;
  onClose(handler: () => void): void;
}

export type FrontHandler = (
  request: FrontRequest,
  openStream: () => FrontStream,
) => Promise<FrontAnswer | 'streaming'>;

export interface HttpFrontOptions {
  /** `ip:port`; port 0 picks a free one. */
  readonly address: string;
  /** By `METHOD /path`; a path that ends in `/*` takes all below it. */
  readonly routes: Readonly<Record<string, FrontHandler>>;
  /** Takes what no route does. */
  readonly fallback?: FrontHandler;
}

export interface HttpFront {
  /** `ip:port` that is listened on. */
  readonly address: string;
  /** Open connections stop answering for good; new ones work. */
  silenceConnections(): void;
  /** Breaks every connection and stops listening. */
  close(): Promise<void>;
}

const KEEP_ALIVE_MS = 30_000;

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

function toFrontRequest(message: IncomingMessage, body: Buffer): FrontRequest {
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

export async function createHttpFront(
  options: HttpFrontOptions,
): Promise<HttpFront> {
  const sockets = new Set<Socket>();
  const silent = new WeakSet<Socket>();

  function handlerFor(request: FrontRequest): FrontHandler | undefined {
    const exact = options.routes[`${request.method} ${request.path}`];
    if (exact) return exact;
    const parent = request.path.slice(0, request.path.indexOf('/', 1) + 1);
    const below = options.routes[`${request.method} ${parent}*`];
    return below ?? options.fallback;
  }

  function send(response: ServerResponse, answer: FrontAnswer): void {
    const socket = response.socket;
    if (!socket || silent.has(socket) || response.destroyed) return;
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

  function openStream(response: ServerResponse): FrontStream {
    response.writeHead(200, {'content-type': 'application/x-ndjson'});
    response.flushHeaders();
    return {
      write(chunk) {
        const socket = response.socket;
        if (socket && !silent.has(socket)) response.write(chunk);
      },
      onClose: handler => void response.on('close', handler),
    };
  }

  async function serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const request = toFrontRequest(message, await readBody(message));
    if (silent.has(message.socket)) return;
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
      for (const socket of sockets) silent.add(socket);
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
