/**
 * HTTP server for callers: reads whole requests, passes them to the relay and
 * writes the answers byte for byte.
 */

import http from 'node:http';
import type {Socket} from 'node:net';
import type {RequestError} from '../../core/error_kinds.js';
import type {CallerLimits} from '../../core/routing_types.js';
import {listenOn} from '../../adapters/listen.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {RequestReader} from '../../ports/relay.js';
import type {BodyReader} from './body_reader.js';
import {
  answerClientError,
  HEAD_TIMEOUT_CODE,
  type ClientError,
} from './client_errors.js';
import type {CallerBuffers} from './caller_buffers.js';
import {lingerAtClose} from './lingering_close.js';
import {createHttpCaller, type HttpCaller} from './http_caller.js';
import {
  createPipeline,
  type AnswerShape,
  type Pipeline,
  type PipelinePlace,
} from './pipeline.js';
import type {ConnectionLimit} from '../limits/connection_limit.js';
import {heldKinds} from '../limits/held_kinds.js';
import type {Holding} from '../limits/memory_budget.js';
import type {ResourceLimits} from '../limits/resource_limits.js';
import type {Relay} from '../relay.js';

export interface RelayFrontHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly reader: RequestReader;
  readonly relay: Relay;
  readonly buffers: CallerBuffers;
  readonly resources: Pick<ResourceLimits, 'memory' | 'toRefusal'>;
  readonly bodies: BodyReader;
  readonly connections: ConnectionLimit;
  limits(): CallerLimits | undefined;
  /** Returns whether connections are closed after the next answer. */
  isLeaving(): boolean;
  /** Returns an error if no request that arrives now can be answered. */
  refuseArriving(): RequestError | undefined;
}

export interface RelayFront {
  listen(address: string): Promise<void>;
  applyLimits(limits: CallerLimits): void;
  /** Returns the number of requests that are being read, run or answered. */
  openCount(): number;
  /** Of these, the number that was read whole or whose answer has begun. */
  cutCount(): number;
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

/** A request that waits, is being read, run or answered. */
interface OpenRequest {
  readonly message: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly arrivedAtMs: number;
  requestId: string;
  /** Why the rest of its body can't be read. */
  bodyError?: RequestError;
  /** Absent until the request starts. */
  caller?: HttpCaller;
  /** Frees what the request holds beside its answer. */
  release?: () => void;
}

function toHeadBytes({rawHeaders, url = ''}: http.IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length, url.length);
}

export function createRelayFront(host: RelayFrontHost): RelayFront {
  const {clock, log, reader, relay, resources} = host;
  const open = new Set<OpenRequest>();
  const pipelines = new WeakMap<Socket, Pipeline>();
  /** Connections that close after the answer that has begun on them. */
  const closing = new WeakSet<Socket>();
  let lastRequestAtMs = Number.NEGATIVE_INFINITY;

  function pipelineOf(socket: Socket): Pipeline {
    const known = pipelines.get(socket);
    if (known) return known;
    const pipeline = createPipeline(socket);
    pipelines.set(socket, pipeline);
    return pipeline;
  }

  /**
   * Whether the connection closes after the answer, whose head is sent now: not
   * while another request is to be answered on it. A caller that sends requests
   * ahead may send one until the whole answer is there.
   */
  function closeAfter(
    {socket}: http.IncomingMessage,
    place: PipelinePlace,
    shape: AnswerShape,
  ): boolean {
    if (!place.isOnly()) return false;
    if (pipelineOf(socket).isStopped()) return true;
    if (!host.isLeaving()) return false;
    if (shape === 'in-parts' && place.isPipelined()) return false;
    closing.add(socket);
    return true;
  }

  function createCaller(
    request: OpenRequest,
    place: PipelinePlace,
  ): HttpCaller {
    const {message, response, requestId} = request;
    return createHttpCaller(response, requestId, {
      log,
      buffers: host.buffers,
      place: {
        ...place,
        noteAnswered(heldBytes) {
          request.release?.();
          place.noteAnswered(heldBytes);
        },
      },
      closeAfter: shape => closeAfter(message, place, shape),
    });
  }

  async function handle(
    request: OpenRequest,
    place: PipelinePlace,
    hasRoom: boolean,
  ): Promise<void> {
    const {message, response, arrivedAtMs} = request;
    const facts = reader.read(message.rawHeaders);
    const {requestId} = facts;
    request.requestId = requestId;
    const caller = createCaller(request, place);
    request.caller = caller;
    if (request.bodyError) return caller.refuse(request.bodyError);
    const waitMs = facts.waitMs ?? DEFAULT_WAIT_MS;
    const body = await host.bodies.read(message, response, {
      requestId,
      waitMs,
      end: caller.drop,
      maxBytes: host.limits()?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
      idleTimeoutMs: host.limits()?.idleTimeoutMs,
      refusal: findRefusal(message, hasRoom),
    });
    request.release = body.release;
    if (!open.has(request)) body.release?.();
    if (body.error) return caller.refuse(body.error);
    // The caller disconnected before it had sent the whole request.
    if (!body.bytes) return;
    // It was answered already, as there is no room for it.
    if (caller.isDropped) return;
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

  function findRefusal(
    {socket}: http.IncomingMessage,
    hasRoom: boolean,
  ): RequestError | undefined {
    if (!hasRoom) return resources.toRefusal('Too many requests are open.');
    return host.connections.isRefused(socket)
      ? resources.toRefusal('Too many connections.')
      : host.refuseArriving();
  }

  /** Ends a request that this host failed to handle. */
  function endFailed(request: OpenRequest, place: PipelinePlace): void {
    if (request.response.writableEnded) return;
    const caller = request.caller ?? createCaller(request, place);
    if (caller.hasBegun) caller.cut();
    else caller.refuse({kind: 'internal', detail: 'See the log.'});
  }

  /** Until it starts; returns undefined if there is no room. */
  function holdWaiting(request: OpenRequest): Holding | undefined {
    const {memory} = resources;
    const {overheadBytes} = heldKinds['waiting-request'];
    const headBytes = toHeadBytes(request.message);
    if (memory.freeBytes() < overheadBytes + headBytes) return undefined;
    const holding = memory.open({
      kind: 'waiting-request',
      get requestId() {
        return request.requestId;
      },
      end: () => undefined,
    });
    holding.resize(headBytes);
    return holding;
  }

  function accept(request: OpenRequest): void {
    const {message, response} = request;
    const holding = holdWaiting(request);
    const close = () => {
      open.delete(request);
      holding?.close();
      // A response that waits for its turn emits no `close`.
      request.release?.();
      request.caller?.noteClosed();
    };
    open.add(request);
    pipelineOf(message.socket).add({
      start(place) {
        lastRequestAtMs = clock.nowMs();
        holding?.close();
        // Before Node gives the next answer its turn.
        response.prependOnceListener('finish', place.close);
        response.once('close', () => {
          close();
          place.close();
        });
        handle(request, place, holding !== undefined).catch(error => {
          log.error('The request handler failed.', {reason: String(error)});
          endFailed(request, place);
        });
      },
      onDisconnect: close,
    });
  }

  function handleMessage(
    message: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    // Never answered, so it must not run.
    if (closing.has(message.socket)) return void message.resume();
    const arrivedAtMs = clock.nowMs();
    lastRequestAtMs = arrivedAtMs;
    accept({message, response, arrivedAtMs, requestId: ''});
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

  /** What follows can't be read; requests that were read are answered. */
  function endReading(error: ClientError, socket: Socket): void {
    const pipeline = pipelines.get(socket);
    if (!pipeline?.isOpen()) return answerClientError(error, socket);
    // The rest of the head is there, but isn't read.
    if (error.code === HEAD_TIMEOUT_CODE && pipeline.isPaused()) return;
    pipeline.stop();
    for (const request of open) {
      const {message, caller} = request;
      if (message.socket !== socket || message.complete) continue;
      request.bodyError = {
        kind: 'malformed-request',
        detail: error.code ?? '',
      };
      caller?.refuse(request.bodyError);
    }
  }

  server.on('clientError', (error: ClientError, socket) =>
    endReading(error, socket as Socket),
  );
  // Without a listener, Node closes the connection at once.
  server.on('connect', (_, socket) =>
    endReading(new Error("CONNECT isn't served."), socket as Socket),
  );
  server.on('connection', socket => {
    socket.setNoDelay(true);
    lingerAtClose(socket, clock);
  });

  return {
    listen: address =>
      listenOn(server, address, error =>
        log.warn('The listening socket failed.', {reason: error.message}),
      ),
    applyLimits(limits) {
      server.keepAliveTimeout = limits.idleTimeoutMs;
      server.headersTimeout = limits.headerTimeoutMs;
    },
    openCount: () => open.size,
    cutCount: () =>
      [...open].filter(
        ({message, response}) => message.complete || response.headersSent,
      ).length,
    lastRequestAtMs: () => lastRequestAtMs,
    closeIdle: () => server.closeIdleConnections(),
    close() {
      for (const {requestId, arrivedAtMs, response, caller} of open) {
        log.warn('Connection closed with an open request.', {
          request: requestId,
          ageMs: Math.round(clock.nowMs() - arrivedAtMs),
          wasRead: response.req.complete,
          hasStarted: caller !== undefined,
          hasBegun: response.headersSent,
        });
      }
      server.close();
      server.closeAllConnections();
    },
  };
}
