/**
 * Which engines hold which prompt prefixes, as far as late and gapped cache
 * events and our own prefills tell. Bounded per engine; a hint only.
 */

import type {CacheEvent} from '../../ports/engine.js';

/** Entries kept per engine; about 80 bytes each. */
const DEFAULT_ENTRIES_PER_ENGINE = 4_096;
const CONFIDENCE_STEP = 0.1;
/** Trust left after a gap in an engine's events. */
const GAP_TRUST = 0.8;
const MIN_CONFIDENCE = 0.05;

export interface PrefixIndex {
  apply(events: readonly CacheEvent[]): void;
  /** Notes that an engine has just computed these sampled prefixes. */
  noteComputed(engineId: string, sampled: readonly string[]): void;
  /**
   * Tokens expected in the engine's cache, scaled by how often its hints
   * came true.
   *
   * @param blockTokens Tokens in one block of the prompt.
   */
  expectedCachedTokens(
    engineId: string,
    sampled: readonly string[],
    blockTokens: number,
  ): number;
  /** Compares a hint with what the engine found. */
  learn(engineId: string, expectedTokens: number, foundTokens: number): void;
  forget(engineId: string): void;
  entryCount(): number;
}

/**
 * Keeps prefixes of 1, 2, 3, 4, 6, 8, 12, 16, 24 ... blocks: enough to know a
 * shared length within a third, at two entries for each doubling. Long
 * prompts would otherwise fill the index and cost microseconds each.
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

/** Blocks in the first `held` sampled prefixes. */
function sampledBlocks(held: number): number {
  if (held <= 1) return held;
  const doublings = Math.floor(held / 2);
  return held % 2 === 0 ? 2 ** doublings : 1.5 * 2 ** doublings;
}

interface EngineEntries {
  /** Insertion order is age. */
  readonly hashes: Set<string>;
  lastSequence: number;
  confidence: number;
}

export function createPrefixIndex(
  entriesPerEngine = DEFAULT_ENTRIES_PER_ENGINE,
): PrefixIndex {
  const engines = new Map<string, EngineEntries>();

  function entriesOf(engineId: string): EngineEntries {
    let entries = engines.get(engineId);
    if (!entries) {
      entries = {hashes: new Set(), lastSequence: 0, confidence: 0.9};
      engines.set(engineId, entries);
    }
    return entries;
  }

  function insert(entries: EngineEntries, hashes: readonly string[]): void {
    // Longest first, so that the shortest prefixes, which serve the most
    // prompts, are the youngest and stay longest.
    const isRoomy = entries.hashes.size < entriesPerEngine / 2;
    for (let i = hashes.length - 1; i >= 0; i--) {
      // Age matters only once something has to go.
      if (isRoomy && entries.hashes.has(hashes[i])) continue;
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

  /** Prefixes nest, so the longest held one is found by bisection. */
  function longestHeld(held: Set<string>, hashes: readonly string[]): number {
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
        const entries = entriesOf(event.engineId);
        if (event.sequence <= entries.lastSequence) continue;
        const isGap =
          entries.lastSequence > 0 && event.sequence > entries.lastSequence + 1;
        if (isGap) entries.confidence *= GAP_TRUST;
        entries.lastSequence = event.sequence;
        handlers[event.kind](entries, event.prefixHashes);
      }
    },
    noteComputed(engineId, sampled) {
      insert(entriesOf(engineId), sampled);
    },
    expectedCachedTokens(engineId, sampled, blockTokens) {
      if (sampled.length === 0) return 0;
      const entries = engines.get(engineId);
      if (!entries || entries.hashes.size === 0) return 0;
      const held = longestHeld(entries.hashes, sampled);
      return sampledBlocks(held) * blockTokens * entries.confidence;
    },
    learn(engineId, expectedTokens, foundTokens) {
      if (expectedTokens <= 0) return;
      const entries = entriesOf(engineId);
      const hit = Math.min(
        1,
        (foundTokens * entries.confidence) / expectedTokens,
      );
      entries.confidence += CONFIDENCE_STEP * (hit - entries.confidence);
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
