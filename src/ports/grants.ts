/**
 * The port from entries to shard homes. A home alone grants the slots, memory
 * and link rate of its shard's engines.
 */

import type {OwnerTag} from './engine.js';

export type RequestClass = 'interactive' | 'patient';

export interface GrantRequest {
  readonly owner: OwnerTag;
  readonly service: string;
  readonly account: string;
  readonly requestClass: RequestClass;
  readonly promptTokenCount: number;
  readonly maxTokens: number;
  /** Hashes of the prompt's prefixes, shortest first. */
  readonly prefixHashes: readonly string[];
  /** Time left until the first token must be delivered. */
  readonly ttftLeftMs: number;
  /** Time left until the whole answer must be delivered. */
  readonly waitLeftMs: number;
  /** Number of tokens already delivered if a stream is resumed, else 0. */
  readonly resumeOffset: number;
  /**
   * Engines where an earlier run of this request failed. They are granted only
   * if there are no others.
   */
  readonly avoidEngineIds?: readonly string[];
}

/** A grant reserves both engines from the moment it is given. */
export interface Grant {
  readonly kind: 'granted';
  readonly grantId: string;
  readonly homeEpoch: number;
  readonly prefillEngineId: string;
  readonly prefillAddress: string;
  readonly decodeEngineId: string;
  readonly decodeAddress: string;
  /** The grant expires unless used or renewed within this time. */
  readonly lifeMs: number;
  /** How long to wait before the prefill starts. */
  readonly startInMs: number;
}

export interface GrantRefusal {
  readonly kind: 'refused';
  readonly reason:
    | 'not-feasible' // The targets can't be met.
    | 'account-limit'
    | 'queue-full'
    | 'no-engine'
    | 'home-moved'
    | 'unreachable'
    | 'cancelled';
  readonly retryAfterMs: number;
}

/** Progress of a granted request, from which its home updates its records. */
export type GrantProgress =
  | {readonly kind: 'prefill-started'}
  | {
      readonly kind: 'prefill-done';
      readonly kvSizeBytes: number;
      readonly cachedTokens: number;
    }
  | {readonly kind: 'decode-started'}
  | {readonly kind: 'renew'; readonly tokensDelivered: number}
  | {
      readonly kind: 'ended';
      readonly result: 'whole' | 'cancelled' | 'failed';
      /** The engine that failed, if any. */
      readonly failedEngineId?: string;
      readonly tokensDelivered: number;
      /** Whether a prefill was computed and then discarded. */
      readonly prefillWasted: boolean;
    };

export interface GrantPort {
  /** Waits in the home's queue for a grant; `signal` cancels the wait. */
  request(
    request: GrantRequest,
    signal: AbortSignal,
  ): Promise<Grant | GrantRefusal>;
  /** One-way and idempotent for each step. */
  report(grant: Grant, progress: GrantProgress): void;
}
