/** Keys of callers, which stay in memory as digests only. */

import {createHash} from 'node:crypto';

const BEARER = /^Bearer +(\S+)$/i;

/** Digest under which a key is kept, compared and handed to other hosts. */
export function digestCallerKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Digest of the key in an `Authorization` header; undefined without one. */
export function readKeyDigest(
  authorization: string | undefined,
): string | undefined {
  const key = BEARER.exec(authorization?.trim() ?? '')?.[1];
  return key === undefined ? undefined : digestCallerKey(key);
}
