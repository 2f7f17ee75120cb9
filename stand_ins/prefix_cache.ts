/** Prefix cache of a stand-in engine, whose events may be late or lost. */

import {BLOCK_TOKENS, hashPrefixes} from '../src/core/prompt_tokens.js';
import type {Clock} from '../src/ports/clock.js';
import type {CacheEvent} from '../src/ports/engine.js';
import type {Random} from '../src/ports/random.js';

const MAX_EVENTS = 10_000;

export interface PrefixCacheHost {
  readonly clock: Clock;
  readonly random: Random;
}

export interface PrefixCacheOptions {
  readonly engineId: string;
  readonly maxBlocks: number;
}

export interface CacheEventFaults {
  /** Delay until an event is readable. */
  readonly lagMs: number;
  /** Share of events that are never published. */
  readonly lostShare: number;
}

interface PublishedEvent {
  readonly readableAtMs: number;
  readonly event: CacheEvent;
}

export interface PrefixCache {
  /**
   * Returns the number of cached tokens and marks their blocks as recently
   * used.
   */
  lookUp(tokens: readonly number[]): number;
  store(tokens: readonly number[]): void;
  clear(): void;
  events(afterSequence: number): readonly CacheEvent[];
  setEventFaults(faults: CacheEventFaults): void;
}

export function createPrefixCache(
  host: PrefixCacheHost,
  options: PrefixCacheOptions,
): PrefixCache {
  /** Least recently used first. */
  const blocks = new Set<string>();
  const published: PublishedEvent[] = [];
  let sequence = 0;
  let faults: CacheEventFaults = {lagMs: 0, lostShare: 0};

  function publish(
    kind: CacheEvent['kind'],
    prefixHashes: readonly string[],
  ): void {
    sequence++;
    if (host.random.nextFloat() < faults.lostShare) return;
    published.push({
      readableAtMs: host.clock.nowMs() + faults.lagMs,
      event: {engineId: options.engineId, sequence, kind, prefixHashes},
    });
    if (published.length > MAX_EVENTS) published.shift();
  }

  function touch(hash: string): void {
    blocks.delete(hash);
    blocks.add(hash);
  }

  return {
    lookUp(tokens) {
      let cached = 0;
      for (const hash of hashPrefixes(tokens, options.maxBlocks)) {
        if (!blocks.has(hash)) break;
        touch(hash);
        cached += BLOCK_TOKENS;
      }
      return cached;
    },
    store(tokens) {
      const added = hashPrefixes(tokens, options.maxBlocks).filter(hash => {
        const isNew = !blocks.has(hash);
        touch(hash);
        return isNew;
      });
      if (added.length > 0) publish('stored', added);
      const evicted: string[] = [];
      for (const hash of blocks) {
        if (blocks.size <= options.maxBlocks) break;
        blocks.delete(hash);
        evicted.push(hash);
      }
      if (evicted.length > 0) publish('evicted', evicted);
    },
    clear() {
      blocks.clear();
      publish('cleared', []);
    },
    events(afterSequence) {
      const nowMs = host.clock.nowMs();
      return published
        .filter(
          dated =>
            dated.event.sequence > afterSequence && dated.readableAtMs <= nowMs,
        )
        .map(dated => dated.event);
    },
    setEventFaults(next) {
      faults = next;
    },
  };
}
