/**
 * What an entry asks of the owner of a key partition, for requests that may
 * not be repeated.
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
  /** Hash of method, path and body; another one under the key is a conflict. */
  readonly fingerprint: string;
  readonly attemptId: string;
  /** Entry host and incarnation, `host#incarnation`. */
  readonly entry: string;
  readonly timeoutMs: number;
}

export type IntentOutcome =
  | {
      /** The intent is durable; this attempt, and no other, may dispatch. */
      readonly kind: 'proceed';
    }
  | {readonly kind: 'answered'; readonly answer: StoredAnswer}
  | {
      /** Another attempt runs now; ask again after `retryAfterMs`. */
      readonly kind: 'running';
      readonly retryAfterMs: number;
    }
  | {
      /** An earlier attempt was dispatched and its end is not known. */
      readonly kind: 'outcome-unknown';
      readonly attemptId: string;
    }
  | {readonly kind: 'conflict'}
  | {
      /** Certainly not dispatched and never will be under this attempt. */
      readonly kind: 'refused';
      readonly reason: 'platform' | 'not-owner' | 'overloaded';
      readonly retryAfterMs: number;
    };

export type JournalEnd =
  | {readonly kind: 'answered'; readonly answer: StoredAnswer}
  /** Certainly not run: the key is free for another attempt. */
  | {readonly kind: 'released'}
  /** Dispatched, and the end will never be known by this entry. */
  | {readonly kind: 'outcome-unknown'};

export interface JournalPort {
  begin(request: IntentRequest): Promise<IntentOutcome>;
  /** Resolves once durable, or `false` when given up. */
  end(request: IntentRequest, end: JournalEnd): Promise<boolean>;
}
