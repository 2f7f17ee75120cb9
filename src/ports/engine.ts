/**
 * The port to model engines. An adapter implements it for the protocol of an
 * engine, so a change of the protocol affects only the adapter.
 */

/** Identifies the owner of a session. Engines store it as an opaque tag. */
export interface OwnerTag {
  /** Entry and its incarnation, `host#incarnation`. */
  readonly entry: string;
  readonly requestId: string;
  /** One run of the request; a resumed stream is a new attempt. */
  readonly attemptId: string;
}

export type EngineRole = 'prefill' | 'decode';

/** Why an engine call failed, which also tells whether it may have run. */
export interface EngineFailure {
  readonly kind: 'failed';
  readonly reason:
    | 'refused' // The engine refused the call and holds no session.
    | 'no-capacity' // Refused for lack of slots or memory.
    | 'leaving' // Refused because the engine is leaving.
    | 'unreachable' // No connection was made; nothing was sent.
    | 'broken' // The connection broke or went silent after sending.
    | 'timeout'
    | 'cancelled'
    | 'expired'; // The prefill result or the reservation has expired.
  readonly detail: string;
}

export interface PrefillCall {
  readonly owner: OwnerTag;
  readonly model: string;
  /** Token ids of the prompt; for the stand-ins one hash for each word. */
  readonly promptTokens: readonly number[];
  readonly priority: number;
  readonly timeoutMs: number;
}

export interface PrefillResult {
  readonly kind: 'prefilled';
  /** Identifies the exported KV cache at the prefill engine. */
  readonly kvHandle: string;
  readonly kvSizeBytes: number;
  /** Number of tokens found in the prefix cache and not computed. */
  readonly cachedTokens: number;
  /** The engine drops the result after this time. */
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
  /** Identifies the imported KV cache for the decode call. */
  readonly sessionId: string;
}

export interface DecodeCall {
  readonly owner: OwnerTag;
  readonly sessionId: string;
  readonly maxTokens: number;
  /** Offset of the first token to send; above 0 for a resumed stream. */
  readonly fromOffset: number;
  readonly priority: number;
}

/** An event of a decode stream. Offsets count tokens of the answer from 0. */
export type DecodeEvent =
  | {
      readonly kind: 'tokens';
      readonly requestId: string;
      readonly attemptId: string;
      readonly offset: number;
      /** One text for each token. */
      readonly texts: readonly string[];
    }
  | {
      readonly kind: 'end';
      readonly requestId: string;
      readonly attemptId: string;
      /** Number of tokens of the whole answer. */
      readonly tokenCount: number;
      readonly finishReason: 'stop' | 'length';
    }
  | {
      readonly kind: 'cut';
      readonly requestId: string;
      readonly attemptId: string;
      readonly failure: EngineFailure;
    };

/** A session held by an engine. */
export interface EngineSession {
  readonly owner: OwnerTag;
  readonly kind: 'prefill-result' | 'import' | 'decode';
  readonly kvSizeBytes: number;
  readonly ageMs: number;
}

/** A lagging report of an engine's load. */
export interface EngineLoadReport {
  readonly engineId: string;
  readonly role: EngineRole;
  readonly models: readonly string[];
  /** Increases with each report, so older reports can be ignored. */
  readonly sequence: number;
  readonly slotsTotal: number;
  readonly slotsUsed: number;
  readonly kvTotalBytes: number;
  readonly kvUsedBytes: number;
  readonly queuedTokens: number;
  readonly leaving: boolean;
}

/** A change of an engine's prefix cache. Events may be late or missing. */
export interface CacheEvent {
  readonly engineId: string;
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted' | 'cleared';
  /** Hashes of prompt prefixes of whole token blocks. */
  readonly prefixHashes: readonly string[];
}

/** An order to an engine. */
export interface EngineOrder {
  readonly orderId: string;
  /** Engines that check fences refuse orders with a lower fence. */
  readonly fence: number;
  /** The engine must not start the order after this time from its sending. */
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
  /** Sent to the decode engine, which pulls from the prefill engine. */
  importKv(call: ImportCall): Promise<ImportResult | EngineFailure>;
  /**
   * Starts a decode. `sink` receives the events in order and, as the last one,
   * exactly one `end` or `cut`. After `cancel` of the handle, `cut` follows.
   */
  decode(call: DecodeCall, sink: (event: DecodeEvent) => void): DecodeHandle;
  /** Frees all sessions of the attempt, whatever their step. */
  cancel(
    owner: OwnerTag,
    timeoutMs: number,
  ): Promise<'released' | EngineFailure>;
  sessions(
    timeoutMs: number,
  ): Promise<readonly EngineSession[] | EngineFailure>;
  load(timeoutMs: number): Promise<EngineLoadReport | EngineFailure>;
  /** Events after `afterSequence`; a gap in sequences means missing events. */
  cacheEvents(
    afterSequence: number,
    timeoutMs: number,
  ): Promise<readonly CacheEvent[] | EngineFailure>;
  order(order: EngineOrder, timeoutMs: number): Promise<OrderOutcome>;
  /** Makes a round trip on a new connection. */
  probe(timeoutMs: number): Promise<'alive' | EngineFailure>;
}

export interface DecodeHandle {
  cancel(): void;
}

/** Creates the port for the engine at `address` (`ip:port`). */
export type EnginePortFactory = (address: string) => EnginePort;
