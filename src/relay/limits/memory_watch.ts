/**
 * Compares the memory of the process with its limit. The account of what is
 * held doesn't know garbage, fragments and the objects of libraries, so near the
 * limit garbage is collected first, and then less may be held.
 */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {
  CollectionKind,
  ProcessMemory,
} from '../../ports/process_memory.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {MemoryBudget} from './memory_budget.js';

export type MemoryLevel = 'normal' | 'high' | 'critical';

export interface MemoryWatchHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  readonly memory: ProcessMemory;
  readonly budget: Pick<MemoryBudget, 'heldBytes' | 'makeRoom'>;
}

export interface MemoryWatchOptions {
  /** The limit at which the process is ended. */
  readonly maxBytes: number;
  /** What may be held while memory is not scarce. */
  readonly maxHeldBytes: number;
}

export interface MemoryWatch {
  /** Measures, and acts on it. */
  check(): void;
  level(): MemoryLevel;
  /** Resident memory at the last check. */
  residentBytes(): number;
  /** What may be held now. */
  maxHeldBytes(): number;
}

/** From this share of the limit on garbage is collected. */
const HIGH_SHARE = 0.6;
/** Above it what is held must not grow. */
const CRITICAL_SHARE = 0.85;
/** A fall by which memory was given back to the system. */
const PEAK_FALL_BYTES = 8 * 1024 * 1024;
/** What may be held in any case, as a share of what may be held at most. */
const MIN_HELD_SHARE = 1 / 4;
/**
 * Shortest time between two collections of all garbage, which take some tens of
 * ms, below the critical share.
 */
const COLLECTION_INTERVAL_MS = 500;
/** Growth since the last collection without which another frees nothing. */
const COLLECTION_GROWTH_BYTES = 4 * 1024 * 1024;
/** The use must fall this far below a level to leave it. */
const HYSTERESIS_SHARE = 0.05;
const BYTES_PER_MB = 1024 * 1024;

interface Collection {
  readonly atMs: number;
  /** Resident memory after it. */
  readonly residentBytes: number;
}

/** The highest resident memory, and what was held then. */
interface Peak {
  readonly residentBytes: number;
  readonly heldBytes: number;
}

const toMb = (bytes: number) => Math.round(bytes / BYTES_PER_MB);

export function createMemoryWatch(
  host: MemoryWatchHost,
  {maxBytes, maxHeldBytes}: MemoryWatchOptions,
): MemoryWatch {
  const {clock, log, metrics, memory, budget} = host;
  const collections = new Map<CollectionKind, Collection>();
  let level: MemoryLevel = 'normal';
  let residentBytes = 0;
  let allowedBytes = maxHeldBytes;
  let peak: Peak = {residentBytes: 0, heldBytes: 0};

  /** Share of the limit in use, of the process or of its heap. */
  function measure(): number {
    const usage = memory.usage();
    residentBytes = usage.residentBytes;
    return Math.max(
      residentBytes / maxBytes,
      usage.heapBytes / usage.maxHeapBytes,
    );
  }

  function isDue(kind: CollectionKind, intervalMs = 0): boolean {
    const last = collections.get(kind);
    if (!last) return true;
    const sinceMs = clock.nowMs() - last.atMs;
    const grownBytes = residentBytes - last.residentBytes;
    return sinceMs >= intervalMs && grownBytes >= COLLECTION_GROWTH_BYTES;
  }

  /** Returns the share in use afterwards. */
  function collect(kind: CollectionKind): number {
    memory.collect(kind);
    const share = measure();
    collections.set(kind, {atMs: clock.nowMs(), residentBytes});
    metrics.count('memory_collections', `kind="${kind}"`);
    return share;
  }

  function toLevel(share: number): MemoryLevel {
    if (share >= CRITICAL_SHARE) return 'critical';
    const wasCritical = level === 'critical';
    if (wasCritical && share >= CRITICAL_SHARE - HYSTERESIS_SHARE) return level;
    if (share >= HIGH_SHARE) return 'high';
    const isNear = share >= HIGH_SHARE - HYSTERESIS_SHARE;
    return isNear && level !== 'normal' ? 'high' : 'normal';
  }

  function note(next: MemoryLevel, share: number): void {
    if (next === level) return;
    const fields = {
      memoryLevel: next,
      levelBefore: level,
      residentMb: toMb(residentBytes),
      limitMb: toMb(maxBytes),
      usedShare: Number(share.toFixed(2)),
      heldMb: toMb(budget.heldBytes()),
      requestMb: toMb(budget.heldBytes('request')),
      uploadMb: toMb(budget.heldBytes('upload')),
      answerMb: toMb(budget.heldBytes('answer')),
      callerBufferMb: toMb(budget.heldBytes('caller-buffer')),
    };
    level = next;
    if (next === 'normal') log.info('Memory is no longer scarce.', fields);
    else log.warn('Memory is scarce.', fields);
  }

  function clampHeld(bytes: number): number {
    const minBytes = maxHeldBytes * MIN_HELD_SHARE;
    return Math.min(Math.max(bytes, minBytes), maxHeldBytes);
  }

  /**
   * What may be held so that the use stays below the critical share. Freed
   * memory isn't always given back to the system, so as much may be held as
   * when the resident memory reached its present size.
   */
  function toAllowedBytes(share: number): number {
    const heldBytes = budget.heldBytes();
    const fellBytes = peak.residentBytes - residentBytes;
    if (
      fellBytes < 0 ||
      fellBytes > PEAK_FALL_BYTES ||
      heldBytes > peak.heldBytes
    ) {
      peak = {residentBytes, heldBytes};
    }
    return clampHeld(peak.heldBytes + (CRITICAL_SHARE - share) * maxBytes);
  }

  return {
    check() {
      let share = measure();
      if (share >= HIGH_SHARE && isDue('young')) share = collect('young');
      const intervalMs = share >= CRITICAL_SHARE ? 0 : COLLECTION_INTERVAL_MS;
      if (share >= HIGH_SHARE && isDue('all', intervalMs)) {
        share = collect('all');
      }
      note(toLevel(share), share);
      allowedBytes = toAllowedBytes(share);
      budget.makeRoom(0);
    },
    level: () => level,
    residentBytes: () => residentBytes,
    maxHeldBytes: () => allowedBytes,
  };
}
