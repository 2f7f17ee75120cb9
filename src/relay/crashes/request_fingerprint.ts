/** Identifies a request that is sent again, and what it shares with others. */

import {createHash} from 'node:crypto';
import type {RelayRequest} from '../../ports/relay.js';
import {toPartKey} from '../../request/suspect_kinds.js';

const FINGERPRINT_DIGITS = 24;
const fingerprints = new WeakMap<RelayRequest, string>();

/** Returns a fingerprint that is the same each time the request is sent. */
export function fingerprintOf(request: RelayRequest): string {
  const known = fingerprints.get(request);
  if (known !== undefined) return known;
  const fingerprint = createHash('sha1')
    .update(`${request.method} ${request.host} ${request.target}\n`)
    .update(request.body)
    .digest('hex')
    .slice(0, FINGERPRINT_DIGITS);
  fingerprints.set(request, fingerprint);
  return fingerprint;
}

/** Returns the keys of the suspects that a request has. */
export const suspectKeysOf = (request: RelayRequest): readonly string[] => [
  fingerprintOf(request),
  ...(request.sharedParts ?? []).map(toPartKey),
];
