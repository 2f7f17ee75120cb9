/** What a stream needs of its engines, and where it was placed. */

import type {RequestError} from '../../core/error_kinds.js';
import type {Service} from '../../core/routing_types.js';
import type {Upstream} from '../../core/upstream.js';
import type {DecodeRun} from './engine_loads.js';
import type {TokenNeed} from './placement_rules.js';
import type {Waiting} from './wait_rules.js';

export interface StreamNeed extends TokenNeed {
  readonly requestId: string;
  readonly service: Service;
  readonly waiting: Waiting;
  /** Client account of the caller. */
  readonly account?: string;
  /** Set if only engines of this software version may run the stream. */
  readonly version?: string;
  /**
   * Expected time from the placement to the first event. The latest starts in
   * `waiting` are earlier by this time.
   */
  readonly startMs: number;
  /** How much longer the caller will wait. */
  readonly callerLeftMs: number;
}

export interface Placement {
  readonly kind: 'placed';
  readonly decode: Upstream;
  /** Absent when the decode engine prefills the prompt itself. */
  readonly prefill?: Upstream;
  readonly run: DecodeRun;
  /** Counts the prompt in the backlog of its prefill engine until it ends. */
  readonly prefillReservation: PrefillReservation;
}

/** The reservation of one prompt in the backlog of an engine. */
export interface PrefillReservation {
  readonly engineId: string;
  /**
   * Whether the engine has had no other prompt since the reservation, as far as
   * is known.
   */
  isUncontended(): boolean;
  /** Tokens in the backlog of the engine, this prompt included. */
  backlogTokens(): number;
  /** Ends the reservation; later calls do nothing. */
  end(): void;
}

export type PlacementOutcome =
  | Placement
  | {readonly kind: 'refused'; readonly error: RequestError}
  | {readonly kind: 'cancelled'};

/** A waiting request as it is announced to the peers. */
export interface WaitingRequest {
  readonly service: string;
  readonly waiting: Waiting;
}
