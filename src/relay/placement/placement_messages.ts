/** What an entry and the host that places for its group tell each other. */

/** A stream that needs engines. Times count from when it was sent. */
export interface PlacementAsk {
  readonly kind: 'ask';
  /** New for each stream of the asking host's life. */
  readonly askId: number;
  readonly requestId: string;
  readonly service: string;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  readonly ageMs: number;
  readonly onTimeMs: number;
  readonly giveUpMs: number;
  /** What the two times above allow for the start on the engines. */
  readonly startMs: number;
  readonly callerLeftMs: number;
}

export type PlacementAnswer =
  /** It waits in the queue. */
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

/** The caller has gone, or the entry has found engines elsewhere. */
export interface PlacementWithdrawal {
  readonly kind: 'withdraw';
  readonly askId: number;
}

export type PlacementMessage =
  PlacementAsk | PlacementAnswer | PlacementWithdrawal;
