/** The caller of a request over HTTP: writes its answer byte for byte. */

import type http from 'node:http';
import {errorAnswers, type RequestError} from '../../core/error_kinds.js';
import {createProblem} from '../../entry/problem.js';
import type {RawHeaders} from '../../ports/relay.js';
import type {Caller} from './caller.js';
import type {CallerBuffers, CallerConnection} from './caller_buffers.js';

const MS_PER_SECOND = 1_000;

export interface HttpCallerHost {
  readonly buffers: CallerBuffers;
  /** Whether the connection closes after the answer that begins now. */
  closeAfter(): boolean;
}

export function createHttpCaller(
  response: http.ServerResponse,
  requestId: string,
  {buffers, closeAfter}: HttpCallerHost,
): Caller {
  let hasLength = false;
  const connection: CallerConnection = {
    requestId,
    isStream: () => !hasLength,
    bufferedBytes: () => response.writableLength,
    close: () => void response.destroy(),
  };
  const connectionHeader = (): string[] =>
    closeAfter() ? ['Connection', 'close'] : [];
  response.on('drain', () => buffers.noteFree(connection));
  response.once('close', () => buffers.noteFree(connection));

  function write(bytes: Buffer): boolean {
    const isTaken = response.write(bytes);
    if (!isTaken && !response.destroyed) buffers.noteBlocked(connection);
    return isTaken;
  }

  function begin(
    status: number,
    headers: RawHeaders,
    bodyLength?: number,
  ): void {
    hasLength = bodyLength !== undefined;
    const length =
      bodyLength === undefined ? [] : ['Content-Length', String(bodyLength)];
    response.writeHead(status, [...headers, ...length, ...connectionHeader()]);
  }

  function cut(): void {
    // Without chunks, a connection that closes is the end of the answer.
    const hasChunks = response.req.httpVersion !== '1.0';
    if (!hasChunks && !hasLength) response.socket?.resetAndDestroy();
    response.destroy();
  }

  return {
    get hasBegun() {
      return response.headersSent;
    },
    begin,
    write,
    end: () => void response.end(),
    cut,
    refuse(error) {
      if (response.headersSent || response.destroyed) return;
      const problem = createProblem(error, requestId);
      const body = Buffer.from(JSON.stringify(problem));
      begin(
        errorAnswers[error.kind].status,
        [
          'Content-Type',
          'application/problem+json',
          ...retryAfterHeader(error),
        ],
        body.length,
      );
      response.end(body);
    },
    onDisconnect(listener) {
      response.once('close', () => {
        if (!response.writableFinished) listener();
      });
    },
    onWritable: listener => void response.on('drain', listener),
  };
}

/**
 * Uses fractional seconds, since capacity is freed within tenths of a second.
 */
function retryAfterHeader(error: RequestError): readonly string[] {
  if (error.retryAfterMs === undefined) return [];
  return ['Retry-After', (error.retryAfterMs / MS_PER_SECOND).toFixed(3)];
}
