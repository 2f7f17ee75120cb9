/**
 * HTTP server for callers: reads whole requests, passes them to the relay and
 * writes the answers byte for byte.
 */

import http from 'node:http';
import type {Socket} from 'node:net';
import type {CallerLimits} from '../../core/routing_types.js';
import {listenOn} from '../../adapters/listen.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {RequestReader} from '../../ports/relay.js';
import type {Caller} from './caller.js';
import type {BodyReader} from './body_reader.js';
import type {CallerBuffers} from './caller_buffers.js';
import {createHttpCaller} from './http_caller.js';
import type {ConnectionLimit} from '../limits/connection_limit.js';
import type {ResourceLimits} from '../limits/resource_limits.js';
import type {Relay} from '../relay.js';

export interface RelayFrontHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly reader: RequestReader;
  readonly relay: Relay;
  readonly buffers: CallerBuffers;
  readonly resources: ResourceLimits;
  readonly bodies: BodyReader;
  readonly connections: ConnectionLimit;
  limits(): CallerLimits | undefined;
  /** Returns whether connections are closed after the next answer. */
  isLeaving(): boolean;
}

export interface RelayFront {
  listen(address: string): Promise<void>;
  applyLimits(limits: CallerLimits): void;
  /** Returns the number of requests that are being read, run or answered. */
  openCount(): number;
  /** Returns the time at which the last request arrived. */
  lastRequestAtMs(): number;
  closeIdle(): void;
  close(): void;
}

/**
 * Limits until a configuration is known; the header limit also applies
 * afterwards.
 */
const DEFAULT_MAX_HEADER_BYTES = 64 * 1024;
const DEFAULT_HEADER_TIMEOUT_MS = 10_000;
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
/** How long a caller is assumed to wait if it sends no timeout. */
const DEFAULT_WAIT_MS = 600_000;
/** How often it is checked whether headers arrive in time. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000;

/** A request that is being read, run or answered. */
interface OpenRequest {
  readonly requestId: string;
  readonly arrivedAtMs: number;
  readonly response: http.ServerResponse;
}

export function createRelayFront(host: RelayFrontHost): RelayFront {
  const {clock, log, reader, relay} = host;
  const open = new Set<OpenRequest>();
  /** Connections that close after the answer that has begun on them. */
  const closing = new WeakSet<Socket>();
  let lastRequestAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Whether the connection closes after the answer: not while another request
   * on it, sent ahead of the answer, is to be answered, too.
   */
  function closeAfter({req}: http.ServerResponse): boolean {
    if (!host.isLeaving()) return false;
    const {socket} = req;
    const isLast = ![...open].some(
      ({response}) => response.req !== req && response.req.socket === socket,
    );
    if (isLast) closing.add(socket);
    return isLast;
  }

  function createCaller(
    response: http.ServerResponse,
    requestId: string,
  ): Caller {
    return createHttpCaller(response, requestId, {
      buffers: host.buffers,
      closeAfter: () => closeAfter(response),
    });
  }

  async function handle(
    message: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const arrivedAtMs = clock.nowMs();
    lastRequestAtMs = arrivedAtMs;
    const facts = reader.read(message.rawHeaders);
    const {requestId} = facts;
    const request: OpenRequest = {requestId, arrivedAtMs, response};
    open.add(request);
    response.once('close', () => open.delete(request));
    const caller = createCaller(response, requestId);
    const waitMs = facts.waitMs ?? DEFAULT_WAIT_MS;
    const body = await host.bodies.read(message, response, {
      requestId,
      waitMs,
      maxBytes: host.limits()?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
      idleTimeoutMs: host.limits()?.idleTimeoutMs,
      refusal: host.connections.isRefused(message.socket)
        ? host.resources.toRefusal('Too many connections.')
        : undefined,
    });
    if (body.error) return caller.refuse(body.error);
    // The caller disconnected before it had sent the whole request.
    if (!body.bytes) return;
    await relay.handle(
      {
        requestId,
        method: message.method ?? 'GET',
        target: message.url ?? '/',
        host: message.headers.host ?? '',
        headers: facts.forwarded,
        keyDigest: facts.keyDigest,
        body: body.bytes,
        arrivedAtMs,
        waitMs,
        prompt: facts.prompt,
        sharedParts: facts.sharedParts,
        lastEventId: facts.lastEventId,
        resumes: facts.resumes,
      },
      caller,
    );
  }

  /** Ends a request that this host failed to handle. */
  function endFailed(response: http.ServerResponse): void {
    if (response.writableEnded) return;
    const caller = createCaller(response, '');
    if (caller.hasBegun) caller.cut();
    else caller.refuse({kind: 'internal', detail: 'See the log.'});
  }

  function handleMessage(
    message: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    // Never answered, so it must not run.
    if (closing.has(message.socket)) return void message.resume();
    handle(message, response).catch(error => {
      log.error('The request handler failed.', {reason: String(error)});
      endFailed(response);
    });
  }

  const server = http.createServer(
    {
      maxHeaderSize: DEFAULT_MAX_HEADER_BYTES,
      requestTimeout: 0,
      headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    },
    handleMessage,
  );
  // The body reader sends the status 100.
  server.on('checkContinue', handleMessage);
  host.connections.watch(server);
  server.on('connection', socket => socket.setNoDelay(true));

  return {
    listen: address => listenOn(server, address),
    applyLimits(limits) {
      server.keepAliveTimeout = limits.idleTimeoutMs;
      server.headersTimeout = limits.headerTimeoutMs;
    },
    openCount: () => open.size,
    lastRequestAtMs: () => lastRequestAtMs,
    closeIdle: () => server.closeIdleConnections(),
    close() {
      for (const {requestId, arrivedAtMs, response} of open) {
        log.warn('Connection closed with an open request.', {
          request: requestId,
          ageMs: Math.round(clock.nowMs() - arrivedAtMs),
          wasRead: response.req.complete,
          hasBegun: response.headersSent,
        });
      }
      server.close();
      server.closeAllConnections();
    },
  };
}
