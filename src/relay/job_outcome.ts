/** How a request ended, for logs and metrics. */

import type {RequestEnd} from './front/caller.js';

/** Outcome of a job, from which one log line is written. */
export interface JobOutcome {
  readonly end: RequestEnd;
  /** Status sent to the caller, if any. */
  readonly status?: number;
  /** Why the request was refused, failed or broken off. */
  readonly reason?: string;
  /** Upstreams that may have run the request, in order. */
  readonly upstreams: readonly string[];
  /** Versions of the engines that may have run a stream, in order. */
  readonly versions?: readonly string[];
  readonly waitedMs?: number;
  readonly firstByteMs?: number;
  readonly events?: number;
  /** How the last answer of a stream was delimited. */
  readonly framing?: 'framed' | 'unframed';
  /** Size of what followed the last whole event of a stream. */
  readonly restBytes?: number;
  /** Whether a prefill engine has computed the prompt. */
  readonly wasPrefilled?: boolean;
}
