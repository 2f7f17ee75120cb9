/**
 * The port from entries to the owner of a key partition, which keeps the
 * journal of non-repeatable calls.
 */

/** An answer kept so that a repeat of the request gets the same one. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

export interface IntentRequest {
  readonly service: string;
  readonly account: string;
  readonly idempotencyKey: string;
  /** Hash of method, path and body. One key with two hashes is a conflict. */
  readonly fingerprint: string;
  readonly attemptId: string;
  /** Entry and its incarnation, `host#incarnation`. */
  readonly entry: string;
  readonly timeoutMs: number;
}

export type IntentOutcome =
  | {
      /** The intent is durable, and only this attempt may send the call. */
      readonly kind: 'proceed';
    }
  | {readonly kind: 'answered'; readonly answer: StoredAnswer}
  | {
      /** Another attempt is running; retry after `retryAfterMs`. */
      readonly kind: 'running';
      readonly retryAfterMs: number;
    }
  | {
      /** An earlier attempt was sent and its outcome is unknown. */
      readonly kind: 'outcome-unknown';
      readonly attemptId: string;
    }
  | {readonly kind: 'conflict'}
  | {
      /** The call wasn't sent and never will be under this attempt. */
      readonly kind: 'refused';
      readonly reason: 'platform' | 'not-owner' | 'overloaded';
      readonly retryAfterMs: number;
    };

export type JournalEnd =
  | {readonly kind: 'answered'; readonly answer: StoredAnswer}
  /** The call didn't run; the key is free for another attempt. */
  | {readonly kind: 'released'}
  /** The call was sent, and this entry will never learn its outcome. */
  | {readonly kind: 'outcome-unknown'};

export interface JournalPort {
  begin(request: IntentRequest): Promise<IntentOutcome>;
  /** Resolves to `true` when durable, or to `false` after a failure. */
  end(request: IntentRequest, end: JournalEnd): Promise<boolean>;
}
