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
