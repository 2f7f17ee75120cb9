/** Reads and validates the request headers that callers may set. */

import type {IncomingHttpHeaders} from 'node:http';

const MAX_KEY_LENGTH = 255;
const KEY_PATTERN = /^[\x21-\x7e]+$/;
const WAIT_PATTERN = /^\d{1,9}$/;

export const WAIT_HEADER = 'x-wait-ms';
export const KEY_HEADER = 'idempotency-key';

export type HeaderOutcome<T> =
  | {readonly kind: 'read'; readonly value: T | undefined}
  | {readonly kind: 'malformed'; readonly detail: string};

/** Reads how long the caller waits at most, in milliseconds. */
export function readWaitMs(
  headers: IncomingHttpHeaders,
): HeaderOutcome<number> {
  const text = headers[WAIT_HEADER];
  if (text === undefined) return {kind: 'read', value: undefined};
  if (typeof text !== 'string' || !WAIT_PATTERN.test(text)) {
    const detail = `${WAIT_HEADER}: expected a whole number of milliseconds.`;
    return {kind: 'malformed', detail};
  }
  return {kind: 'read', value: Number(text)};
}

/** Reads the caller's idempotency key. */
export function readIdempotencyKey(
  headers: IncomingHttpHeaders,
): HeaderOutcome<string> {
  const text = headers[KEY_HEADER];
  if (text === undefined) return {kind: 'read', value: undefined};
  const isValid =
    typeof text === 'string' &&
    text.length <= MAX_KEY_LENGTH &&
    KEY_PATTERN.test(text);
  if (!isValid) {
    const detail = `${KEY_HEADER}: expected 1 to ${MAX_KEY_LENGTH} visible ASCII characters.`;
    return {kind: 'malformed', detail};
  }
  return {kind: 'read', value: text};
}
