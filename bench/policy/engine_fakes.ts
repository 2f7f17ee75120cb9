/**
 * Small stand-ins for engines at the port's level: a prefill engine that
 * works off a queue, a decode engine that steps its whole batch, and links
 * that carry one transfer after another.
 */

import type {Clock, TimerHandle} from '../../src/ports/clock.js';
import type {CacheEvent, EngineLoadReport} from '../../src/ports/engine.js';
import {BLOCK_TOKENS} from './workload.js';

/** The machine that all fakes imitate. */
export const ENGINE = {
  prefillOverheadMs: 8,
  prefillTokensPerMs: 25,
  kvBytesPerToken: 160_000,
  decodeSlots: 20,
  prefillPlaces: 32,
  stepBaseMs: 30,
  stepPerRequestMs: 1,
  linkBytesPerMs: 12_500_000,
  resultLifeMs: 800,
  /** Prompt tokens that the prefix cache of a prefill engine holds. */
  cacheTokens: 200_000,
} as const;

export interface PrefillJob {
  readonly requestId: string;
  readonly promptTokens: number;
  readonly prefixHashes: readonly string[];
  /** Called once, unless the engine dies or the job is cancelled. */
  readonly done: (cachedTokens: number) => void;
  readonly died: () => void;
}

export interface PrefillFake {
  readonly engineId: string;
  submit(job: PrefillJob): void;
  /** Returns tokens computed for nothing. */
  cancel(requestId: string): number;
  /** Serial use of the outgoing link. */
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
  let runningCached = 0;
  let timer: TimerHandle | undefined;
  let alive = true;
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

  function next(): void {
    running = queue.shift();
    if (!running) return;
    const job = running;
    runningSinceMs = clock.nowMs();
    runningCached = cachedTokens(job);
    const tokens = job.promptTokens - runningCached;
    const tookMs =
      (ENGINE.prefillOverheadMs + tokens / ENGINE.prefillTokensPerMs) *
      fake.slowness;
    timer = clock.setTimer(tookMs, () => {
      running = undefined;
      store(job.prefixHashes);
      job.done(runningCached);
      if (!running) next();
    });
  }

  const fake: PrefillFake = {
    engineId,
    linkFreeAtMs: 0,
    slowness: 1,
    submit(job) {
      if (!alive) {
        job.died();
        return;
      }
      queue.push(job);
      if (!running) next();
    },
    cancel(requestId) {
      const index = queue.findIndex(job => job.requestId === requestId);
      if (index >= 0) queue.splice(index, 1);
      if (running?.requestId !== requestId) return 0;
      if (timer) clock.clearTimer(timer);
      const elapsedMs = clock.nowMs() - runningSinceMs;
      const tokens = Math.min(
        running.promptTokens - runningCached,
        (elapsedMs * ENGINE.prefillTokensPerMs) / fake.slowness,
      );
      next();
      return tokens;
    },
    die() {
      alive = false;
      if (timer) clock.clearTimer(timer);
      const dead = running ? [running, ...queue] : [...queue];
      running = undefined;
      queue.length = 0;
      cache.clear();
      for (const job of dead) job.died();
    },
    revive() {
      alive = true;
    },
    isAlive: () => alive,
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
      slotsTotal: ENGINE.prefillPlaces,
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
  /** Tokens so far, from an earlier engine or this one. */
  tokens: number;
  readonly onToken: (count: number, intervalMs: number) => void;
  readonly onEnd: () => void;
  readonly onDeath: () => void;
}

export interface DecodeFake {
  readonly engineId: string;
  /** Takes a slot and memory for an import; false when there is none. */
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
  /** Imports refused for lack of room. */
  refusedImports(): number;
  /** Of the time so far, the part in which slots were taken. */
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
  let alive = true;
  let refused = 0;
  let busyMs = 0;
  let busySinceMs = 0;

  function noteBusy(): void {
    busyMs += reserved.size * (clock.nowMs() - busySinceMs);
    busySinceMs = clock.nowMs();
  }

  function free(requestId: string): void {
    const bytes = reserved.get(requestId);
    if (bytes === undefined) return;
    noteBusy();
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
        free(session.requestId);
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
      if (!alive) return false;
      if (reserved.size >= ENGINE.decodeSlots || kvUsed + bytes > kvBytes) {
        refused++;
        return false;
      }
      noteBusy();
      reserved.set(requestId, bytes);
      kvUsed += bytes;
      return true;
    },
    start(session) {
      if (!alive || !reserved.has(session.requestId)) {
        session.onDeath();
        return;
      }
      sessions.set(session.requestId, session);
      scheduleStep();
    },
    cancel: free,
    die() {
      noteBusy();
      alive = false;
      if (timer) clock.clearTimer(timer);
      timer = undefined;
      const dead = [...sessions.values()];
      sessions.clear();
      reserved.clear();
      kvUsed = 0;
      for (const session of dead) session.onDeath();
    },
    revive() {
      alive = true;
    },
    isAlive: () => alive,
    usedSlots: () => reserved.size,
    refusedImports: () => refused,
    busySlotMs() {
      noteBusy();
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
