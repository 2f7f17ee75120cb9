/** Digests of caller keys; the keys themselves are not kept in memory. */

import {createHash} from 'node:crypto';

const BEARER = /^Bearer +(\S+)$/i;

/** Returns the digest by which a key is stored, compared and sent to peers. */
export function digestCallerKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Returns the digest of the key in an `Authorization` header, if any. */
export function readKeyDigest(
  authorization: string | undefined,
): string | undefined {
  const key = BEARER.exec(authorization?.trim() ?? '')?.[1];
  return key === undefined ? undefined : digestCallerKey(key);
}
