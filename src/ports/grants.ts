/**
 * What an entry asks of a shard home: the right to use slots, memory and link
 * rate of engines that the home alone hands out.
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
  /** Time left until the first token must be out. */
  readonly ttftLeftMs: number;
  /** Time left until the whole answer must be out. */
  readonly waitLeftMs: number;
  /** Tokens already delivered, when a cut stream is resumed. */
  readonly resumeOffset: number;
  /**
   * Engines where an earlier run of this request failed; given again only
   * when there is no other.
   */
  readonly avoidEngineIds?: readonly string[];
}

/** Both engines are promised from the moment the grant is given. */
export interface Grant {
  readonly kind: 'granted';
  readonly grantId: string;
  readonly homeEpoch: number;
  readonly prefillEngineId: string;
  readonly prefillAddress: string;
  readonly decodeEngineId: string;
  readonly decodeAddress: string;
  /** The grant lapses unless used or renewed within this time. */
  readonly lifeMs: number;
  /** How long to wait before the prefill starts. */
  readonly startInMs: number;
}

export interface GrantRefusal {
  readonly kind: 'refused';
  readonly reason:
    | 'not-feasible' // Cannot be served within the targets.
    | 'account-limit'
    | 'queue-full'
    | 'no-engine'
    | 'home-moved'
    | 'unreachable'
    | 'cancelled';
  readonly retryAfterMs: number;
}

/** Where a granted request stands; the home's books follow it. */
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
      /** The engine to blame, when an engine failed. */
      readonly failedEngineId?: string;
      readonly tokensDelivered: number;
      /** True if a prefill was computed and then thrown away. */
      readonly prefillWasted: boolean;
    };

export interface GrantPort {
  /** Waits in the home's queue; `signal` gives the place up. */
  request(
    request: GrantRequest,
    signal: AbortSignal,
  ): Promise<Grant | GrantRefusal>;
  /** One-way; repeated reports of the same step do no harm. */
  report(grant: Grant, progress: GrantProgress): void;
}
