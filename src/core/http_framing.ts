/** Rules of HTTP by which a message has a body (RFC 9110, 6.4.1). */

const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);
const FIRST_FINAL_STATUS = 200;

/**
 * Whether an answer may have a body. One that may not ends with its head,
 * whatever its headers say and whatever the request carried.
 */
export function mayHaveBody(method: string, status: number): boolean {
  if (method === 'HEAD' || status < FIRST_FINAL_STATUS) return false;
  return !STATUSES_WITHOUT_BODY.has(status);
}

/** The headers by which an answer shows where its body ends. */
export interface FramingHeaders {
  readonly contentLength?: string;
  readonly transferEncoding?: string;
}

/**
 * Whether the end of the connection is the only sign of the body's end, for the
 * answer to a request of the method.
 */
export function isUnframed(
  method: string,
  status: number,
  {contentLength, transferEncoding = ''}: FramingHeaders,
): boolean {
  if (!mayHaveBody(method, status)) return false;
  return contentLength === undefined && !/\bchunked\b/i.test(transferEncoding);
}
