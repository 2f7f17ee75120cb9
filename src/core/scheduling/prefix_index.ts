/**
 * Index of the prompt prefixes cached by each engine, built from cache events
 * and this home's own prefills. Events may be late or missing, so the index is
 * only a hint. Its size is bounded per engine.
 */

import type {CacheEvent} from '../../ports/engine.js';

/** Maximum entries per engine, of about 80 bytes each. */
const DEFAULT_ENTRIES_PER_ENGINE = 4_096;
const CONFIDENCE_SMOOTHING = 0.1;
/** Factor applied to the confidence after a gap in an engine's events. */
const GAP_CONFIDENCE_FACTOR = 0.8;
const MIN_CONFIDENCE = 0.05;

export interface PrefixIndex {
  apply(events: readonly CacheEvent[]): void;
  /** Records that an engine has computed these sampled prefixes. */
  recordComputed(engineId: string, sampled: readonly string[]): void;
  /**
   * Returns the tokens expected in the engine's cache, scaled by the accuracy
   * of earlier hints.
   *
   * @param blockTokens Tokens in one block of the prompt.
   */
  expectedCachedTokens(
    engineId: string,
    sampled: readonly string[],
    blockTokens: number,
  ): number;
  /** Updates the confidence from the cached tokens reported by the engine. */
  learn(engineId: string, expectedTokens: number, foundTokens: number): void;
  forget(engineId: string): void;
  entryCount(): number;
}

/**
 * Selects the prefixes of 1, 2, 3, 4, 6, 8, 12, 16, 24 ... blocks. This gives
 * the shared length within a third at two entries per doubling. Without it,
 * long prompts would fill the index and take microseconds each.
 */
export function samplePrefixes(hashes: readonly string[]): readonly string[] {
  const sampled: string[] = [];
  for (let blocks = 1; blocks <= hashes.length; blocks *= 2) {
    sampled.push(hashes[blocks - 1]);
    const between = blocks * 1.5;
    if (blocks > 1 && between <= hashes.length) {
      sampled.push(hashes[between - 1]);
    }
  }
  return sampled;
}

/** Returns the number of blocks covered by `held` sampled prefixes. */
function getBlockCount(held: number): number {
  if (held <= 1) return held;
  const doublings = Math.floor(held / 2);
  return held % 2 === 0 ? 2 ** doublings : 1.5 * 2 ** doublings;
}

interface EngineEntries {
  /** Ordered by age, oldest first. */
  readonly hashes: Set<string>;
  lastSequence: number;
  confidence: number;
}

export function createPrefixIndex(
  entriesPerEngine = DEFAULT_ENTRIES_PER_ENGINE,
): PrefixIndex {
  const engines = new Map<string, EngineEntries>();

  function getEntries(engineId: string): EngineEntries {
    let entries = engines.get(engineId);
    if (!entries) {
      entries = {hashes: new Set(), lastSequence: 0, confidence: 0.9};
      engines.set(engineId, entries);
    }
    return entries;
  }

  function insert(entries: EngineEntries, hashes: readonly string[]): void {
    // Inserted longest first: the shortest prefixes match the most prompts and
    // should be evicted last.
    const hasSpace = entries.hashes.size < entriesPerEngine / 2;
    for (let i = hashes.length - 1; i >= 0; i--) {
      // The order matters only when entries have to be evicted.
      if (hasSpace && entries.hashes.has(hashes[i])) continue;
      entries.hashes.delete(hashes[i]);
      entries.hashes.add(hashes[i]);
    }
    if (entries.hashes.size <= entriesPerEngine) return;
    for (const oldest of entries.hashes) {
      if (entries.hashes.size <= entriesPerEngine) break;
      entries.hashes.delete(oldest);
    }
  }

  const handlers: Readonly<
    Record<
      CacheEvent['kind'],
      (entries: EngineEntries, hashes: readonly string[]) => void
    >
  > = {
    stored: insert,
    evicted: (entries, hashes) => {
      for (const hash of hashes) entries.hashes.delete(hash);
    },
    cleared: entries => entries.hashes.clear(),
  };

  /** Counts the held prefixes by bisection, since prefixes are nested. */
  function countHeld(held: Set<string>, hashes: readonly string[]): number {
    let low = 0;
    let high = hashes.length;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      if (held.has(hashes[middle - 1])) low = middle;
      else high = middle - 1;
    }
    return low;
  }

  return {
    apply(events) {
      for (const event of events) {
        const entries = getEntries(event.engineId);
        if (event.sequence <= entries.lastSequence) continue;
        const isGap =
          entries.lastSequence > 0 && event.sequence > entries.lastSequence + 1;
        if (isGap) entries.confidence *= GAP_CONFIDENCE_FACTOR;
        entries.lastSequence = event.sequence;
        handlers[event.kind](entries, event.prefixHashes);
      }
    },
    recordComputed(engineId, sampled) {
      insert(getEntries(engineId), sampled);
    },
    expectedCachedTokens(engineId, sampled, blockTokens) {
      if (sampled.length === 0) return 0;
      const entries = engines.get(engineId);
      if (!entries || entries.hashes.size === 0) return 0;
      const held = countHeld(entries.hashes, sampled);
      return getBlockCount(held) * blockTokens * entries.confidence;
    },
    learn(engineId, expectedTokens, foundTokens) {
      if (expectedTokens <= 0) return;
      const entries = getEntries(engineId);
      const hit = Math.min(
        1,
        (foundTokens * entries.confidence) / expectedTokens,
      );
      entries.confidence += CONFIDENCE_SMOOTHING * (hit - entries.confidence);
      entries.confidence = Math.max(MIN_CONFIDENCE, entries.confidence);
    },
    forget(engineId) {
      engines.delete(engineId);
    },
    entryCount() {
      let count = 0;
      for (const entries of engines.values()) count += entries.hashes.size;
      return count;
    },
  };
}
