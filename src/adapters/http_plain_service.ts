/**
 * Plain services over HTTP.
 *
 * A call that may not be repeated goes only over a connection that answered
 * within the asked time, or over one just opened. A connection that went
 * silent while it lay idle would swallow the call: nobody could then say
 * whether it ran. The guard holds since an idle connection older than the
 * proof is destroyed, and a new one proves itself by the handshake.
 */

import {Client} from 'undici';
import {hopHeaders} from '../core/hop_headers.js';
import type {
  PlainAnswer,
  PlainCall,
  PlainFailure,
  PlainServicePort,
  PlainServicePortFactory,
} from '../ports/plain_service.js';
import {
  callOver,
  createHttpCaller,
  type HttpAnswer,
  type HttpCall,
  type HttpCallerHost,
  type HttpFailure,
} from './http_caller.js';

export interface HttpPlainServiceOptions {
  readonly maxConnections?: number;
  readonly maxAnswerBytes?: number;
  /** Path that answers when the service is well. */
  readonly probePath?: string;
}

const MAX_CONNECTIONS = 64;
const MAX_IDLE_PROVEN = 32;
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const PROBE_PATH = '/stand-in/alive';
const ERROR_STATUS = 500;

const NEVER_SENT: PlainFailure = {
  kind: 'failed',
  mayHaveRun: false,
  reason: 'cancelled',
  detail: 'given up before it was sent',
};

interface ProvenConnection {
  readonly client: Client;
  /** When it was opened or last answered. */
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

  /** The idle connection that answered last, if it did so recently. */
  function takeProven(withinMs: number): ProvenConnection | undefined {
    for (let found = idle.pop(); found; found = idle.pop()) {
      const isRecent = host.clock.nowMs() - found.aliveAtMs <= withinMs;
      if (isRecent && !found.client.closed && !found.client.destroyed) {
        return found;
      }
      found.client.destroy().catch(() => undefined);
    }
    return undefined;
  }

  function giveBack(connection: ProvenConnection): void {
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
    const client = new Client(callerOptions.origin, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    return {client, aliveAtMs: host.clock.nowMs()};
  }

  async function callProven(
    call: PlainCall,
    signal: AbortSignal,
  ): Promise<PlainAnswer | PlainFailure> {
    const proven = takeProven(call.connectionProvenWithinMs);
    const connection = proven ?? openConnection();
    let connections = proven ? 1 : 0;
    const countConnection = () => connections++;
    connection.client.on('connect', countConnection);
    const outcome = await callOver(
      connection.client,
      host,
      callerOptions,
      toHttpCall(call, signal),
    );
    connection.client.off('connect', countConnection);
    if (outcome.kind === 'answered') giveBack(connection);
    else connection.client.destroy().catch(() => undefined);
    return toOutcome(outcome, connections > 0);
  }

  return {
    async call(call, signal) {
      if (signal.aborted) return NEVER_SENT;
      if (call.connectionProvenWithinMs > 0) return callProven(call, signal);
      return toOutcome(await caller.call(toHttpCall(call, signal)), true);
    },
    async probe(timeoutMs) {
      const outcome = await caller.callFresh({
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
