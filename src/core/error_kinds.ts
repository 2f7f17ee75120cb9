/**
 * All kinds of errors returned to callers, with the answer for each kind. Codes
 * are stable: never reuse one.
 */

/** Whether an upstream ran the refused or failed request. */
export type RunState = 'not-run' | 'may-have-run' | 'ran';

export interface ErrorAnswer {
  readonly code: number;
  readonly status: number;
  readonly runState: RunState;
  readonly title: string;
  /** Whether a later retry may succeed. */
  readonly retryable: boolean;
}

const answers = {
  'malformed-request': {
    code: 1001,
    status: 400,
    runState: 'not-run',
    title: 'The request is not well formed.',
    retryable: false,
  },
  unauthenticated: {
    code: 1002,
    status: 401,
    runState: 'not-run',
    title: 'The caller key is missing or not known.',
    retryable: false,
  },
  forbidden: {
    code: 1003,
    status: 403,
    runState: 'not-run',
    title: 'This client account may not use the service.',
    retryable: false,
  },
  'unknown-service': {
    code: 1004,
    status: 404,
    runState: 'not-run',
    title: 'No service has this name.',
    retryable: false,
  },
  'unknown-route': {
    code: 1005,
    status: 404,
    runState: 'not-run',
    title: 'Nothing is served at this path.',
    retryable: false,
  },
  'method-not-allowed': {
    code: 1006,
    status: 405,
    runState: 'not-run',
    title: 'This method is not served at this path.',
    retryable: false,
  },
  'body-too-large': {
    code: 1007,
    status: 413,
    runState: 'not-run',
    title: 'The body is larger than the limit.',
    retryable: false,
  },
  'headers-too-large': {
    code: 1008,
    status: 431,
    runState: 'not-run',
    title: 'The headers are larger than the limit.',
    retryable: false,
  },
  'body-timeout': {
    code: 1009,
    status: 408,
    runState: 'not-run',
    title: 'The body did not arrive in time.',
    retryable: true,
  },
  'key-required': {
    code: 1010,
    status: 400,
    runState: 'not-run',
    title: 'This call needs an Idempotency-Key.',
    retryable: false,
  },
  'key-conflict': {
    code: 1011,
    status: 422,
    runState: 'not-run',
    title: 'The key was used before with another request.',
    retryable: false,
  },
  'account-limit': {
    code: 2001,
    status: 429,
    runState: 'not-run',
    title: 'The client account is at its limit.',
    retryable: true,
  },
  overloaded: {
    code: 2002,
    status: 503,
    runState: 'not-run',
    title: 'The request cannot be served within its wait.',
    retryable: true,
  },
  'queue-full': {
    code: 2003,
    status: 503,
    runState: 'not-run',
    title: 'The queue is full.',
    retryable: true,
  },
  'no-upstream': {
    code: 2004,
    status: 503,
    runState: 'not-run',
    title: 'No upstream of the service is usable.',
    retryable: true,
  },
  'platform-unavailable': {
    code: 2005,
    status: 503,
    runState: 'not-run',
    title: 'The platform cannot record the request now.',
    retryable: true,
  },
  'shutting-down': {
    code: 2006,
    status: 503,
    runState: 'not-run',
    title: 'This entry is leaving; ask for another.',
    retryable: true,
  },
  quarantined: {
    code: 2007,
    status: 422,
    runState: 'not-run',
    title: 'Runs of this request have crashed upstreams.',
    retryable: false,
  },
  'deadline-not-run': {
    code: 2008,
    status: 504,
    runState: 'not-run',
    title: 'The wait ended before the request was run.',
    retryable: true,
  },
  'attempt-running': {
    code: 2009,
    status: 409,
    runState: 'may-have-run',
    title: 'An earlier attempt under this key still runs.',
    retryable: true,
  },
  'configuration-missing': {
    code: 2010,
    status: 503,
    runState: 'not-run',
    title: 'No accepted configuration has been read yet.',
    retryable: true,
  },
  'configuration-unconfirmed': {
    code: 2011,
    status: 503,
    runState: 'not-run',
    title: 'The configuration here may be too old for the request.',
    retryable: true,
  },
  suspected: {
    code: 2012,
    status: 503,
    runState: 'not-run',
    title: 'Upstreams ended during this request; the cause is being checked.',
    retryable: true,
  },
  'stream-unknown': {
    code: 2013,
    status: 503,
    runState: 'not-run',
    title: 'It is not known which engines can go on with this stream.',
    retryable: true,
  },
  'stream-version-gone': {
    code: 2014,
    status: 503,
    runState: 'not-run',
    title: 'The engines that can go on with this stream have gone.',
    retryable: true,
  },
  'host-overloaded': {
    code: 2015,
    status: 503,
    runState: 'not-run',
    title: 'This entry has no room for the request.',
    retryable: true,
  },
  'outcome-unknown': {
    code: 3001,
    status: 504,
    runState: 'may-have-run',
    title: 'The call was sent and its outcome is not known.',
    retryable: false,
  },
  'deadline-passed': {
    code: 3002,
    status: 504,
    runState: 'may-have-run',
    title: 'The wait ended while the request ran.',
    retryable: true,
  },
  'upstream-failed': {
    code: 3003,
    status: 502,
    runState: 'may-have-run',
    title: 'The upstream failed while it ran the request.',
    retryable: true,
  },
  'answer-cut': {
    code: 3004,
    status: 502,
    runState: 'ran',
    title: 'The answer was cut and could not be resumed.',
    retryable: true,
  },
  'answer-not-kept': {
    code: 3005,
    status: 410,
    runState: 'ran',
    title: 'The request ran; its answer is no longer kept.',
    retryable: false,
  },
  internal: {
    code: 3999,
    status: 500,
    runState: 'may-have-run',
    title: 'The router failed.',
    retryable: false,
  },
} as const satisfies Readonly<Record<string, ErrorAnswer>>;

/** A kind of error. */
export type ErrorKind = keyof typeof answers;

/** The answer for each error kind. */
export const errorAnswers: Readonly<Record<ErrorKind, ErrorAnswer>> = answers;

/** A refusal or failure to be returned to the caller. */
export interface RequestError {
  readonly kind: ErrorKind;
  /** A short sentence for the caller, without secrets or addresses. */
  readonly detail: string;
  readonly retryAfterMs?: number;
}
