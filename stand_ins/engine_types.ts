/** Types of the stand-in engine: its options, faults and statistics. */

import type {Clock} from '../src/ports/clock.js';
import type {
  EngineFailure,
  EngineRole,
  EngineSession,
  OwnerTag,
} from '../src/ports/engine.js';
import type {Random} from '../src/ports/random.js';

/** Describes KV cache transferred from a prefill engine to a decode engine. */
export interface KvExport {
  readonly kind: 'exported';
  readonly model: string;
  readonly promptHash: number;
  readonly promptTokenCount: number;
  readonly hasDecodeMarker: boolean;
  readonly kvSizeBytes: number;
}

/** A prefill engine, from which a decode engine transfers KV cache. */
export interface KvSource {
  /**
   * Resolves after the last byte; the source has then released the KV cache.
   */
  exportKv(
    kvHandle: string,
    timeoutMs: number,
  ): Promise<KvExport | EngineFailure>;
}

export interface EngineHost {
  readonly clock: Clock;
  readonly random: Random;
  /** Returns the prefill engine at `address`, or undefined if there is none. */
  kvSource(address: string): KvSource | undefined;
}

export interface EngineOptions {
  readonly engineId: string;
  readonly role: EngineRole;
  readonly models: readonly string[];
  /** Maximum number of concurrent decodes. */
  readonly slots: number;
  /**
   * Duration of a step, in which each running sequence advances by one token.
   */
  readonly stepMs: number;
  readonly kvTotalBytes: number;
  readonly kvBytesPerToken: number;
  readonly cacheBlocks: number;
  readonly prefillBaseMs: number;
  readonly prefillMsPerToken: number;
  /** How long a prefill result is kept; less than a second by default. */
  readonly prefillLifeMs: number;
  readonly linkBytesPerMs: number;
  readonly answerTokens: number;
  readonly loadLagMs: number;
  readonly checksFences: boolean;
  /** Time to apply an order. */
  readonly orderMs: number;
  /** Prompts with one of these tokens crash the engine that runs them. */
  readonly crashOnTokens: readonly number[];
  readonly crashAt: EngineRole;
  /** Time until a crashed engine restarts; 0 leaves it down. */
  readonly restartMs: number;
  /** One-way latency of in-process calls. */
  readonly latencyMs: number;
  /**
   * A stream that is silent for this long, while the engine answers on new
   * connections, counts as broken.
   */
  readonly silenceDetectMs: number;
}

const GIBIBYTE = 1024 ** 3;

/** Options of an engine of the size that the specification describes. */
export const defaultEngineOptions: EngineOptions = {
  engineId: 'engine',
  role: 'decode',
  models: ['default'],
  slots: 20,
  stepMs: 50,
  kvTotalBytes: 16 * GIBIBYTE,
  kvBytesPerToken: 400_000,
  cacheBlocks: 4_096,
  prefillBaseMs: 10,
  prefillMsPerToken: 0.5,
  prefillLifeMs: 800,
  linkBytesPerMs: 10_000_000,
  answerTokens: 300,
  loadLagMs: 0,
  checksFences: true,
  orderMs: 0,
  crashOnTokens: [],
  crashAt: 'prefill',
  restartMs: 0,
  latencyMs: 0,
  silenceDetectMs: 3_000,
};

/** Faults of an engine, beside those of its fault gate. */
export interface EngineFaults {
  /** KV transfers from this engine make no progress. */
  readonly stallTransfers: boolean;
  /** Steps and prefills take this many times as long. */
  readonly slowFactor: number;
  readonly loadLagMs: number;
  readonly cacheEventLagMs: number;
  readonly cacheEventLostShare: number;
  /** Share of token frames that are sent a second time, later. */
  readonly staleFrameShare: number;
  /** Delay before an order reaches the engine. */
  readonly orderDelayMs: number;
  readonly answerDelayMs: number;
}

/** Work that one engine did for one request. */
export interface EngineRun {
  readonly requestId: string;
  readonly prefillsStarted: number;
  readonly prefillsFinished: number;
  readonly decodesStarted: number;
  readonly tokensMade: number;
}

/** An order that the engine applied. */
export interface AppliedOrder {
  readonly orderId: string;
  readonly fence: number;
  readonly actionKind: string;
  readonly atMs: number;
}

/** State and counters of the engine, read only by tests and observers. */
export interface EngineStats {
  readonly engineId: string;
  readonly role: EngineRole;
  readonly isUp: boolean;
  readonly runs: readonly EngineRun[];
  readonly prefillsFinished: number;
  readonly prefillTokensComputed: number;
  readonly prefillTokensCached: number;
  /** Finished prefills and imports that were discarded before a first token. */
  readonly prefillsWasted: number;
  readonly prefillTokensWasted: number;
  readonly tokensMade: number;
  readonly kvUsedBytes: number;
  readonly kvPeakBytes: number;
  readonly sessions: readonly EngineSession[];
  readonly orders: readonly AppliedOrder[];
  readonly crashes: number;
  /**
   * For each refused piece of work, the time since the engine began to leave.
   */
  readonly workAfterLeavingMs: readonly number[];
}

/** Returns true if both tags identify the same attempt. */
export function isSameOwner(a: OwnerTag, b: OwnerTag): boolean {
  return (
    a.attemptId === b.attemptId &&
    a.requestId === b.requestId &&
    a.entry === b.entry
  );
}

export function failure(
  reason: EngineFailure['reason'],
  detail: string,
): EngineFailure {
  return {kind: 'failed', reason, detail};
}
