/**
 * Fake engines for simulations: a prefill engine that processes a queue, a
 * decode engine that advances its whole batch in steps, and links that carry
 * one transfer at a time.
 */

import type {Clock, TimerHandle} from '../../src/ports/clock.js';
import type {CacheEvent, EngineLoadReport} from '../../src/ports/engine.js';
import {BLOCK_TOKENS} from './workload.js';

/** Performance figures of the machine that all fakes imitate. */
export const ENGINE = {
  prefillOverheadMs: 8,
  prefillTokensPerMs: 25,
  kvBytesPerToken: 160_000,
  decodeSlots: 20,
  prefillQueueSlots: 32,
  stepBaseMs: 30,
  stepPerRequestMs: 1,
  linkBytesPerMs: 12_500_000,
  prefillResultLifetimeMs: 800,
  /** Prompt tokens that the prefix cache of a prefill engine holds. */
  cacheTokens: 200_000,
} as const;

export interface PrefillJob {
  readonly requestId: string;
  readonly promptTokens: number;
  readonly prefixHashes: readonly string[];
  /** Called once, unless the engine dies or the job is cancelled. */
  readonly onDone: (cachedTokens: number) => void;
  readonly onDeath: () => void;
}

export interface PrefillFake {
  readonly engineId: string;
  submit(job: PrefillJob): void;
  /** Returns the number of tokens that were computed in vain. */
  cancel(requestId: string): number;
  /** Time at which the outgoing link finishes its last transfer. */
  linkFreeAtMs: number;
  die(): void;
  revive(): void;
  isAlive(): boolean;
  report(sequence: number): EngineLoadReport;
  takeCacheEvents(): CacheEvent[];
  slowness: number;
  queuedTokens(): number;
}

export function createPrefillFake(
  clock: Clock,
  engineId: string,
  kvBytes: number,
): PrefillFake {
  const queue: PrefillJob[] = [];
  const cache = new Set<string>();
  let running: PrefillJob | undefined;
  let runningSinceMs = 0;
  let runningCachedTokens = 0;
  let timer: TimerHandle | undefined;
  let isEngineAlive = true;
  let events: CacheEvent[] = [];
  let sequence = 0;

  function cachedTokens(job: PrefillJob): number {
    let blocks = 0;
    while (
      blocks < job.prefixHashes.length &&
      cache.has(job.prefixHashes[blocks])
    ) {
      blocks++;
    }
    return blocks * BLOCK_TOKENS;
  }

  function store(hashes: readonly string[]): void {
    const stored: string[] = [];
    for (const hash of hashes) {
      if (!cache.delete(hash)) stored.push(hash);
      cache.add(hash);
    }
    const evicted: string[] = [];
    for (const oldest of cache) {
      if (cache.size * BLOCK_TOKENS <= ENGINE.cacheTokens) break;
      cache.delete(oldest);
      evicted.push(oldest);
    }
    pushEvent('stored', stored);
    pushEvent('evicted', evicted);
  }

  function pushEvent(kind: CacheEvent['kind'], prefixHashes: string[]): void {
    if (prefixHashes.length === 0) return;
    sequence++;
    events.push({engineId, sequence, kind, prefixHashes});
  }

  function startNextJob(): void {
    running = queue.shift();
    if (!running) return;
    const job = running;
    runningSinceMs = clock.nowMs();
    runningCachedTokens = cachedTokens(job);
    const tokens = job.promptTokens - runningCachedTokens;
    const tookMs =
      (ENGINE.prefillOverheadMs + tokens / ENGINE.prefillTokensPerMs) *
      fake.slowness;
    timer = clock.setTimer(tookMs, () => {
      running = undefined;
      store(job.prefixHashes);
      job.onDone(runningCachedTokens);
      if (!running) startNextJob();
    });
  }

  const fake: PrefillFake = {
    engineId,
    linkFreeAtMs: 0,
    slowness: 1,
    submit(job) {
      if (!isEngineAlive) {
        job.onDeath();
        return;
      }
      queue.push(job);
      if (!running) startNextJob();
    },
    cancel(requestId) {
      const index = queue.findIndex(job => job.requestId === requestId);
      if (index >= 0) queue.splice(index, 1);
      if (running?.requestId !== requestId) return 0;
      if (timer) clock.clearTimer(timer);
      const elapsedMs = clock.nowMs() - runningSinceMs;
      const tokens = Math.min(
        running.promptTokens - runningCachedTokens,
        (elapsedMs * ENGINE.prefillTokensPerMs) / fake.slowness,
      );
      startNextJob();
      return tokens;
    },
    die() {
      isEngineAlive = false;
      if (timer) clock.clearTimer(timer);
      const interrupted = running ? [running, ...queue] : [...queue];
      running = undefined;
      queue.length = 0;
      cache.clear();
      for (const job of interrupted) job.onDeath();
    },
    revive() {
      isEngineAlive = true;
    },
    isAlive: () => isEngineAlive,
    queuedTokens: () =>
      queue.reduce(
        (sum, job) => sum + job.promptTokens,
        running ? running.promptTokens : 0,
      ),
    report: reportSequence => ({
      engineId,
      role: 'prefill',
      models: [],
      sequence: reportSequence,
      slotsTotal: ENGINE.prefillQueueSlots,
      slotsUsed: queue.length + (running ? 1 : 0),
      kvTotalBytes: kvBytes,
      kvUsedBytes: 0,
      queuedTokens: fake.queuedTokens(),
      leaving: false,
    }),
    takeCacheEvents() {
      const taken = events;
      events = [];
      return taken;
    },
  };
  return fake;
}

export interface DecodeSession {
  readonly requestId: string;
  readonly kvBytes: number;
  readonly answerTokens: number;
  /** Answer tokens so far, including those of earlier engines. */
  tokens: number;
  readonly onToken: (count: number, intervalMs: number) => void;
  readonly onEnd: () => void;
  readonly onDeath: () => void;
}

export interface DecodeFake {
  readonly engineId: string;
  /** Reserves a slot and memory for an import; false without free capacity. */
  reserve(requestId: string, kvBytes: number): boolean;
  start(session: DecodeSession): void;
  cancel(requestId: string): void;
  linkFreeAtMs: number;
  die(): void;
  revive(): void;
  isAlive(): boolean;
  report(sequence: number): EngineLoadReport;
  slowness: number;
  usedSlots(): number;
  /** Number of imports refused for lack of a slot or memory. */
  refusedImports(): number;
  /** Time for which slots were reserved so far, summed over all slots. */
  busySlotMs(): number;
}

export function createDecodeFake(
  clock: Clock,
  engineId: string,
  kvBytes: number,
): DecodeFake {
  const reserved = new Map<string, number>();
  const sessions = new Map<string, DecodeSession>();
  let kvUsed = 0;
  let timer: TimerHandle | undefined;
  let isEngineAlive = true;
  let refusedCount = 0;
  let busyMs = 0;
  let busySinceMs = 0;

  function updateBusySlotTime(): void {
    busyMs += reserved.size * (clock.nowMs() - busySinceMs);
    busySinceMs = clock.nowMs();
  }

  function release(requestId: string): void {
    const bytes = reserved.get(requestId);
    if (bytes === undefined) return;
    updateBusySlotTime();
    kvUsed -= bytes;
    reserved.delete(requestId);
    sessions.delete(requestId);
  }

  function scheduleStep(): void {
    if (timer || sessions.size === 0) return;
    const stepMs =
      (ENGINE.stepBaseMs + ENGINE.stepPerRequestMs * sessions.size) *
      fake.slowness;
    timer = clock.setTimer(stepMs, () => {
      timer = undefined;
      for (const session of [...sessions.values()]) {
        session.tokens++;
        session.onToken(session.tokens, stepMs);
        if (session.tokens < session.answerTokens) continue;
        release(session.requestId);
        session.onEnd();
      }
      scheduleStep();
    });
  }

  const fake: DecodeFake = {
    engineId,
    linkFreeAtMs: 0,
    slowness: 1,
    reserve(requestId, bytes) {
      if (!isEngineAlive) return false;
      if (reserved.size >= ENGINE.decodeSlots || kvUsed + bytes > kvBytes) {
        refusedCount++;
        return false;
      }
      updateBusySlotTime();
      reserved.set(requestId, bytes);
      kvUsed += bytes;
      return true;
    },
    start(session) {
      if (!isEngineAlive || !reserved.has(session.requestId)) {
        session.onDeath();
        return;
      }
      sessions.set(session.requestId, session);
      scheduleStep();
    },
    cancel: release,
    die() {
      updateBusySlotTime();
      isEngineAlive = false;
      if (timer) clock.clearTimer(timer);
      timer = undefined;
      const interrupted = [...sessions.values()];
      sessions.clear();
      reserved.clear();
      kvUsed = 0;
      for (const session of interrupted) session.onDeath();
    },
    revive() {
      isEngineAlive = true;
    },
    isAlive: () => isEngineAlive,
    usedSlots: () => reserved.size,
    refusedImports: () => refusedCount,
    busySlotMs() {
      updateBusySlotTime();
      return busyMs;
    },
    report: sequence => ({
      engineId,
      role: 'decode',
      models: [],
      sequence,
      slotsTotal: ENGINE.decodeSlots,
      slotsUsed: reserved.size,
      kvTotalBytes: kvBytes,
      kvUsedBytes: kvUsed,
      queuedTokens: 0,
      leaving: false,
    }),
  };
  return fake;
}
