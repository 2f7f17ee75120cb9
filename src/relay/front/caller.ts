/** The caller's side of one request, as the tasks that run it see it. */

import type {RequestError} from '../../core/error_kinds.js';
import type {RawHeaders} from '../../ports/relay.js';

export interface Caller {
  /** Begins the answer of an upstream. */
  begin(status: number, headers: RawHeaders, bodyLength?: number): void;
  /** False when the caller reads slowly; `onWritable` tells when to go on. */
  write(bytes: Buffer): boolean;
  /** The answer is whole. */
  end(): void;
  /** Ends the connection so that the answer shows as incomplete. */
  cut(): void;
  /** Answers with an error of our own; only before `begin`. */
  refuse(error: RequestError): void;
  readonly hasBegun: boolean;
  /** The caller's connection closed before the answer was whole. */
  onGone(listener: () => void): void;
  onWritable(listener: () => void): void;
}

/** How a request ended, for logs and metrics. */
export type RequestEnd =
  'answered' | 'refused' | 'failed' | 'cut' | 'caller-gone';
