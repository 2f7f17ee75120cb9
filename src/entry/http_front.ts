/**
 * The HTTP server for callers. Reads, validates and admits requests, passes
 * them to the request runner, and reports disconnected callers to it.
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Duplex} from 'node:stream';
import {listenOn} from '../adapters/listen.js';
import type {RequestError} from '../core/error_kinds.js';
import type {AccountSettings} from '../core/settings_types.js';
import type {FrontHost, FrontSettings} from './front_host.js';
import {
  startModelRoute,
  type RouteCall,
  type RouteOutcome,
} from './model_route.js';
import {startPlainRoute} from './plain_route.js';
import {writeProblem} from './problem.js';
import {readBody} from './read_body.js';

const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_MS = 30_000;
const DEFAULT_MAX_HEADER_BYTES = 16_384;
const ENTRIES_HEADER = 'x-corianderbend-entries';
const HEADER_OVERFLOW_CODE = 'HPE_HEADER_OVERFLOW';

export interface HttpFront {
  readonly server: Server;
  listen(address: string): Promise<void>;
  /** Stops accepting connections; resolves when all are closed. */
  close(): Promise<void>;
  /** Number of requests whose response has not ended. */
  openCount(): number;
}

export interface HttpFrontOptions {
  readonly maxHeaderBytes?: number;
  readonly maxConnections?: number;
}

interface Exchange {
  readonly requestId: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly arrivedAtMs: number;
}

type Handler = (exchange: Exchange) => Promise<void>;
type CallerRoute = (call: RouteCall) => RouteOutcome;

export function createHttpFront(
  host: FrontHost,
  options: HttpFrontOptions = {},
): HttpFront {
  let openCount = 0;

  function refuse(exchange: Exchange, error: RequestError, account = ''): void {
    const labels = {service: '', account, requestClass: 'interactive'} as const;
    host.metrics.recordRefusal(labels, error.kind);
    writeProblem(exchange.response, error, exchange.requestId);
  }

  function writeJson(response: ServerResponse, status: number, body: unknown) {
    response.statusCode = status;
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify(body));
  }

  /** Runs `route` and reports a disconnect of the caller to its request. */
  function startRoute(
    exchange: Exchange,
    account: AccountSettings,
    route: () => RouteOutcome,
  ): void {
    const {response} = exchange;
    const outcome = route();
    if (outcome.kind === 'refused') {
      refuse(exchange, outcome.error, account.name);
      return;
    }
    const {running} = outcome;
    // The caller may have disconnected while its body was validated. `close`
    // was then emitted already and isn't emitted again.
    if (response.destroyed && !response.writableFinished) running.callerGone();
    response.once('close', () => {
      if (!response.writableFinished) running.callerGone();
    });
  }

  async function handleCaller(
    exchange: Exchange,
    front: FrontSettings,
    account: AccountSettings,
    route: CallerRoute,
  ): Promise<void> {
    const {settings} = front;
    const admission = host.limits.admit(account);
    if (admission.kind === 'refused') {
      const detail = `Limit of account "${account.name}".`;
      const {retryAfterMs} = admission;
      refuse(
        exchange,
        {kind: 'account-limit', detail, retryAfterMs},
        account.name,
      );
      return;
    }
    // The response closes in all cases, also if a handler throws, so the
    // admission is always released.
    exchange.response.once('close', () => host.limits.release(account.name));
    const outcome = await readBody(
      host.clock,
      exchange.request,
      settings.limits,
    );
    if (outcome.kind === 'failed') {
      refuse(exchange, outcome.error, account.name);
    } else if (outcome.kind === 'read') {
      const caller = {account, settings};
      startRoute(exchange, account, () =>
        route({...exchange, caller, body: outcome.body}),
      );
    }
  }

  /** Authenticates the caller and checks the limits of the entry. */
  function withCaller(route: CallerRoute): Handler {
    return async exchange => {
      const front = host.getSettings();
      if (!front) {
        const detail = 'This entry has just started.';
        refuse(exchange, {
          kind: 'configuration-missing',
          detail,
          retryAfterMs: 1000,
        });
        return;
      }
      const {authorization} = exchange.request.headers;
      const account = front.auth.findAccount(authorization);
      if (!account) {
        const detail = 'Send the key as "Authorization: Bearer KEY".';
        refuse(exchange, {kind: 'unauthenticated', detail});
        return;
      }
      if (openCount > front.settings.limits.maxStreams) {
        const detail = 'Too many requests are open at this entry.';
        refuse(
          exchange,
          {kind: 'overloaded', detail, retryAfterMs: 1000},
          account.name,
        );
        return;
      }
      await handleCaller(exchange, front, account, route);
    };
  }

  async function handleEntries({response}: Exchange): Promise<void> {
    writeJson(response, 200, host.getEntries());
  }

  async function handleHealth({response}: Exchange): Promise<void> {
    writeJson(response, 200, {status: 'ok'});
  }

  async function handleReady({response}: Exchange): Promise<void> {
    const isReady = host.getSettings() !== undefined && !host.isLeaving();
    writeJson(response, isReady ? 200 : 503, {ready: isReady});
  }

  /** Only for operators, since labels hold the names of client accounts. */
  async function handleMetrics(exchange: Exchange): Promise<void> {
    const {request, response} = exchange;
    if (!host.isOperator(request.headers.authorization)) {
      const detail = 'Send the operator key as "Authorization: Bearer KEY".';
      refuse(exchange, {kind: 'unauthenticated', detail});
      return;
    }
    response.setHeader('content-type', host.metrics.contentType);
    response.end(await host.metrics.render());
  }

  const routes: ReadonlyMap<string, {method: string; handler: Handler}> =
    new Map([
      [
        '/v1/chat/completions',
        {
          method: 'POST',
          handler: withCaller(call => startModelRoute(host, 'chat', call)),
        },
      ],
      [
        '/v1/completions',
        {
          method: 'POST',
          handler: withCaller(call =>
            startModelRoute(host, 'completion', call),
          ),
        },
      ],
      ['/v1/entries', {method: 'GET', handler: handleEntries}],
      ['/healthz', {method: 'GET', handler: handleHealth}],
      ['/readyz', {method: 'GET', handler: handleReady}],
      ['/metrics', {method: 'GET', handler: handleMetrics}],
    ]);
  const plainHandler = withCaller(call => startPlainRoute(host, call));

  async function dispatch(exchange: Exchange): Promise<void> {
    const {request} = exchange;
    const path = (request.url ?? '').split('?', 1)[0];
    if (path.startsWith('/services/')) return plainHandler(exchange);
    const route = routes.get(path);
    if (!route) {
      refuse(exchange, {kind: 'unknown-route', detail: 'See the README.'});
    } else if (route.method !== request.method) {
      exchange.response.setHeader('allow', route.method);
      const detail = `Use ${route.method}.`;
      refuse(exchange, {kind: 'method-not-allowed', detail});
    } else {
      await route.handler(exchange);
    }
  }

  function onRequest(request: IncomingMessage, response: ServerResponse): void {
    const requestId = host.random.nextId();
    const arrivedAtMs = host.clock.nowMs();
    openCount++;
    response.once('close', () => openCount--);
    response.setHeader('x-request-id', requestId);
    // Callers cache their list of entries; this header asks them to fetch a new
    // list before this entry stops.
    if (host.isLeaving()) response.setHeader(ENTRIES_HEADER, 'refresh');
    const exchange = {requestId, request, response, arrivedAtMs};
    dispatch(exchange).catch((error: unknown) => {
      host.log.error('Request handler failed.', {
        requestId,
        reason:
          error instanceof Error
            ? (error.stack ?? error.message)
            : String(error),
      });
      if (!response.headersSent) {
        refuse(exchange, {
          kind: 'internal',
          detail: 'See the log of the entry.',
        });
      } else {
        response.destroy();
      }
    });
  }

  /** Responds to requests that the HTTP parser of Node.js rejects. */
  function onClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
    if (!socket.writable) return;
    const status =
      error.code === HEADER_OVERFLOW_CODE
        ? '431 Request Header Fields Too Large'
        : '400 Bad Request';
    const code = error.code === HEADER_OVERFLOW_CODE ? 'CB1008' : 'CB1001';
    const body = JSON.stringify({code, runState: 'not-run', title: status});
    socket.end(
      `HTTP/1.1 ${status}\r\nconnection: close\r\n` +
        'content-type: application/problem+json\r\n' +
        `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
  }

  const server = createServer(
    {
      maxHeaderSize: options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
      requestTimeout: 0,
      noDelay: true,
    },
    onRequest,
  );
  server.on('clientError', onClientError);
  if (options.maxConnections) server.maxConnections = options.maxConnections;

  return {
    server,
    listen: address => listenOn(server, address),
    close() {
      return new Promise(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
      });
    },
    openCount: () => openCount,
  };
}
