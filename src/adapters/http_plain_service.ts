/**
 * Client of plain services over HTTP.
 *
 * A call that may not be repeated is sent only over a new connection or over
 * one that has answered within `connectionProvenWithinMs`. If an idle
 * connection has failed without notice, the call is lost and it is unknown
 * whether it ran. Idle connections that answered longer ago are closed; the
 * handshake proves that a new one works.
 */

import {hopHeaders} from '../core/hop_headers.js';
import type {
  PlainAnswer,
  PlainCall,
  PlainFailure,
  PlainServicePort,
  PlainServicePortFactory,
} from '../ports/plain_service.js';
import {CheckedClient} from './checked_client.js';
import {
  callWithTimeout,
  createHttpCaller,
  type HttpAnswer,
  type HttpCall,
  type HttpCallerHost,
  type HttpFailure,
} from './http_caller.js';

export interface HttpPlainServiceOptions {
  readonly maxConnections?: number;
  readonly maxAnswerBytes?: number;
  /** Path of the health check. */
  readonly probePath?: string;
}

const MAX_CONNECTIONS = 64;
const MAX_IDLE_PROVEN = 32;
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const PROBE_PATH = '/stand-in/alive';
const ERROR_STATUS = 500;

const NOT_SENT: PlainFailure = {
  kind: 'failed',
  mayHaveRun: false,
  reason: 'cancelled',
  detail: 'given up before it was sent',
};

interface ProvenConnection {
  readonly client: CheckedClient;
  /** Time when it was opened or last answered. */
  aliveAtMs: number;
}

function withoutHopHeaders<T>(
  headers: Readonly<Record<string, T>>,
): Record<string, T> {
  const kept = Object.entries(headers).filter(
    ([name]) => !hopHeaders.has(name.toLowerCase()),
  );
  return Object.fromEntries(kept);
}

function toHttpCall(call: PlainCall, signal: AbortSignal): HttpCall {
  return {
    method: call.method,
    path: call.path,
    headers: {
      ...withoutHopHeaders(call.headers),
      'x-request-id': call.requestId,
      'x-attempt-id': call.attemptId,
    },
    body: call.body.length > 0 ? call.body : undefined,
    timeoutMs: call.timeoutMs,
    signal,
  };
}

function toOutcome(
  outcome: HttpAnswer | HttpFailure,
  wasConnected: boolean,
): PlainAnswer | PlainFailure {
  if (outcome.kind === 'answered') {
    return {...outcome, headers: withoutHopHeaders(outcome.headers)};
  }
  const mayHaveRun = wasConnected && outcome.reason !== 'unreachable';
  return {...outcome, mayHaveRun};
}

function createPort(
  host: HttpCallerHost,
  address: string,
  options: HttpPlainServiceOptions,
): PlainServicePort {
  const callerOptions = {
    origin: `http://${address}`,
    maxConnections: options.maxConnections ?? MAX_CONNECTIONS,
    maxAnswerBytes: options.maxAnswerBytes ?? MAX_ANSWER_BYTES,
  };
  const caller = createHttpCaller(host, callerOptions);
  const idle: ProvenConnection[] = [];

  /** Takes the idle connection that answered last, if that was recent. */
  function takeRecentlyAnswering(
    withinMs: number,
  ): ProvenConnection | undefined {
    for (let found = idle.pop(); found; found = idle.pop()) {
      const isRecent = host.clock.nowMs() - found.aliveAtMs <= withinMs;
      if (isRecent && !found.client.closed && !found.client.destroyed) {
        return found;
      }
      found.client.destroy().catch(() => undefined);
    }
    return undefined;
  }

  function returnToPool(connection: ProvenConnection): void {
    connection.aliveAtMs = host.clock.nowMs();
    idle.push(connection);
    if (idle.length > MAX_IDLE_PROVEN) {
      idle
        .shift()
        ?.client.destroy()
        .catch(() => undefined);
    }
  }

  function openConnection(): ProvenConnection {
    const client = new CheckedClient(host, callerOptions.origin, {
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    return {client, aliveAtMs: host.clock.nowMs()};
  }

  async function callProven(
    call: PlainCall,
    signal: AbortSignal,
  ): Promise<PlainAnswer | PlainFailure> {
    const proven = takeRecentlyAnswering(call.connectionProvenWithinMs);
    const connection = proven ?? openConnection();
    let connections = proven ? 1 : 0;
    const countConnection = () => connections++;
    connection.client.on('connect', countConnection);
    const outcome = await callWithTimeout(
      connection.client,
      host,
      callerOptions,
      toHttpCall(call, signal),
    );
    connection.client.off('connect', countConnection);
    if (outcome.kind === 'answered') returnToPool(connection);
    else connection.client.destroy().catch(() => undefined);
    return toOutcome(outcome, connections > 0);
  }

  return {
    async call(call, signal) {
      if (signal.aborted) return NOT_SENT;
      if (call.connectionProvenWithinMs > 0) return callProven(call, signal);
      return toOutcome(await caller.call(toHttpCall(call, signal)), true);
    },
    async probe(timeoutMs) {
      const outcome = await caller.callOnNewConnection({
        method: 'GET',
        path: options.probePath ?? PROBE_PATH,
        timeoutMs,
      });
      return outcome.kind === 'answered' && outcome.status < ERROR_STATUS;
    },
  };
}

export function createHttpPlainServiceFactory(
  host: HttpCallerHost,
  options: HttpPlainServiceOptions = {},
): PlainServicePortFactory {
  return address => createPort(host, address, options);
}
