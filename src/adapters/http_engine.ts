/** Client of model engines over HTTP; docs/PROTOCOLS.md has the protocol. */

import type {ZodType} from 'zod';
import type {Clock} from '../ports/clock.js';
import type {
  EngineFailure,
  EnginePort,
  EnginePortFactory,
} from '../ports/engine.js';
import type {Random} from '../ports/random.js';
import {
  createHttpCaller,
  parseJsonBody,
  type HttpAnswer,
  type HttpCall,
  type HttpFailure,
} from './http_caller.js';
import {
  aliveSchema,
  cacheEventsSchema,
  decodeStartSchema,
  engineFailureSchema,
  importSchema,
  loadSchema,
  orderSchema,
  prefillSchema,
  releasedSchema,
  sessionsSchema,
} from './http_engine_schema.js';
import {createEngineStream} from './http_engine_stream.js';

export interface HttpEngineHost {
  readonly clock: Clock;
  readonly random: Random;
}

export interface HttpEngineOptions {
  readonly maxConnections?: number;
  /** A decode stream that receives no data for this long is closed. */
  readonly streamSilenceMs?: number;
  /** Timeout of starting or releasing a decode. */
  readonly controlTimeoutMs?: number;
  readonly streamIdleMs?: number;
}

const MAX_CONNECTIONS = 64;
const STREAM_SILENCE_MS = 3_000;
const CONTROL_TIMEOUT_MS = 2_000;
const PROBE_TIMEOUT_MS = 300;
const STREAM_IDLE_MS = 30_000;
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const OK = 200;

const failureReasons = {
  unreachable: 'unreachable',
  broken: 'broken',
  timeout: 'timeout',
  cancelled: 'cancelled',
  'too-large': 'broken',
} as const satisfies Record<HttpFailure['reason'], EngineFailure['reason']>;

function toResult<T>(
  outcome: HttpAnswer | HttpFailure,
  schema: ZodType<T>,
): T | EngineFailure {
  if (outcome.kind === 'failed') {
    const reason = failureReasons[outcome.reason];
    return {kind: 'failed', reason, detail: outcome.detail};
  }
  const json = parseJsonBody(outcome.body);
  if (outcome.status === OK) {
    const parsed = schema.safeParse(json);
    if (parsed.success) return parsed.data;
    const failure = engineFailureSchema.safeParse(json);
    if (failure.success) return failure.data;
  }
  const detail = `malformed answer with status ${outcome.status}`;
  return {kind: 'failed', reason: 'broken', detail};
}

function createPort(
  host: HttpEngineHost,
  address: string,
  options: HttpEngineOptions,
): EnginePort {
  const origin = `http://${address}`;
  const controlTimeoutMs = options.controlTimeoutMs ?? CONTROL_TIMEOUT_MS;
  const caller = createHttpCaller(host, {
    origin,
    maxConnections: options.maxConnections ?? MAX_CONNECTIONS,
    maxAnswerBytes: MAX_ANSWER_BYTES,
  });

  async function post<T>(
    path: string,
    body: unknown,
    timeoutMs: number,
    schema: ZodType<T>,
  ): Promise<T | EngineFailure> {
    const text = JSON.stringify(body);
    const call: HttpCall = {method: 'POST', path, body: text, timeoutMs};
    return toResult(await caller.call(call), schema);
  }

  async function get<T>(
    path: string,
    timeoutMs: number,
    schema: ZodType<T>,
  ): Promise<T | EngineFailure> {
    return toResult(
      await caller.call({method: 'GET', path, timeoutMs}),
      schema,
    );
  }

  async function probe(timeoutMs: number): Promise<'alive' | EngineFailure> {
    const call: HttpCall = {method: 'GET', path: '/alive', timeoutMs};
    return toResult(await caller.callOnNewConnection(call), aliveSchema);
  }

  const stream = createEngineStream(
    {
      ...host,
      async startDecode(call, name, streamId) {
        const body = {...call, stream: name, streamId};
        const result = await post(
          '/decode',
          body,
          controlTimeoutMs,
          decodeStartSchema,
        );
        if ('kind' in result) return result;
        return result.isStarted ? 'started' : 'no-stream';
      },
      isAlive: async () => (await probe(PROBE_TIMEOUT_MS)) === 'alive',
      release: ({owner}) =>
        void post('/cancel', owner, controlTimeoutMs, releasedSchema),
    },
    {
      origin,
      silenceMs: options.streamSilenceMs ?? STREAM_SILENCE_MS,
      connectTimeoutMs: controlTimeoutMs,
      idleMs: options.streamIdleMs ?? STREAM_IDLE_MS,
    },
  );

  return {
    prefill: call => post('/prefill', call, call.timeoutMs, prefillSchema),
    importKv: call => post('/import', call, call.timeoutMs, importSchema),
    decode: stream.decode,
    cancel: (owner, timeoutMs) =>
      post('/cancel', owner, timeoutMs, releasedSchema),
    sessions: timeoutMs => get('/sessions', timeoutMs, sessionsSchema),
    load: timeoutMs => get('/load', timeoutMs, loadSchema),
    cacheEvents: (afterSequence, timeoutMs) =>
      get(`/cache-events?after=${afterSequence}`, timeoutMs, cacheEventsSchema),
    order: (order, timeoutMs) => post('/order', order, timeoutMs, orderSchema),
    probe,
  };
}

export function createHttpEngineFactory(
  host: HttpEngineHost,
  options: HttpEngineOptions = {},
): EnginePortFactory {
  return address => createPort(host, address, options);
}
