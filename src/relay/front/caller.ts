/**
 * The caller of one request, as the code that runs the request uses it.
 */

import type {RequestError} from '../../core/error_kinds.js';
import type {RawHeaders} from '../../ports/relay.js';

export interface Caller {
  /** Sends the status and headers of an upstream's answer. */
  begin(status: number, headers: RawHeaders, bodyLength?: number): void;
  /** Returns false if the caller should first wait for `onWritable`. */
  write(bytes: Buffer): boolean;
  /** Completes the answer. */
  end(): void;
  /** Closes the connection, so that the caller sees an incomplete answer. */
  cut(): void;
  /** Answers with an error of the relay; only allowed before `begin`. */
  refuse(error: RequestError): void;
  readonly hasBegun: boolean;
  /**
   * Calls `listener` if the connection closes before the answer is complete.
   */
  onDisconnect(listener: () => void): void;
  onWritable(listener: () => void): void;
}

/** Outcome of a request, for logs and metrics. */
export type RequestEnd =
  'answered' | 'refused' | 'failed' | 'cut' | 'caller-gone';
