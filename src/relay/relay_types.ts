/** Types, constants and helpers that the tasks of the relay share. */

import type {Route, Service} from '../core/routing_types.js';
import type {RequestError} from '../core/error_kinds.js';
import type {Cancellation, RelayRequest} from '../ports/relay.js';
import type {AdmittedAccount} from './accounts/account_admission.js';
import type {Caller} from './front/caller.js';

/** An admitted request that is being run. */
export interface RelayJob {
  readonly request: RelayRequest;
  readonly route: Route;
  readonly service: Service;
  readonly caller: Caller;
  /** Triggered when the caller disconnects. */
  readonly cancellation: Cancellation;
  /** Earlier of the caller's and the route's deadline. */
  readonly deadlineAtMs: number;
  readonly admitted: AdmittedAccount;
}

/**
 * Connecting within a region takes about 10 ms; a slower host is taken as down.
 */
export const CONNECT_TIMEOUT_MS = 300;

/** Error for a key withdrawn after admission, before any upstream ran it. */
export const KEY_WITHDRAWN: RequestError = {
  kind: 'unauthenticated',
  detail: 'The key was withdrawn.',
};

/** Returns the time left until `atMs`, never negative. */
export function leftMs(atMs: number, nowMs: number): number {
  return Math.max(0, atMs - nowMs);
}
