/** Rules for the answers and errors that may be sent to callers. */

import {errorAnswers, type RequestError} from '../../core/error_kinds.js';
import type {UpstreamAnswer} from '../../ports/relay.js';

/** Statuses that promise that the request wasn't run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Returns whether an answer may be forwarded. An answer without the upstream's
 * signature may come from elsewhere. A status that promises "not run" is never
 * forwarded, since it may be false.
 */
export function isGenuine(answer: UpstreamAnswer): boolean {
  if (NOT_RUN_STATUSES.has(answer.status)) return false;
  return answer.hasSignature;
}

/**
 * Returns the error to send for a request that ended without an answer. Once an
 * upstream may have run the request, an error that promises "not run" would be
 * false, even if the last attempt was refused or lost its connection.
 */
export function toCallerError(
  error: RequestError,
  hasRun: boolean,
  isLate: boolean,
): RequestError {
  if (!hasRun) return error;
  const {detail} = error;
  if (isLate) return {kind: 'deadline-passed', detail};
  const promisesNotRun = errorAnswers[error.kind].runState === 'not-run';
  return promisesNotRun ? {kind: 'upstream-failed', detail} : error;
}
