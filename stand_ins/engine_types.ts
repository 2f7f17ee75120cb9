/** Options, faults and books of the stand-in engine. */

import type {Clock} from '../src/ports/clock.js';
import type {
  EngineFailure,
  EngineRole,
  EngineSession,
  OwnerTag,
} from '../src/ports/engine.js';
import type {Random} from '../src/ports/random.js';

/** KV cache on its way from a prefill engine to a decode engine. */
export interface KvExport {
  readonly kind: 'exported';
  readonly model: string;
  readonly promptHash: number;
  readonly promptTokenCount: number;
  readonly hasDecodeMarker: boolean;
  readonly kvSizeBytes: number;
}

/** What a decode engine pulls KV cache from. */
export interface KvSource {
  /** Resolves when the last byte is over; the source then holds no more. */
  exportKv(
    kvHandle: string,
    timeoutMs: number,
  ): Promise<KvExport | EngineFailure>;
}

export interface EngineHost {
  readonly clock: Clock;
  readonly random: Random;
  /** Finds the prefill engine at an address. */
  kvSource(address: string): KvSource | undefined;
}

export interface EngineOptions {
  readonly engineId: string;
  readonly role: EngineRole;
  readonly models: readonly string[];
  /** Decodes that run at once. */
  readonly slots: number;
  /** Time in which each running sequence advances by one token. */
  readonly stepMs: number;
  readonly kvTotalBytes: number;
  readonly kvBytesPerToken: number;
  readonly cacheBlocks: number;
  readonly prefillBaseMs: number;
  readonly prefillMsPerToken: number;
  /** How long a prefill result is kept; under a second. */
  readonly prefillLifeMs: number;
  readonly linkBytesPerMs: number;
  readonly answerTokens: number;
  readonly loadLagMs: number;
  readonly checksFences: boolean;
  /** Time to carry out an order. */
  readonly orderMs: number;
  /** Prompts with one of these tokens crash the engine that runs them. */
  readonly crashOnTokens: readonly number[];
  readonly crashAt: EngineRole;
  /** An engine that crashed comes back after this long; 0: it stays down. */
  readonly restartMs: number;
  /** One way, for calls in process. */
  readonly latencyMs: number;
  /** After this long without a sign of life a stream is given up as broken. */
  readonly silenceDetectMs: number;
}

const GIBIBYTE = 1024 ** 3;

/** An engine of the size the brief tells of. */
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

/** Faults of an engine beyond those of its gate; a patch may name a few. */
export interface EngineFaults {
  /** Transfers out of this engine make no progress. */
  readonly stallTransfers: boolean;
  /** Steps and prefills take this many times as long. */
  readonly slowFactor: number;
  readonly loadLagMs: number;
  readonly cacheEventLagMs: number;
  readonly cacheEventLostShare: number;
  /** Share of token frames sent once more, later. */
  readonly staleFrameShare: number;
  /** Orders wait this long on their way before the engine sees them. */
  readonly orderDelayMs: number;
  readonly answerDelayMs: number;
}

/** What one engine did for one request. */
export interface EngineRun {
  readonly requestId: string;
  readonly prefillsStarted: number;
  readonly prefillsFinished: number;
  readonly decodesStarted: number;
  readonly tokensMade: number;
}

/** An order that the engine carried out. */
export interface AppliedOrder {
  readonly orderId: string;
  readonly fence: number;
  readonly actionKind: string;
  readonly atMs: number;
}

/** What the engine did and holds, for observers; no product code sees it. */
export interface EngineBooks {
  readonly engineId: string;
  readonly role: EngineRole;
  readonly isUp: boolean;
  readonly runs: readonly EngineRun[];
  readonly prefillsFinished: number;
  readonly prefillTokensComputed: number;
  readonly prefillTokensCached: number;
  /** Finished prefills and imports thrown away before a first token. */
  readonly prefillsWasted: number;
  readonly prefillTokensWasted: number;
  readonly tokensMade: number;
  readonly kvUsedBytes: number;
  readonly kvPeakBytes: number;
  readonly sessions: readonly EngineSession[];
  readonly orders: readonly AppliedOrder[];
  readonly crashes: number;
  /** For each piece of work refused since the engine leaves: how long after. */
  readonly workAfterLeavingMs: readonly number[];
}

/** True if both name the same attempt. */
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
