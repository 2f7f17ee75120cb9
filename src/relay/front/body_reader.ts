/**
 * Reads bodies of requests into memory that the account has room for. What has
 * no room, is too large or does not arrive in time is refused, and the
 * connection closes without reading the rest.
 */

import type http from 'node:http';
import type {Socket} from 'node:net';
import type {RequestError} from '../../core/error_kinds.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import {heldKinds} from '../limits/held_kinds.js';
import type {ResourceLimits} from '../limits/resource_limits.js';
import type {RelayMetrics} from '../relay_metrics.js';
import {createGrowingBuffer, createSizedBuffer} from './body_buffer.js';
import {closeAfterAnswer, declaredBytes} from './unread_body.js';

export interface BodyReaderHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  readonly resources: Pick<ResourceLimits, 'memory' | 'toRefusal'>;
}

export interface BodyReaderOptions {
  readonly requestId: string;
  readonly maxBytes: number;
  /** The body must be whole within this time. */
  readonly waitMs: number;
  /** The longest time without a byte of the body. */
  readonly idleTimeoutMs?: number;
  /** Ends the request once it was read, to free what it holds. */
  end(): void;
  /** If set, nothing is read and this is the result. */
  readonly refusal?: RequestError;
}

/**
 * Neither is set if the caller disconnected before the end of the body, or if
 * the connection closes after the answer to an earlier request.
 */
export interface BodyResult {
  /** Counted as held until it is released or the response closes. */
  readonly bytes?: Buffer;
  /** Once the answer is whole, the request needs no more memory. */
  release?(): void;
  /** The connection closes once the response with this error has ended. */
  readonly error?: RequestError;
}

export interface BodyReader {
  read(
    message: http.IncomingMessage,
    response: http.ServerResponse,
    options: BodyReaderOptions,
  ): Promise<BodyResult>;
  /** Refuses all requests whose body has not arrived fully. */
  refuseOpen(error: RequestError): void;
}

/** A body that is being read. */
interface Upload {
  lastByteAtMs: number;
  heldBytes(): number;
  refuse(error: RequestError): void;
}

const DEFAULT_IDLE_TIMEOUT_MS = 10_000;
/** An upload that stands still for so long makes room for others. */
const STALLED_MS = 1_000;
/** A timer this late shows that the process could not read meanwhile. */
const LATE_TIMER_MS = 100;
/** Lets the process read what has arrived meanwhile. */
const READ_DELAY_MS = 1;

const OVERHEAD_BYTES = heldKinds.request.overheadBytes;
/** Larger bodies leave a part of the room to other requests. */
const SMALL_BODY_BYTES = 64 * 1024;
const SMALL_BODY_SHARE = 1 / 8;
const EMPTY = Buffer.alloc(0);

const TIMED_OUT: RequestError = {
  kind: 'body-timeout',
  detail: 'The connection closes.',
};

const expectsContinue = ({headers}: http.IncomingMessage) =>
  headers.expect?.toLowerCase() === '100-continue';

export function createBodyReader(host: BodyReaderHost): BodyReader {
  const {clock, log, metrics, resources} = host;
  const {memory} = resources;
  /** Oldest first. */
  const uploads = new Set<Upload>();

  /** Connections that close after a refusal. */
  const closing = new WeakSet<Socket>();

  const noRoom = () => resources.toRefusal('No memory for the body.');

  /** Ends uploads that stand still, if this makes enough room. */
  function endStalled(bytes: number): void {
    const beforeMs = clock.nowMs() - STALLED_MS;
    const stalled = [...uploads].filter(
      ({lastByteAtMs}) => lastByteAtMs <= beforeMs,
    );
    const sumBytes = stalled.reduce((sum, each) => sum + each.heldBytes(), 0);
    if (memory.freeBytes() + sumBytes < bytes) return;
    for (const upload of stalled) {
      if (memory.freeBytes() >= bytes) return;
      upload.refuse(TIMED_OUT);
    }
  }

  /** Free bytes that a body of this size leaves to requests without one. */
  function toReservedBytes(bodyBytes: number): number {
    if (bodyBytes <= SMALL_BODY_BYTES) return 0;
    return (memory.freeBytes() + memory.heldBytes()) * SMALL_BODY_SHARE;
  }

  function hasRoom(growth: number, bodyBytes: number): boolean {
    const bytes = growth + toReservedBytes(bodyBytes);
    if (memory.freeBytes() < bytes) endStalled(bytes);
    return memory.freeBytes() >= bytes;
  }

  /** Counts a request that was read, until its response closes. */
  function holdRequest(
    response: http.ServerResponse,
    {requestId, end}: BodyReaderOptions,
    bytes: Buffer,
  ): BodyResult {
    const holding = memory.open({kind: 'request', requestId, end});
    response.once('close', holding.close);
    holding.resize(bytes.length);
    if (response.destroyed) holding.close();
    return {bytes, release: holding.close};
  }

  function refuse(
    message: http.IncomingMessage,
    response: http.ServerResponse,
    error: RequestError,
    {requestId}: BodyReaderOptions,
    readBytes = 0,
  ): BodyResult {
    closing.add(message.socket);
    closeAfterAnswer(message, response, clock);
    metrics.count('bodies_refused', `reason="${error.kind}"`);
    log.warn('A request was refused before its body was read.', {
      request: requestId,
      reason: error.kind,
      declaredBytes: declaredBytes(message),
      readBytes,
      freeBytes: memory.freeBytes(),
    });
    return {error};
  }

  function readAdmitted(
    message: http.IncomingMessage,
    response: http.ServerResponse,
    options: BodyReaderOptions,
    lengthBytes: number | undefined,
  ): Promise<BodyResult> {
    const {requestId, maxBytes, waitMs} = options;
    const {idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS} = options;
    const endAtMs = clock.nowMs() + waitMs;
    const buffer =
      lengthBytes === undefined
        ? createGrowingBuffer()
        : createSizedBuffer(lengthBytes);
    return new Promise(resolve => {
      const upload: Upload = {
        lastByteAtMs: clock.nowMs(),
        heldBytes: buffer.heldBytes,
        refuse(error) {
          const readBytes = buffer.sizeBytes();
          if (!end()) return;
          // The connection, which stays open for a moment, refers to it.
          buffer.discard();
          resolve(refuse(message, response, error, options, readBytes));
        },
      };
      uploads.add(upload);
      const holding = memory.open({
        kind: 'upload',
        requestId,
        end: () => upload.refuse(noRoom()),
      });
      let dueAtMs = 0;
      let timer = setDue(toDueAtMs());

      function toDueAtMs(): number {
        return Math.min(endAtMs, upload.lastByteAtMs + idleTimeoutMs);
      }

      function setDue(atMs: number) {
        dueAtMs = atMs;
        return clock.setTimer(atMs - clock.nowMs(), checkTime);
      }

      function checkTime(): void {
        const nowMs = clock.nowMs();
        if (nowMs - dueAtMs > LATE_TIMER_MS) {
          timer = setDue(nowMs + READ_DELAY_MS);
        } else if (nowMs < toDueAtMs()) timer = setDue(toDueAtMs());
        else upload.refuse(TIMED_OUT);
      }

      /** Returns whether the upload was open. */
      function end(): boolean {
        if (!uploads.delete(upload)) return false;
        clock.clearTimer(timer);
        message.off('data', append);
        holding.close();
        return true;
      }

      function append(bytes: Buffer): void {
        upload.lastByteAtMs = clock.nowMs();
        const heldBefore = buffer.heldBytes();
        buffer.append(bytes);
        if (buffer.sizeBytes() > maxBytes) {
          return upload.refuse(toTooLarge(maxBytes));
        }
        if (lengthBytes !== undefined) return;
        const heldBytes = buffer.heldBytes();
        if (heldBytes === heldBefore) return;
        if (!hasRoom(heldBytes - heldBefore, heldBytes)) {
          return upload.refuse(noRoom());
        }
        holding.resize(heldBytes);
      }

      message.on('data', append);
      message.once('end', () => {
        if (!end()) return;
        const bytes = buffer.take();
        resolve(holdRequest(response, options, bytes));
      });
      message.on('error', () => undefined);
      message.once('close', () => {
        if (end()) resolve({});
      });
      // The last step, since it may end this upload.
      holding.resize(lengthBytes ?? 0);
    });
  }

  return {
    async read(message, response, options) {
      const {maxBytes, refusal} = options;
      const lengthBytes = declaredBytes(message);
      const fail = (error: RequestError) =>
        refuse(message, response, error, options);
      // Sent ahead of the refusal; it can't be answered, so it must not run.
      if (closing.has(message.socket)) {
        message.resume();
        return {};
      }
      if (refusal) return fail(refusal);
      if ((lengthBytes ?? 0) > maxBytes) return fail(toTooLarge(maxBytes));
      const bodyBytes = lengthBytes ?? 0;
      if (!hasRoom(OVERHEAD_BYTES + bodyBytes, bodyBytes)) {
        return fail(noRoom());
      }
      if (expectsContinue(message)) response.writeContinue();
      if (lengthBytes !== 0) {
        return readAdmitted(message, response, options, lengthBytes);
      }
      message.resume();
      return holdRequest(response, options, EMPTY);
    },
    refuseOpen(error) {
      for (const upload of [...uploads]) upload.refuse(error);
    },
  };
}

function toTooLarge(maxBytes: number): RequestError {
  return {kind: 'body-too-large', detail: `${maxBytes} bytes`};
}
