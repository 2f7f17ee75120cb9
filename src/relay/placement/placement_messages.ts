/** Messages between a host and the placer of its group. */

/**
 * Requests engines for a stream. Times are relative to when the message is
 * sent.
 */
export interface PlacementRequest {
  readonly kind: 'ask';
  /** Unique for each stream within one process of the requesting host. */
  readonly askId: number;
  readonly requestId: string;
  readonly service: string;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  readonly ageMs: number;
  readonly onTimeMs: number;
  readonly giveUpMs: number;
  /**
   * Expected time from the placement to the first event. `onTimeMs` and
   * `giveUpMs` are shorter by this time.
   */
  readonly startMs: number;
  readonly callerLeftMs: number;
  /**
   * 0 is the most urgent. Absent if it is the least urgent of the service's
   * routes, or the sender does not know priorities.
   */
  readonly priority?: number;
  /** Client account of the caller. */
  readonly account?: string;
  /** Set if only engines of this software version may run the stream. */
  readonly version?: string;
}

export type PlacementAnswer =
  /** The request waits in the queue. */
  | {readonly kind: 'queued'; readonly askId: number}
  | {
      readonly kind: 'placed';
      readonly askId: number;
      readonly decode: string;
      readonly prefill?: string;
    }
  | {
      readonly kind: 'refused';
      readonly askId: number;
      readonly detail: string;
      readonly retryAfterMs?: number;
    };

/** The caller has left, or the requesting host has found engines elsewhere. */
export interface PlacementWithdrawal {
  readonly kind: 'withdraw';
  readonly askId: number;
}

export type PlacementMessage =
  PlacementRequest | PlacementAnswer | PlacementWithdrawal;
