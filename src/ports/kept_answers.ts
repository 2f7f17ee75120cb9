/**
 * Ports with which entries find and read each other's keyed model answers. The
 * index is in memory at the owner of the key's partition. Its loss may cost a
 * read of the object store or a second run, but never yields a second answer.
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
      /** Peer address of the entry that runs the request. */
      readonly address: string;
    }
  | {readonly kind: 'stored'; readonly fingerprint: string}
  | {readonly kind: 'none'}
  /** The index is new or unreachable; the object store may have the answer. */
  | {readonly kind: 'unsure'};

/** The index of answer places, at the owner of a key partition. */
export interface AnswerIndexPort {
  find(key: AnswerKey, timeoutMs: number): Promise<AnswerPlace>;
  /** One-way; repeated while an answer runs. `none` withdraws the place. */
  announce(key: AnswerKey, place: AnswerPlace): void;
}

export type AnswerPart =
  | {
      readonly kind: 'part';
      /** Tokens from the requested offset; empty if the wait timed out. */
      readonly texts: readonly string[];
      /** Present when no token follows. */
      readonly end?: {
        readonly finishReason: 'stop' | 'length';
        readonly tokenCount: number;
      };
    }
  | {readonly kind: 'absent'}
  | {readonly kind: 'failed'};

/** Reads running or finished answers at other entries. */
export interface AnswerPeerPort {
  read(
    address: string,
    key: AnswerKey,
    fromOffset: number,
    waitMs: number,
  ): Promise<AnswerPart>;
}
