/**
 * The caller of one request, as the code that runs the request uses it.
 */

import type {RequestError} from '../../core/error_kinds.js';
import type {RawHeaders} from '../../ports/relay.js';
import type {AnswerShape} from './pipeline.js';

export interface Caller {
  /** Says how the request is answered, once that is known. */
  noteShape(shape: AnswerShape): void;
  /**
   * Sends the status and headers of an upstream's answer. If they can't be
   * written, the caller gets an error and the request is cancelled.
   */
  begin(status: number, headers: RawHeaders, bodyLength?: number): void;
  /** Returns false if the caller should first wait for `onWritable`. */
  write(bytes: Buffer): boolean;
  /** Completes the answer. */
  end(): void;
  /** Closes the connection, so that the caller sees an incomplete answer. */
  cut(): void;
  /**
   * Answers with an error of the relay; only allowed before `begin`, or while
   * the answer is replaceable.
   */
  refuse(error: RequestError): void;
  /** Whether requests may wait on the connection for the end of the answer. */
  readonly isPipelined: boolean;
  readonly hasBegun: boolean;
  /**
   * Whether an answer that has begun isn't whole, and nothing of it has been
   * sent, as it waits for the answers ahead of it on the connection.
   */
  readonly isReplaceable: boolean;
  /**
   * Calls `listener` if the connection closes before the answer is complete.
   */
  onDisconnect(listener: () => void): void;
  onWritable(listener: () => void): void;
}

/** Outcome of a request, for logs and metrics. */
export type RequestEnd =
  'answered' | 'refused' | 'failed' | 'cut' | 'caller-gone';
