/** Which answers may be handed on, and what may be said without one. */

import {errorAnswers, type RequestError} from '../../core/error_kinds.js';
import type {UpstreamAnswer} from '../../ports/relay.js';

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

/**
 * What may be said of a request that ended without an answer. Once an upstream
 * may have run it, no refusal that promises "not run" is true any more, though
 * the last thing that happened was a refusal or a lost connection.
 */
export function toTrueError(
  error: RequestError,
  hasRun: boolean,
  isLate: boolean,
): RequestError {
  if (!hasRun) return error;
  const {detail} = error;
  if (isLate) return {kind: 'deadline-passed', detail};
  const isPromise = errorAnswers[error.kind].runState === 'not-run';
  return isPromise ? {kind: 'upstream-failed', detail} : error;
}
