/** Errors returned to the caller of a model request. */

import type {GrantRefusal} from '../../ports/grants.js';
import type {ErrorKind, RequestError} from '../error_kinds.js';
import {hasModelRun} from './model_held.js';
import type {ModelFacts, ModelState} from './model_types.js';

export const refusalKinds: Readonly<Record<GrantRefusal['reason'], ErrorKind>> =
  {
    'not-feasible': 'overloaded',
    'account-limit': 'account-limit',
    'queue-full': 'queue-full',
    'no-engine': 'no-upstream',
    'home-moved': 'overloaded',
    unreachable: 'no-upstream',
    cancelled: 'overloaded',
  };

/** Returns the error of a request that will not be retried. */
export function finalError(
  facts: ModelFacts,
  state: ModelState,
  notRun: RequestError,
): RequestError {
  const retryAfterMs = notRun.retryAfterMs ?? facts.policy.defaultRetryAfterMs;
  if (state.deliveredTokens > 0) {
    return {
      kind: 'answer-cut',
      detail: 'The stream broke and could not be resumed.',
      retryAfterMs,
    };
  }
  if (hasModelRun(state)) {
    return {
      kind: 'upstream-failed',
      detail: 'The engines that ran the request failed.',
      retryAfterMs,
    };
  }
  return {...notRun, retryAfterMs};
}

export function deadlineError(
  facts: ModelFacts,
  state: ModelState,
): RequestError {
  const retryAfterMs = facts.policy.defaultRetryAfterMs;
  if (state.deliveredTokens > 0) {
    return {
      kind: 'answer-cut',
      detail: 'The wait ended while the stream was broken.',
      retryAfterMs,
    };
  }
  return hasModelRun(state)
    ? {
        kind: 'deadline-passed',
        detail: 'No token came within the wait.',
        retryAfterMs,
      }
    : {
        kind: 'deadline-not-run',
        detail: 'No engine was free within the wait.',
        retryAfterMs,
      };
}

export function callerGoneError(state: ModelState): RequestError {
  return {
    kind: hasModelRun(state) ? 'deadline-passed' : 'deadline-not-run',
    detail: 'The caller hung up.',
  };
}
