/** The start of a stream's run, and the run that follows a silent one. */

import type {RequestError} from '../../core/error_kinds.js';
import type {UpstreamAnswer} from '../../ports/relay.js';
import type {Placement} from '../placement/placement_types.js';
import type {Departure, RunWatch} from '../silence/run_watch.js';
import type {StreamState} from './stream_state.js';

export interface StreamStart {
  /** Resolves when the head of an answer has arrived or the start failed. */
  start(state: StreamState, options?: StartOptions): Promise<StartOutcome>;
  /**
   * Books other engines for the request, none of those to avoid; returns false
   * if none has room.
   */
  placeElsewhere(state: StreamState, avoid?: ReadonlySet<string>): boolean;
  /** Replaces the booked engines. */
  moveTo(state: StreamState, next: Placement): void;
  /** Has the prefill engine free a prefill result that isn't needed anymore. */
  releasePrefillResult(state: StreamState): void;
  /** Ends the bookings of the engines. */
  releaseBookings(state: StreamState): void;
}

export type FailedStart = Extract<StartOutcome, {kind: 'failed'}>;

export type StartOutcome =
  | {
      readonly kind: 'streaming';
      readonly answer: UpstreamAnswer;
      readonly watch?: RunWatch<Successor>;
    }
  | Left
  | {
      readonly kind: 'failed';
      readonly error: RequestError;
      /** Whether an engine may have run the request. */
      readonly mayHaveRun: boolean;
      /** The retries of the service are used up. */
      readonly lacksRetry?: boolean;
    }
  | {readonly kind: 'cancelled'};

/** The run was left before the head of an answer. */
export interface Left {
  readonly kind: 'left';
  readonly departure: Departure<Successor>;
}

export interface StartOptions {
  /** Maximum number of sends in one start. */
  readonly maxSends?: number;
  /** Asked before each send; the start is cancelled if it is not wanted. */
  isWanted?(): boolean;
  /** Called with each send. */
  onSent?(): void;
}

/** A run that follows a silent one. */
export interface Successor {
  /** The state of the stream from now on. */
  readonly next: StreamState;
  /** Settles when an engine has answered the run, or all have refused it. */
  readonly started: Promise<StartOutcome>;
}
