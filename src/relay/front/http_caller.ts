/**
 * The caller of a request over HTTP: writes its answer byte for byte, once the
 * answers ahead of it on the connection have been sent.
 */

import type http from 'node:http';
import {mayHaveBody} from '../../core/http_framing.js';
import {errorAnswers, type RequestError} from '../../core/error_kinds.js';
import {createProblem} from '../../entry/problem.js';
import type {Logger} from '../../ports/log.js';
import type {RawHeaders} from '../../ports/relay.js';
import type {Caller} from './caller.js';
import type {CallerBuffers, CallerConnection} from './caller_buffers.js';
import type {AnswerShape, PipelinePlace} from './pipeline.js';

const MS_PER_SECOND = 1_000;

export interface HttpCallerHost {
  readonly log: Pick<Logger, 'error'>;
  readonly buffers: CallerBuffers;
  readonly place: Pick<
    PipelinePlace,
    'noteShape' | 'isPipelined' | 'noteAnswered'
  >;
  /** Whether the connection closes after the answer that begins now. */
  closeAfter(shape: AnswerShape): boolean;
}

export interface HttpCaller extends Caller {
  /** Whether this host has cancelled the request, maybe before it has begun. */
  readonly isDropped: boolean;
  /** The answer was sent, or the connection closed before. */
  noteClosed(): void;
  /**
   * Frees what the answer holds in memory, and cancels the request: answers
   * with an error or, if the answer has begun, closes the connection.
   */
  drop(): void;
}

/** An answer that waits for its turn on the connection. */
interface HeldAnswer {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly parts: Buffer[];
  sizeBytes: number;
}

const CUT: RequestError = {
  kind: 'answer-cut',
  detail: 'The answer broke off before it was sent.',
};
const DROPPED: RequestError = {
  kind: 'outcome-unknown',
  detail: 'This entry has no room for the answer.',
};
const UNWRITABLE: RequestError = {
  kind: 'upstream-failed',
  detail: "The head of the answer can't be written.",
};

export function createHttpCaller(
  response: http.ServerResponse,
  requestId: string,
  {log, buffers, place, closeAfter}: HttpCallerHost,
): HttpCaller {
  let shape: AnswerShape = 'in-parts';
  let hasBegun = false;
  let isComplete = false;
  let isGone = false;
  /** Cancelled by this host, maybe before the request has begun. */
  let isDropped = false;
  let held: HeldAnswer | undefined;
  const onDisconnect: Array<() => void> = [];
  const onWritable: Array<() => void> = [];
  const connection: CallerConnection = {
    requestId,
    isStream: () => shape === 'in-parts',
    bufferedBytes: () => (held?.sizeBytes ?? 0) + response.writableLength,
    close: drop,
  };

  function noteWritable(): void {
    buffers.noteFree(connection);
    for (const listener of onWritable) listener();
  }

  response.on('drain', noteWritable);
  response.once('close', () => buffers.noteFree(connection));
  if (!response.socket) response.once('socket', sendHeld);

  /**
   * Returns false if Node doesn't write the head. It would write one of its own
   * before the body, so the answer ends with an error.
   */
  function writeHead(status: number, headers: RawHeaders): boolean {
    const isLast = closeAfter(shape);
    const connectionHeader = isLast ? ['Connection', 'close'] : [];
    try {
      response.writeHead(status, [...headers, ...connectionHeader]);
      return true;
    } catch (error) {
      log.error(UNWRITABLE.detail, {request: requestId, reason: String(error)});
      cancel(UNWRITABLE);
      return false;
    }
  }

  function sendHeld(): void {
    if (!held) return;
    const {status, headers, parts} = held;
    held = undefined;
    if (!writeHead(status, headers)) return;
    if (isComplete) {
      response.end(Buffer.concat(parts));
      // An ended response emits no `drain`; its `close` frees it.
      return buffers.noteBlocked(connection);
    }
    const areTaken = parts.map(bytes => response.write(bytes));
    if (areTaken.at(-1) ?? true) noteWritable();
  }

  function begin(
    status: number,
    headers: RawHeaders,
    bodyLength?: number,
  ): void {
    if (isComplete || isGone) return;
    shape = bodyLength === undefined ? 'in-parts' : 'whole';
    const hasLength =
      bodyLength !== undefined &&
      mayHaveBody(response.req.method ?? '', status);
    const length = hasLength ? ['Content-Length', String(bodyLength)] : [];
    const all = [...headers, ...length];
    if (!response.socket) {
      held = {status, headers: all, parts: [], sizeBytes: 0};
    } else if (!writeHead(status, all)) {
      return;
    }
    hasBegun = true;
    place.noteShape(shape);
  }

  function write(bytes: Buffer): boolean {
    if (isComplete || isGone) return true;
    if (held) {
      held.parts.push(bytes);
      held.sizeBytes += bytes.length;
      buffers.noteBlocked(connection);
      return false;
    }
    const isTaken = response.write(bytes);
    if (!isTaken && !response.destroyed) buffers.noteBlocked(connection);
    return isTaken;
  }

  function end(): void {
    if (isComplete || isGone) return;
    isComplete = true;
    // It is whole before anything of it has been sent.
    if (held) place.noteShape('whole');
    else response.end();
    place.noteAnswered(held?.sizeBytes ?? 0);
  }

  /** Answers with the error, also in place of an answer that is held. */
  function replace(error: RequestError): void {
    const body = Buffer.from(JSON.stringify(createProblem(error, requestId)));
    held = undefined;
    isComplete = false;
    begin(
      errorAnswers[error.kind].status,
      ['Content-Type', 'application/problem+json', ...retryAfterHeader(error)],
      body.length,
    );
    complete(body);
  }

  function complete(bytes: Buffer): void {
    isComplete = true;
    if (held) {
      held.parts.push(bytes);
      held.sizeBytes += bytes.length;
    } else {
      response.end(bytes);
    }
    place.noteAnswered(held?.sizeBytes ?? 0);
  }

  function closeConnection(): void {
    // Without chunks, a connection that closes is the end of the answer.
    const hasChunks = response.req.httpVersion !== '1.0';
    const isWholeAtClose = !hasChunks && shape === 'in-parts';
    if (isWholeAtClose) response.socket?.resetAndDestroy();
    response.destroy();
  }

  /** Cancels the request and answers it with the error. */
  function cancel(error: RequestError): void {
    isDropped = true;
    replace(error);
    for (const listener of onDisconnect) listener();
  }

  function drop(): void {
    if (isGone) return;
    if (!response.headersSent) return cancel(DROPPED);
    isDropped = true;
    closeConnection();
  }

  return {
    get hasBegun() {
      return hasBegun;
    },
    get isReplaceable() {
      return held !== undefined && !isComplete;
    },
    get isDropped() {
      return isDropped;
    },
    noteShape: place.noteShape,
    get isPipelined() {
      return place.isPipelined();
    },
    begin,
    write,
    end,
    cut() {
      if (isComplete || isGone) return;
      if (response.headersSent) closeConnection();
      else replace(CUT);
    },
    refuse(error) {
      if (!isComplete && !isGone && !response.headersSent) replace(error);
    },
    onDisconnect(listener) {
      const isLost = isGone && !response.writableFinished;
      if (isLost || isDropped) listener();
      else onDisconnect.push(listener);
    },
    onWritable: listener => void onWritable.push(listener),
    noteClosed() {
      if (isGone) return;
      isGone = true;
      held = undefined;
      buffers.noteFree(connection);
      if (response.writableFinished) return;
      for (const listener of onDisconnect) listener();
    },
    drop,
  };
}

/**
 * Uses fractional seconds, since capacity is freed within tenths of a second.
 */
function retryAfterHeader(error: RequestError): readonly string[] {
  if (error.retryAfterMs === undefined) return [];
  return ['Retry-After', (error.retryAfterMs / MS_PER_SECOND).toFixed(3)];
}
