/** What the tasks of the relay share. */

import type {Route, Service} from '../core/routing_types.js';
import type {RequestError} from '../core/error_kinds.js';
import type {Cancellation, RelayRequest} from '../ports/relay.js';
import type {AdmittedAccount} from './accounts/account_admission.js';
import type {Caller, RequestEnd} from './front/caller.js';

/** One admitted request on its way. */
export interface RelayJob {
  readonly request: RelayRequest;
  readonly route: Route;
  readonly service: Service;
  readonly caller: Caller;
  /** Ends when the caller has gone. */
  readonly cancellation: Cancellation;
  /** When the caller or the route stops waiting, whichever is first. */
  readonly deadlineAtMs: number;
  readonly admitted: AdmittedAccount;
}

/** What became of a job; one log line is written from it. */
export interface JobOutcome {
  readonly end: RequestEnd;
  /** Status towards the caller, where one was sent. */
  readonly status?: number;
  /** Why it was refused, failed or cut. */
  readonly reason?: string;
  /** Upstreams that may have run it, in order. */
  readonly upstreams: readonly string[];
  readonly waitedMs?: number;
  readonly firstByteMs?: number;
  readonly events?: number;
  /** An engine has read the prompt for it. */
  readonly wasPrefilled?: boolean;
}

/** A connection within a region is made in some 10 ms; more is a dark host. */
export const CONNECT_TIMEOUT_MS = 300;

/** The key was valid when the request was taken, and no upstream ran it. */
export const KEY_WITHDRAWN: RequestError = {
  kind: 'unauthenticated',
  detail: 'The key was withdrawn.',
};

/** Time left until `atMs`, never negative. */
export function leftMs(atMs: number, nowMs: number): number {
  return Math.max(0, atMs - nowMs);
}
