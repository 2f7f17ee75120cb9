/** Which answers of an upstream may be handed on. */

import type {UpstreamAnswer} from '../ports/relay.js';

/** Each of these promises that the request was not run. */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * A success without the upstream's signature may be anybody's bytes; a status
 * that promises "not run" without the upstream's own word may be a lie.
 */
export function isGenuine(answer: UpstreamAnswer): boolean {
  if (PROMISING_STATUSES.has(answer.status)) return false;
  return answer.hasSignature;
}
