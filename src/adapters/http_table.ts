/** Client of the platform's transactional table over HTTP. */

import {z} from 'zod';
import type {
  JsonRecord,
  ReadOutcome,
  TablePort,
  TableRow,
  WriteOutcome,
} from '../ports/table.js';
import {
  createHttpCaller,
  parseJsonBody,
  type HttpAnswer,
  type HttpCallerHost,
  type HttpFailure,
} from './http_caller.js';

export interface HttpPlatformOptions {
  /** `http://ip:port`. */
  readonly baseUrl: string;
  readonly maxConnections?: number;
}

const MAX_CONNECTIONS = 8;
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
const RETRY_AFTER_MS = 200;
const OK = 200;
const TOO_MANY = 429;
const UNAVAILABLE = 503;

const rowsSchema = z.object({
  rows: z.array(
    z.object({
      key: z.string(),
      version: z.number().int().positive(),
      value: z.record(z.string(), z.json()),
    }),
  ),
});

const outcomeSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('applied')}),
  z.object({kind: z.literal('rejected'), failedKeys: z.array(z.string())}),
]);

const refusalSchema = z.object({
  kind: z.literal('refused'),
  retryAfterMs: z.number().nonnegative(),
});

export function createPlatformCaller(
  host: HttpCallerHost,
  options: HttpPlatformOptions,
) {
  return createHttpCaller(host, {
    origin: options.baseUrl,
    maxConnections: options.maxConnections ?? MAX_CONNECTIONS,
    maxAnswerBytes: MAX_ANSWER_BYTES,
    headers: {'content-type': 'application/json'},
  });
}

function toRows(
  outcome: HttpAnswer | HttpFailure,
): ReadOutcome<readonly TableRow[]> {
  if (outcome.kind === 'failed') {
    return {kind: 'failed', reason: outcome.reason};
  }
  if (outcome.status !== OK) {
    return {kind: 'failed', reason: `status ${outcome.status}`};
  }
  const parsed = rowsSchema.safeParse(parseJsonBody(outcome.body));
  if (!parsed.success) return {kind: 'failed', reason: 'malformed answer'};
  const rows = parsed.data.rows.map(row => ({
    ...row,
    value: row.value as JsonRecord,
  }));
  return {kind: 'read', value: rows};
}

/**
 * Only an answer of the platform or a failure to connect proves that a write
 * was not and will not be applied; after any other failure this is unknown.
 */
function toWriteOutcome(outcome: HttpAnswer | HttpFailure): WriteOutcome {
  if (outcome.kind === 'failed') {
    if (outcome.reason !== 'unreachable') {
      return {kind: 'unknown', reason: outcome.reason};
    }
    return {
      kind: 'refused',
      reason: 'unavailable',
      retryAfterMs: RETRY_AFTER_MS,
    };
  }
  const json = parseJsonBody(outcome.body);
  if (outcome.status === OK) {
    const parsed = outcomeSchema.safeParse(json);
    if (parsed.success) return parsed.data;
    return {kind: 'unknown', reason: 'malformed answer'};
  }
  const refusal = refusalSchema.safeParse(json);
  if (refusal.success && outcome.status === TOO_MANY) {
    return {...refusal.data, reason: 'rate-limited'};
  }
  if (refusal.success && outcome.status === UNAVAILABLE) {
    return {...refusal.data, reason: 'unavailable'};
  }
  return {kind: 'unknown', reason: `status ${outcome.status}`};
}

export function createHttpTable(
  host: HttpCallerHost,
  options: HttpPlatformOptions,
): TablePort {
  const caller = createPlatformCaller(host, options);
  const post = (path: string, body: unknown, timeoutMs: number) =>
    caller.call({
      method: 'POST',
      path,
      body: JSON.stringify(body),
      timeoutMs,
    });
  return {
    async read(keys, timeoutMs) {
      return toRows(await post('/table/read', {keys}, timeoutMs));
    },
    async scan(prefix, {afterKey, limit}, timeoutMs) {
      const body = {prefix, afterKey, limit};
      return toRows(await post('/table/scan', body, timeoutMs));
    },
    async transact(transaction, timeoutMs) {
      return toWriteOutcome(
        await post('/table/transact', transaction, timeoutMs),
      );
    },
  };
}
