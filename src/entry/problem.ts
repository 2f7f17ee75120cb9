/**
 * Problem documents (RFC 9457) for refusals and failures. Each has an error
 * code and states whether the request was run.
 */

import type {ServerResponse} from 'node:http';
import {errorAnswers, type RequestError} from '../core/error_kinds.js';

const MS_PER_SECOND = 1000;

export interface ProblemDocument {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly code: string;
  /** `not-run`, `may-have-run` or `ran`. */
  readonly runState: string;
  readonly requestId: string;
  readonly retryAfterMs?: number;
}

/** Creates the problem document for an error. */
export function createProblem(
  error: RequestError,
  requestId: string,
): ProblemDocument {
  const answer = errorAnswers[error.kind];
  return {
    type: `urn:corianderbend:error:${error.kind}`,
    title: answer.title,
    status: answer.status,
    detail: error.detail,
    code: `CB${answer.code}`,
    runState: answer.runState,
    requestId,
    ...(answer.retryable && error.retryAfterMs !== undefined
      ? {retryAfterMs: Math.ceil(error.retryAfterMs)}
      : {}),
  };
}

/** Responds with a problem document; the response must not have begun. */
export function writeProblem(
  response: ServerResponse,
  error: RequestError,
  requestId: string,
): void {
  const problem = createProblem(error, requestId);
  const body = JSON.stringify(problem);
  response.statusCode = problem.status;
  response.setHeader('content-type', 'application/problem+json');
  response.setHeader('x-run-state', problem.runState);
  if (problem.retryAfterMs !== undefined) {
    const seconds = Math.max(
      1,
      Math.ceil(problem.retryAfterMs / MS_PER_SECOND),
    );
    response.setHeader('retry-after', String(seconds));
  }
  response.end(body);
}
