/**
 * HTTP calls to one address by undici, with one timeout for the whole call and
 * the reason of a failure.
 *
 * A connection that has failed without notice shows as a timeout. After a
 * timeout the whole pool is replaced, so that the next call opens a new
 * connection and doesn't wait on another one that has failed.
 */

import {Pool, type Dispatcher} from 'undici';
import type {Clock} from '../ports/clock.js';
import {CheckedClient} from './checked_client.js';

export interface HttpCallerHost {
  readonly clock: Clock;
}

export interface HttpCallerOptions {
  /** `http://ip:port`. */
  readonly origin: string;
  readonly maxConnections: number;
  readonly maxAnswerBytes: number;
  /** Sent with each call. */
  readonly headers?: Readonly<Record<string, string>>;
}

export interface HttpCall {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | string;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

export interface HttpAnswer {
  readonly kind: 'answered';
  readonly status: number;
  readonly headers: Readonly<
    Record<string, string | readonly string[] | undefined>
  >;
  readonly body: Uint8Array;
}

export interface HttpFailure {
  readonly kind: 'failed';
  readonly reason:
    'unreachable' | 'broken' | 'timeout' | 'cancelled' | 'too-large';
  readonly detail: string;
}

export interface HttpCaller {
  call(call: HttpCall): Promise<HttpAnswer | HttpFailure>;
  /** Makes the call over a new connection. */
  callOnNewConnection(call: HttpCall): Promise<HttpAnswer | HttpFailure>;
  close(): Promise<void>;
}

const CONNECT_ERRORS: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const KEEP_ALIVE_MS = 20_000;

function getErrorCode(error: unknown): string {
  if (!(error instanceof Error)) return '';
  const {code, cause} = error as Error & {code?: string};
  if (code) return code;
  return cause ? getErrorCode(cause) : '';
}

/** Reasons to abort a call, converted to failures by `toHttpFailure`. */
const TIMED_OUT = Symbol('timed out');
const CANCELLED = Symbol('cancelled');
const TOO_LARGE = Symbol('too large');

/** Whether the error proves that nothing of the call was sent. */
export function isConnectError(error: unknown): boolean {
  return CONNECT_ERRORS.has(getErrorCode(error));
}

function toHttpFailure(error: unknown): HttpFailure {
  const failed = (reason: HttpFailure['reason'], detail: string) =>
    ({kind: 'failed', reason, detail}) as const;
  if (error === TIMED_OUT) return failed('timeout', 'no answer in time');
  if (error === CANCELLED) return failed('cancelled', 'given up');
  if (error === TOO_LARGE)
    return failed('too-large', 'the answer is too large');
  const code = getErrorCode(error) || String(error);
  if (isConnectError(error)) return failed('unreachable', code);
  return failed('broken', code);
}

async function readWhole(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<Uint8Array> {
  const chunks: Uint8Array[] = [];
  let sizeBytes = 0;
  for await (const chunk of body) {
    sizeBytes += chunk.length;
    if (sizeBytes > maxBytes) throw TOO_LARGE;
    chunks.push(chunk);
  }
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}

/** Makes a call on `dispatcher`; settles within the timeout. */
export async function callWithTimeout(
  dispatcher: Dispatcher,
  host: HttpCallerHost,
  options: HttpCallerOptions,
  call: HttpCall,
): Promise<HttpAnswer | HttpFailure> {
  const controller = new AbortController();
  const cancel = () => controller.abort(CANCELLED);
  if (call.signal?.aborted) return toHttpFailure(CANCELLED);
  const timer = host.clock.setTimer(call.timeoutMs, () =>
    controller.abort(TIMED_OUT),
  );
  call.signal?.addEventListener('abort', cancel, {once: true});
  try {
    const response = await dispatcher.request({
      origin: options.origin,
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers: {...options.headers, ...call.headers},
      body: call.body,
      signal: controller.signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const body = await readWhole(response.body, options.maxAnswerBytes);
    return {
      kind: 'answered',
      status: response.statusCode,
      headers: response.headers,
      body,
    };
  } catch (error) {
    const {signal} = controller;
    return toHttpFailure(signal.aborted ? signal.reason : error);
  } finally {
    host.clock.clearTimer(timer);
    call.signal?.removeEventListener('abort', cancel);
  }
}

export function createHttpCaller(
  host: HttpCallerHost,
  options: HttpCallerOptions,
): HttpCaller {
  const createPool = (connections: number) =>
    new Pool(options.origin, {
      factory: (origin, clientOptions) =>
        new CheckedClient(host, origin, clientOptions),
      connections,
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  let pool = createPool(options.maxConnections);

  /** Calls on the old pool run to their end, at most to their timeout. */
  function replacePool(failed: Pool): void {
    if (failed !== pool) return;
    pool = createPool(options.maxConnections);
    failed.close().catch(() => undefined);
  }

  return {
    async call(call) {
      const used = pool;
      const outcome = await callWithTimeout(used, host, options, call);
      if (outcome.kind === 'failed' && outcome.reason === 'timeout') {
        replacePool(used);
      }
      return outcome;
    },
    async callOnNewConnection(call) {
      const single = createPool(1);
      const outcome = await callWithTimeout(single, host, options, call);
      single.destroy().catch(() => undefined);
      return outcome;
    },
    close: () => pool.destroy(),
  };
}

/** The body as JSON, or undefined if it is not JSON. */
export function parseJsonBody(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'));
  } catch {
    return undefined;
  }
}
