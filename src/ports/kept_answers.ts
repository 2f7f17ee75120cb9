/**
 * How entries find and read each other's keyed model answers. The index is
 * memory at the owner of the key's partition; losing it costs a read of the
 * object store or a second run, never a second answer.
 */

export interface AnswerKey {
  readonly service: string;
  readonly account: string;
  readonly idempotencyKey: string;
}

export type AnswerPlace =
  | {
      readonly kind: 'running';
      readonly fingerprint: string;
      /** Peer address of the entry that runs it. */
      readonly address: string;
    }
  | {readonly kind: 'stored'; readonly fingerprint: string}
  | {readonly kind: 'none'}
  /** The index is young or out of reach: the object store may know. */
  | {readonly kind: 'unsure'};

/** Served by the owner of a key partition, from memory. */
export interface AnswerIndexPort {
  find(key: AnswerKey, timeoutMs: number): Promise<AnswerPlace>;
  /** One-way, repeated while an answer runs; 'none' takes it back. */
  announce(key: AnswerKey, place: AnswerPlace): void;
}

export type AnswerPart =
  | {
      readonly kind: 'part';
      /** Tokens from the offset asked for; none when the wait ended. */
      readonly texts: readonly string[];
      /** Present when no token follows. */
      readonly end?: {
        readonly finishReason: 'stop' | 'length';
        readonly tokenCount: number;
      };
    }
  | {readonly kind: 'absent'}
  | {readonly kind: 'failed'};

/** Reads a running or kept answer at another entry. */
export interface AnswerPeerPort {
  read(
    address: string,
    key: AnswerKey,
    fromOffset: number,
    waitMs: number,
  ): Promise<AnswerPart>;
}
