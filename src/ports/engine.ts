/**
 * Model engines, as the product needs them. One adapter meets an engine's own
 * protocol; only that adapter changes when the protocol does.
 */

/** Who holds something at an engine. An engine keeps it as an opaque tag. */
export interface OwnerTag {
  /** Entry host and its incarnation, `host#incarnation`. */
  readonly entry: string;
  readonly requestId: string;
  /** One run of the request; a resumed stream is a new attempt. */
  readonly attemptId: string;
}

export type EngineRole = 'prefill' | 'decode';

/** Why an engine call failed, and whether it may have been run. */
export interface EngineFailure {
  readonly kind: 'failed';
  readonly reason:
    | 'refused' // The engine answered that it will not; nothing is held.
    | 'no-capacity' // As above, for lack of slots or memory.
    | 'leaving' // As above, since the engine is leaving.
    | 'unreachable' // No connection; nothing was sent.
    | 'broken' // The connection broke or went silent after sending.
    | 'timeout'
    | 'cancelled'
    | 'expired'; // The prefill result or reservation is gone.
  readonly detail: string;
}

export interface PrefillCall {
  readonly owner: OwnerTag;
  readonly model: string;
  /** Prompt as token ids; the stand-ins use a word hash for each word. */
  readonly promptTokens: readonly number[];
  readonly priority: number;
  readonly timeoutMs: number;
}

export interface PrefillResult {
  readonly kind: 'prefilled';
  /** Names the exported KV cache at the prefill engine. */
  readonly kvHandle: string;
  readonly kvSizeBytes: number;
  /** Tokens found in the prefix cache and not computed again. */
  readonly cachedTokens: number;
  /** The result is dropped this long after it was made. */
  readonly lifeMs: number;
}

export interface ImportCall {
  readonly owner: OwnerTag;
  /** Address of the prefill engine that exports the KV cache. */
  readonly fromAddress: string;
  readonly kvHandle: string;
  readonly kvSizeBytes: number;
  readonly timeoutMs: number;
}

export interface ImportResult {
  readonly kind: 'imported';
  /** Names the imported KV cache; decode starts from it. */
  readonly sessionId: string;
}

export interface DecodeCall {
  readonly owner: OwnerTag;
  readonly sessionId: string;
  readonly maxTokens: number;
  /** First offset wanted: 0, or where an earlier attempt was cut. */
  readonly fromOffset: number;
  readonly priority: number;
}

/** What a decode stream brings. Offsets count tokens of the answer from 0. */
export type DecodeEvent =
  | {
      readonly kind: 'tokens';
      readonly requestId: string;
      readonly attemptId: string;
      readonly offset: number;
      /** One text a token. */
      readonly texts: readonly string[];
    }
  | {
      readonly kind: 'end';
      readonly requestId: string;
      readonly attemptId: string;
      /** How many tokens the whole answer has. */
      readonly tokenCount: number;
      readonly finishReason: 'stop' | 'length';
    }
  | {
      readonly kind: 'cut';
      readonly requestId: string;
      readonly attemptId: string;
      readonly failure: EngineFailure;
    };

/** A session that an engine holds, for the sweep. */
export interface EngineSession {
  readonly owner: OwnerTag;
  readonly kind: 'prefill-result' | 'import' | 'decode';
  readonly kvSizeBytes: number;
  readonly ageMs: number;
}

/** Load as an engine reports it; it lags. */
export interface EngineLoadReport {
  readonly engineId: string;
  readonly role: EngineRole;
  readonly models: readonly string[];
  /** Counts up; an older report never replaces a newer one. */
  readonly sequence: number;
  readonly slotsTotal: number;
  readonly slotsUsed: number;
  readonly kvTotalBytes: number;
  readonly kvUsedBytes: number;
  readonly queuedTokens: number;
  readonly leaving: boolean;
}

/** Change of an engine's prefix cache; late, and some are missing. */
export interface CacheEvent {
  readonly engineId: string;
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted' | 'cleared';
  /** Hash of a prompt prefix, by whole blocks of tokens. */
  readonly prefixHashes: readonly string[];
}

/** An order to an engine. */
export interface EngineOrder {
  readonly orderId: string;
  /** Engines that check fences refuse an order with an older one. */
  readonly fence: number;
  /** The engine must not start the order later than this after sending. */
  readonly lifeMs: number;
  readonly action:
    | {
        readonly kind: 'load-model';
        readonly model: string;
        readonly version: string;
      }
    | {readonly kind: 'load-adapter'; readonly adapter: string}
    | {readonly kind: 'change-role'; readonly role: EngineRole};
}

export type OrderOutcome =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'fenced'; readonly highestFence: number}
  | EngineFailure;

/** Calls to one model engine. */
export interface EnginePort {
  prefill(call: PrefillCall): Promise<PrefillResult | EngineFailure>;
  /** Told to the decode engine, which pulls from the prefill engine. */
  importKv(call: ImportCall): Promise<ImportResult | EngineFailure>;
  /**
   * Starts a decode; events come to `sink` in order, the last one `end` or
   * `cut`, exactly once. The handle's `cancel` stops it; `cut` follows.
   */
  decode(call: DecodeCall, sink: (event: DecodeEvent) => void): DecodeHandle;
  /** Frees all that the engine holds for this attempt, in any step. */
  cancel(
    owner: OwnerTag,
    timeoutMs: number,
  ): Promise<'released' | EngineFailure>;
  sessions(
    timeoutMs: number,
  ): Promise<readonly EngineSession[] | EngineFailure>;
  load(timeoutMs: number): Promise<EngineLoadReport | EngineFailure>;
  /** Cache events after `sequence`; a jump in sequences is a gap. */
  cacheEvents(
    afterSequence: number,
    timeoutMs: number,
  ): Promise<readonly CacheEvent[] | EngineFailure>;
  order(order: EngineOrder, timeoutMs: number): Promise<OrderOutcome>;
  /** A round trip on a fresh connection. */
  probe(timeoutMs: number): Promise<'alive' | EngineFailure>;
}

export interface DecodeHandle {
  cancel(): void;
}

/** Makes the port for an engine at `address` (`ip:port`). */
export type EnginePortFactory = (address: string) => EnginePort;
