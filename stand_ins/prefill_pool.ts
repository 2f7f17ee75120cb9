/**
 * Prefill stage of a stand-in engine: computes one prompt at a time in order of
 * priority, and keeps each result for `prefillLifeMs` (under a second).
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
import type {EngineCounters} from './engine_counters.js';
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
  readonly counters: EngineCounters;
  readonly cache: PrefixCache;
  /** Runs `action` at once, or at the end of a freeze. */
  whenThawed(action: () => void): void;
  slowFactor(): number;
  /** Called when a prompt that crashes engines is computed. */
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
  /** Drops all jobs and results, as a crash does. */
  clear(): void;
}

interface Job {
  readonly call: PrefillCall;
  readonly kvSizeBytes: number;
  finish(result: PrefillResult | EngineFailure): void;
  isCancelled: boolean;
}

interface KeptResult {
  readonly call: PrefillCall;
  readonly kvSizeBytes: number;
  readonly madeAtMs: number;
  isExporting: boolean;
  timer: TimerHandle;
}

const STALL_POLL_MS = 50;

export function createPrefillPool(
  host: PrefillHost,
  options: EngineOptions,
): PrefillPool {
  const {clock, counters, cache} = host;
  let waiting: Job[] = [];
  let active: Job | undefined;
  const keptResults = new Map<string, KeptResult>();
  let linkFreeAtMs = 0;
  let epoch = 0;

  function hasCrashMarker(call: PrefillCall): boolean {
    return options.crashOnTokens.some(token =>
      call.promptTokens.includes(token),
    );
  }

  function startNextJob(): void {
    if (active || waiting.length === 0) return;
    const best = waiting.reduce((a, b) =>
      b.call.priority > a.call.priority ? b : a,
    );
    waiting = waiting.filter(job => job !== best);
    active = best;
    compute(best);
  }

  function compute(job: Job): void {
    const startEpoch = epoch;
    const tokenCount = job.call.promptTokens.length;
    const cachedTokens = cache.lookUp(job.call.promptTokens);
    const computed = tokenCount - cachedTokens;
    const costMs =
      (options.prefillBaseMs + computed * options.prefillMsPerToken) *
      host.slowFactor();
    counters.prefillStarted(job.call.owner);
    clock.setTimer(costMs, () =>
      host.whenThawed(() => {
        if (startEpoch !== epoch) return;
        if (options.crashAt === 'prefill' && hasCrashMarker(job.call)) {
          host.crash();
          return;
        }
        active = undefined;
        completeJob(job, computed, cachedTokens);
        startNextJob();
      }),
    );
  }

  function completeJob(job: Job, computed: number, cachedTokens: number): void {
    counters.prefillFinished(job.call.owner, computed, cachedTokens);
    cache.store(job.call.promptTokens);
    if (job.isCancelled) {
      counters.freeKv(job.kvSizeBytes);
      counters.prefillWasted(job.call.promptTokens.length);
      job.finish(failure('cancelled', 'cancelled while it was computed'));
      return;
    }
    const kvHandle = host.random.nextId();
    keptResults.set(kvHandle, {
      call: job.call,
      kvSizeBytes: job.kvSizeBytes,
      madeAtMs: clock.nowMs(),
      isExporting: false,
      timer: clock.setTimer(options.prefillLifeMs, () => {
        if (!keptResults.get(kvHandle)?.isExporting) release(kvHandle, true);
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

  function release(kvHandle: string, isWasted: boolean): void {
    const result = keptResults.get(kvHandle);
    if (!result) return;
    keptResults.delete(kvHandle);
    clock.clearTimer(result.timer);
    counters.freeKv(result.kvSizeBytes);
    if (isWasted) counters.prefillWasted(result.call.promptTokens.length);
  }

  function completeTransfer(kvHandle: string, result: KeptResult): KvExport {
    release(kvHandle, false);
    const {call} = result;
    return {
      kind: 'exported',
      model: call.model,
      promptHash: hashPrompt(call.promptTokens),
      promptTokenCount: call.promptTokens.length,
      hasDecodeMarker: options.crashAt === 'decode' && hasCrashMarker(call),
      kvSizeBytes: result.kvSizeBytes,
    };
  }

  return {
    run(call) {
      const kvSizeBytes = call.promptTokens.length * options.kvBytesPerToken;
      if (!counters.reserveKv(kvSizeBytes)) {
        const full = failure('no-capacity', 'no KV memory for the prompt');
        return Promise.resolve(full);
      }
      return new Promise(finish => {
        waiting.push({call, kvSizeBytes, finish, isCancelled: false});
        startNextJob();
      });
    },
    exportKv(kvHandle, isStalled) {
      const result = keptResults.get(kvHandle);
      if (!result || result.isExporting) {
        return Promise.resolve(failure('expired', 'no such prefill result'));
      }
      const startEpoch = epoch;
      result.isExporting = true;
      const startAtMs = Math.max(clock.nowMs(), linkFreeAtMs);
      linkFreeAtMs = startAtMs + result.kvSizeBytes / options.linkBytesPerMs;
      return new Promise(resolve => {
        function finishTransfer(): void {
          if (startEpoch !== epoch) return;
          if (!keptResults.has(kvHandle)) {
            resolve(failure('expired', 'the prefill result was released'));
          } else if (isStalled()) {
            clock.setTimer(STALL_POLL_MS, finishTransfer);
          } else {
            resolve(completeTransfer(kvHandle, result!));
          }
        }
        clock.setTimer(linkFreeAtMs - clock.nowMs(), () =>
          host.whenThawed(finishTransfer),
        );
      });
    },
    cancel(owner) {
      for (const job of waiting.filter(j => isSameOwner(j.call.owner, owner))) {
        waiting = waiting.filter(other => other !== job);
        counters.freeKv(job.kvSizeBytes);
        job.finish(failure('cancelled', 'cancelled before it was computed'));
      }
      if (active && isSameOwner(active.call.owner, owner)) {
        active.isCancelled = true;
      }
      for (const [kvHandle, result] of keptResults) {
        if (isSameOwner(result.call.owner, owner)) release(kvHandle, true);
      }
    },
    sessions() {
      const nowMs = clock.nowMs();
      const results = [...keptResults.values()].map(
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
      epoch++;
      waiting = [];
      active = undefined;
      for (const result of keptResults.values()) clock.clearTimer(result.timer);
      for (const result of keptResults.values()) {
        counters.prefillWasted(result.call.promptTokens.length);
      }
      keptResults.clear();
      linkFreeAtMs = 0;
    },
  };
}
