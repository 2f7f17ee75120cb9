/**
 * Prefill half of a stand-in engine: computes one prompt at a time, the most
 * urgent first, and keeps each result for under a second.
 */

import type {Clock, TimerHandle} from '../src/ports/clock.js';
import type {
  EngineFailure,
  EngineSession,
  OwnerTag,
  PrefillCall,
  PrefillResult,
} from '../src/ports/engine.js';
import type {Random} from '../src/ports/random.js';
import {hashPrompt} from './answer_text.js';
import type {RunningBooks} from './engine_books.js';
import {
  failure,
  isSameOwner,
  type EngineOptions,
  type KvExport,
} from './engine_types.js';
import type {PrefixCache} from './prefix_cache.js';

export interface PrefillHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly books: RunningBooks;
  readonly cache: PrefixCache;
  /** Runs `action` at once or when a freeze ends. */
  whenThawed(action: () => void): void;
  slowFactor(): number;
  /** A prompt that crashes engines is being computed. */
  crash(): void;
}

export interface PrefillPool {
  run(call: PrefillCall): Promise<PrefillResult | EngineFailure>;
  exportKv(
    kvHandle: string,
    isStalled: () => boolean,
  ): Promise<KvExport | EngineFailure>;
  cancel(owner: OwnerTag): void;
  sessions(): readonly EngineSession[];
  queuedTokens(): number;
  /** The engine died: everything is gone. */
  clear(): void;
}

interface Job {
  readonly call: PrefillCall;
  readonly kvSizeBytes: number;
  finish(result: PrefillResult | EngineFailure): void;
  isCancelled: boolean;
}

interface HeldResult {
  readonly call: PrefillCall;
  readonly kvSizeBytes: number;
  readonly madeAtMs: number;
  isExporting: boolean;
  timer: TimerHandle;
}

const STALL_CHECK_MS = 50;

export function createPrefillPool(
  host: PrefillHost,
  options: EngineOptions,
): PrefillPool {
  const {clock, books, cache} = host;
  let waiting: Job[] = [];
  let active: Job | undefined;
  const held = new Map<string, HeldResult>();
  let linkFreeAtMs = 0;
  let generation = 0;

  function hasMarker(call: PrefillCall): boolean {
    return options.crashOnTokens.some(token =>
      call.promptTokens.includes(token),
    );
  }

  function next(): void {
    if (active || waiting.length === 0) return;
    const best = waiting.reduce((a, b) =>
      b.call.priority > a.call.priority ? b : a,
    );
    waiting = waiting.filter(job => job !== best);
    active = best;
    compute(best);
  }

  function compute(job: Job): void {
    const born = generation;
    const tokenCount = job.call.promptTokens.length;
    const cachedTokens = cache.lookUp(job.call.promptTokens);
    const computed = tokenCount - cachedTokens;
    const costMs =
      (options.prefillBaseMs + computed * options.prefillMsPerToken) *
      host.slowFactor();
    books.prefillStarted(job.call.owner);
    clock.setTimer(costMs, () =>
      host.whenThawed(() => {
        if (born !== generation) return;
        if (options.crashAt === 'prefill' && hasMarker(job.call)) {
          host.crash();
          return;
        }
        active = undefined;
        computedWhole(job, computed, cachedTokens);
        next();
      }),
    );
  }

  function computedWhole(
    job: Job,
    computed: number,
    cachedTokens: number,
  ): void {
    books.prefillFinished(job.call.owner, computed, cachedTokens);
    cache.store(job.call.promptTokens);
    if (job.isCancelled) {
      books.freeKv(job.kvSizeBytes);
      books.prefillWasted(job.call.promptTokens.length);
      job.finish(failure('cancelled', 'cancelled while it was computed'));
      return;
    }
    const kvHandle = host.random.nextId();
    held.set(kvHandle, {
      call: job.call,
      kvSizeBytes: job.kvSizeBytes,
      madeAtMs: clock.nowMs(),
      isExporting: false,
      timer: clock.setTimer(options.prefillLifeMs, () => {
        if (!held.get(kvHandle)?.isExporting) drop(kvHandle, true);
      }),
    });
    job.finish({
      kind: 'prefilled',
      kvHandle,
      kvSizeBytes: job.kvSizeBytes,
      cachedTokens,
      lifeMs: options.prefillLifeMs,
    });
  }

  function drop(kvHandle: string, isWasted: boolean): void {
    const result = held.get(kvHandle);
    if (!result) return;
    held.delete(kvHandle);
    clock.clearTimer(result.timer);
    books.freeKv(result.kvSizeBytes);
    if (isWasted) books.prefillWasted(result.call.promptTokens.length);
  }

  function transfer(kvHandle: string, result: HeldResult): KvExport {
    drop(kvHandle, false);
    const {call} = result;
    return {
      kind: 'exported',
      model: call.model,
      promptHash: hashPrompt(call.promptTokens),
      promptTokenCount: call.promptTokens.length,
      hasDecodeMarker: options.crashAt === 'decode' && hasMarker(call),
      kvSizeBytes: result.kvSizeBytes,
    };
  }

  return {
    run(call) {
      const kvSizeBytes = call.promptTokens.length * options.kvBytesPerToken;
      if (!books.takeKv(kvSizeBytes)) {
        const full = failure('no-capacity', 'no KV memory for the prompt');
        return Promise.resolve(full);
      }
      return new Promise(finish => {
        waiting.push({call, kvSizeBytes, finish, isCancelled: false});
        next();
      });
    },
    exportKv(kvHandle, isStalled) {
      const result = held.get(kvHandle);
      if (!result || result.isExporting) {
        return Promise.resolve(failure('expired', 'no such prefill result'));
      }
      const born = generation;
      result.isExporting = true;
      const startAtMs = Math.max(clock.nowMs(), linkFreeAtMs);
      linkFreeAtMs = startAtMs + result.kvSizeBytes / options.linkBytesPerMs;
      return new Promise(resolve => {
        function arrive(): void {
          if (born !== generation) return;
          if (!held.has(kvHandle)) {
            resolve(failure('expired', 'the prefill result was released'));
          } else if (isStalled()) {
            clock.setTimer(STALL_CHECK_MS, arrive);
          } else {
            resolve(transfer(kvHandle, result!));
          }
        }
        clock.setTimer(linkFreeAtMs - clock.nowMs(), () =>
          host.whenThawed(arrive),
        );
      });
    },
    cancel(owner) {
      for (const job of waiting.filter(j => isSameOwner(j.call.owner, owner))) {
        waiting = waiting.filter(other => other !== job);
        books.freeKv(job.kvSizeBytes);
        job.finish(failure('cancelled', 'cancelled before it was computed'));
      }
      if (active && isSameOwner(active.call.owner, owner)) {
        active.isCancelled = true;
      }
      for (const [kvHandle, result] of held) {
        if (isSameOwner(result.call.owner, owner)) drop(kvHandle, true);
      }
    },
    sessions() {
      const nowMs = clock.nowMs();
      const results = [...held.values()].map(
        ({call, kvSizeBytes, madeAtMs}): EngineSession => ({
          owner: call.owner,
          kind: 'prefill-result',
          kvSizeBytes,
          ageMs: nowMs - madeAtMs,
        }),
      );
      const jobs = active ? [active, ...waiting] : waiting;
      const pending = jobs.map(({call, kvSizeBytes}): EngineSession => ({
        owner: call.owner,
        kind: 'prefill-result',
        kvSizeBytes,
        ageMs: 0,
      }));
      return [...results, ...pending];
    },
    queuedTokens: () =>
      [...waiting, ...(active ? [active] : [])].reduce(
        (sum, job) => sum + job.call.promptTokens.length,
        0,
      ),
    clear() {
      generation++;
      waiting = [];
      active = undefined;
      for (const result of held.values()) clock.clearTimer(result.timer);
      for (const result of held.values()) {
        books.prefillWasted(result.call.promptTokens.length);
      }
      held.clear();
      linkFreeAtMs = 0;
    },
  };
}
