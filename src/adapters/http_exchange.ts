/**
 * HTTP/1.1 calls to upstreams over Node's client. The outcome of a failed call
 * says whether the upstream may have received it.
 *
 * Rules of the connection pool:
 * - An upstream may send a second answer after a complete one. Data on an idle
 *   connection closes it, so it can't be taken for the next answer.
 * - An idle connection may stop working without notice. Calls that must not be
 *   lost open a new connection; others reuse only recently used ones.
 * - An upstream may answer before it has read the whole request. Node returns
 *   such a connection to the pool only after the request has been written.
 */

import http from 'node:http';
import type {Socket} from 'node:net';
import {isUnframed} from '../core/http_framing.js';
import type {Clock} from '../ports/clock.js';
import type {AnswerBody, Cancellation, RawHeaders} from '../ports/relay.js';
import {findField, findHeadFault} from './answer_head.js';
import {createCallTimeouts} from './call_timeouts.js';
import {isReset} from './connection_reset.js';
import {splitAddress} from './listen.js';
import {createReceivedBody, type ReceivedBody} from './received_body.js';
import {
  createUploadAnswer,
  mayEndEarly,
  type UploadAnswer,
} from './upload_answers.js';

export interface HttpExchangeHost {
  readonly clock: Clock;
  /** Called when a connection is opened. */
  onConnect?(): void;
}

export interface HttpExchangeCall {
  readonly address: string;
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body?: Buffer;
  readonly connectTimeoutMs: number;
  /** From the start of the call to the end of the answer. */
  readonly answerTimeoutMs: number;
  readonly mayReuseConnection: boolean;
  /**
   * How long to wait after connecting before the first byte is sent, on a new
   * connection. If the connection closes meanwhile, nothing was sent.
   */
  readonly firstByteDelayMs?: number;
  /**
   * If present, the body is sent only once the server has read the head, which
   * it must within this time from the start of the call. Otherwise nothing was
   * sent.
   */
  readonly continueTimeoutMs?: number;
}

export interface HttpHead {
  readonly kind: 'answered';
  readonly status: number;
  readonly headers: RawHeaders;
  /** The first value of a header, whose name is given in lower case. */
  get(name: string): string | undefined;
  readonly body: AnswerBody;
}

export type HttpExchangeFailure =
  | {
      readonly kind: 'unreachable';
      readonly detail: string;
      /** A connection was made, but it closed before a byte was sent. */
      readonly wasConnected?: boolean;
      /** Nothing accepts connections at the address. */
      readonly wasRefused?: boolean;
    }
  | {
      readonly kind: 'broken';
      readonly detail: string;
      /** The new connection closed without an answer. */
      readonly wasReset?: boolean;
    }
  | {readonly kind: 'cancelled'};

export interface HttpExchange {
  start(
    call: HttpExchangeCall,
    cancellation?: Cancellation,
  ): Promise<HttpHead | HttpExchangeFailure>;
  close(): void;
}

/** A server that sends more informational answers is broken. */
const MAX_INFORMATIONAL_ANSWERS = 32;

/** A connection that has been idle for longer is not reused. */
const MAX_IDLE_MS = 2_000;
const MAX_IDLE_PER_UPSTREAM = 4;

interface PooledSocket extends Socket {
  idleSinceMs?: number;
  endOnData?: () => void;
}

/** An agent whose idle connections are closed on unexpected data. */
class GuardedAgent extends http.Agent {
  constructor(private readonly clock: Clock) {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_PER_UPSTREAM,
      scheduling: 'lifo',
    });
  }

  // Node documents `keepSocketAlive` and `reuseSocket` as the hooks for when a
  // connection enters and leaves the pool.
  override keepSocketAlive(socket: PooledSocket): boolean {
    const isKept = Boolean(super.keepSocketAlive(socket));
    if (!isKept) return false;
    socket.idleSinceMs = this.clock.nowMs();
    socket.endOnData = () => socket.destroy();
    socket.once('data', socket.endOnData);
    return true;
  }

  override reuseSocket(
    socket: PooledSocket,
    request: http.ClientRequest,
  ): void {
    if (socket.endOnData) socket.off('data', socket.endOnData);
    socket.endOnData = undefined;
    super.reuseSocket(socket, request);
  }

  /** Closes connections to an address that have been idle for too long. */
  closeStale(ip: string, port: number): void {
    const idle = this.freeSockets[`${ip}:${port}:`] ?? [];
    for (const socket of [...idle] as PooledSocket[]) {
      const idleMs = this.clock.nowMs() - (socket.idleSinceMs ?? 0);
      if (idleMs > MAX_IDLE_MS) socket.destroy();
    }
  }
}

export function createHttpExchange(host: HttpExchangeHost): HttpExchange {
  const {clock} = host;
  const agent = new GuardedAgent(clock);

  function buildRequest(call: HttpExchangeCall): http.ClientRequest {
    const {ip, port} = splitAddress(call.address);
    agent.closeStale(ip, port);
    const framing =
      call.body && call.body.length > 0
        ? ['Content-Length', String(call.body.length)]
        : needsLength(call.method)
          ? ['Content-Length', '0']
          : [];
    const connection = call.mayReuseConnection ? 'keep-alive' : 'close';
    const expectation =
      call.continueTimeoutMs === undefined ? [] : ['Expect', '100-continue'];
    return http.request({
      host: ip,
      port,
      method: call.method,
      path: call.target,
      headers: [
        ...call.headers,
        ...framing,
        ...expectation,
        'Connection',
        connection,
      ] as unknown as http.OutgoingHttpHeaders,
      agent: call.mayReuseConnection ? agent : false,
      setHost: false,
      // A lenient parser hides broken lines: it joins or strips them.
      insecureHTTPParser: false,
    });
  }

  function start(
    call: HttpExchangeCall,
    cancellation?: Cancellation,
  ): Promise<HttpHead | HttpExchangeFailure> {
    if (cancellation?.isCancelled) {
      return Promise.resolve({kind: 'cancelled'});
    }
    return new Promise(resolve => {
      const request = buildRequest(call);
      const delayMs = call.mayReuseConnection ? 0 : call.firstByteDelayMs;
      const {continueTimeoutMs} = call;
      let isConnected = false;
      let isNew = false;
      let mayHaveSent = false;
      let hasFailed = false;
      let isSettled = false;
      let received: ReceivedBody | undefined;
      let upload: UploadAnswer | undefined;
      const settle = (outcome: HttpHead | HttpExchangeFailure) => {
        if (isSettled) return;
        isSettled = true;
        startTimeouts.clear();
        if (outcome.kind !== 'answered') answerTimeout.clear();
        resolve(outcome);
      };
      const fail = (
        detail: string,
        {wasReset = false, wasRefused = false} = {},
      ) => {
        // Node would discard what has arrived of the answer.
        if (isSettled) return;
        settle(
          mayHaveSent
            ? {kind: 'broken', detail, ...(wasReset && {wasReset})}
            : {
                kind: 'unreachable',
                detail,
                ...(wasReset && {wasConnected: true}),
                ...(wasRefused && {wasRefused}),
              },
        );
        request.destroy();
      };
      const sendRequest = () => {
        if (isSettled) return;
        mayHaveSent = isConnected;
        request.end(call.body);
      };
      const startTimeouts = createCallTimeouts(clock);
      startTimeouts.add(call.connectTimeoutMs, () => {
        if (!isConnected) fail('no connection in time');
      });
      const answerTimeout = createCallTimeouts(clock);
      answerTimeout.add(call.answerTimeoutMs, () => {
        if (received) received.breakOff('no whole answer in time');
        else fail('no answer in time');
      });
      if (continueTimeoutMs !== undefined) {
        startTimeouts.add(continueTimeoutMs, () => {
          if (!mayHaveSent) fail('the head was not read in time');
        });
      }
      cancellation?.onCancel(() => {
        settle({kind: 'cancelled'});
        upload?.release();
        request.destroy();
      });
      request.on('socket', socket => {
        socket.setNoDelay(true);
        const markIfReset = () => {
          // Node keeps the first address that it finds, so it is asked once.
          if (upload) upload.hold();
          else if (isReset(socket)) hasFailed = true;
        };
        socket.prependOnceListener('end', markIfReset);
        // A pooled connection outlives the call.
        request.once('close', () => socket.off('end', markIfReset));
        const markConnected = () => {
          isConnected = true;
          if (delayMs) clock.setTimer(delayMs, sendRequest);
          else mayHaveSent = continueTimeoutMs === undefined;
        };
        if (socket.connecting) {
          isNew = true;
          host.onConnect?.();
          socket.once('connect', markConnected);
        } else {
          markConnected();
        }
      });
      request.on('error', error => {
        hasFailed = true;
        fail(error.message, {
          wasReset: isNew && isResetError(error),
          wasRefused: isRefusedError(error),
        });
      });
      let informationalCount = 0;
      request.on('information', () => {
        informationalCount++;
        if (informationalCount <= MAX_INFORMATIONAL_ANSWERS) return;
        fail('too many informational answers');
      });
      request.on('response', answer => {
        const headers = answer.rawHeaders;
        const {statusCode: status = 0} = answer;
        const fault = findHeadFault(status, headers);
        if (fault) return fail(fault);
        const bodyIsUnframed = isUnframed(call.method, status, {
          contentLength: answer.headers['content-length'],
          transferEncoding: answer.headers['transfer-encoding'],
        });
        if (mayEndEarly(call.body?.length ?? 0, status, bodyIsUnframed)) {
          upload = createUploadAnswer(clock, request, () => hasFailed);
        }
        received = createReceivedBody(answer, {
          isUnframed: bodyIsUnframed,
          hasFailed: () => hasFailed,
          onEnd: answerTimeout.clear,
          upload,
        });
        settle({
          kind: 'answered',
          status,
          headers,
          get: name => findField(headers, name),
          body: received.body,
        });
        // Nobody reads the body of an answer that came after the timeout.
        if (request.destroyed) received.body.destroy();
      });
      if (continueTimeoutMs !== undefined) {
        request.once('continue', sendRequest);
        request.flushHeaders();
      } else if (!delayMs) {
        sendRequest();
      }
    });
  }

  return {
    start,
    close: () => agent.destroy(),
  };
}

/** Node reports a connection that closed without an answer as reset, too. */
function isResetError(error: NodeJS.ErrnoException): boolean {
  return error.code === 'ECONNRESET';
}

function isRefusedError(error: NodeJS.ErrnoException): boolean {
  return error.code === 'ECONNREFUSED';
}

/** Whether servers expect a `Content-Length` for an empty body. */
function needsLength(method: string): boolean {
  return method === 'POST' || method === 'PUT' || method === 'PATCH';
}

/** Reads a whole body; undefined if it breaks off or is too large. */
export function readWhole(
  body: AnswerBody,
  maxBytes: number,
): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    body.read({
      chunk(bytes) {
        size += bytes.length;
        if (size > maxBytes) {
          body.destroy();
          resolve(undefined);
          return;
        }
        chunks.push(bytes);
      },
      end: () => resolve(Buffer.concat(chunks)),
      broken: () => resolve(undefined),
    });
  });
}
