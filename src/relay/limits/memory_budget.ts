/**
 * One account of what the process holds in memory for its callers, with a bound
 * over all. What would exceed the bound is not begun; what grows beyond it ends
 * the holders that hold most.
 */

import {heldKinds, type HeldKind} from './held_kinds.js';

export interface Holder {
  readonly kind: HeldKind;
  readonly requestId: string;
  /** Frees what is held; the holder closes its holding. */
  end(): void;
}

/** What one holder holds. */
export interface Holding {
  /** Holds this many bytes from now on. May end other holders, or this one. */
  resize(bytes: number): void;
  /** As `resize`, unless there is no room for it; returns whether it did. */
  tryResize(bytes: number): boolean;
  close(): void;
}

export interface MemoryBudget {
  open(holder: Holder): Holding;
  /** Bytes that are held, all kinds or one, with their overhead. */
  heldBytes(kind?: HeldKind): number;
  holderCount(kind: HeldKind): number;
  /** Bytes that may be held in addition. */
  freeBytes(): number;
  /** Ends holders until so many bytes are free or none is left. */
  makeRoom(bytes: number): void;
}

export interface MemoryBudgetHost {
  /** Bytes that may be held now. */
  maxHeldBytes(): number;
  onEnded(holder: Holder, heldBytes: number): void;
  /** Called each time that so many more bytes have been held. */
  onGrowth(): void;
}

/** Between two measurements of the process, which take some 10 us. */
const GROWTH_BYTES = 2 * 1024 * 1024;

interface Entry {
  readonly holder: Holder;
  bytes: number;
}

interface Sum {
  bytes: number;
  count: number;
}

const toRank = ({holder}: Entry) => heldKinds[holder.kind].endRank ?? Infinity;

export function createMemoryBudget(host: MemoryBudgetHost): MemoryBudget {
  const entries = new Set<Entry>();
  const sums = new Map<HeldKind, Sum>();
  let totalBytes = 0;
  let grownBytes = 0;

  function sumOf(kind: HeldKind): Sum {
    const known = sums.get(kind);
    if (known) return known;
    const sum = {bytes: 0, count: 0};
    sums.set(kind, sum);
    return sum;
  }

  function add(entry: Entry, bytes: number): void {
    entry.bytes += bytes;
    grownBytes += Math.max(0, bytes);
    sumOf(entry.holder.kind).bytes += bytes;
    totalBytes += bytes;
  }

  function remove(entry: Entry): void {
    if (!entries.delete(entry)) return;
    add(entry, -entry.bytes);
    sumOf(entry.holder.kind).count--;
  }

  const freeBytes = () => host.maxHeldBytes() - totalBytes;

  function findNext(): Entry | undefined {
    let next: Entry | undefined;
    for (const entry of entries) {
      const rank = toRank(entry);
      if (rank === Infinity) continue;
      const isSooner =
        !next ||
        rank < toRank(next) ||
        (rank === toRank(next) && entry.bytes > next.bytes);
      if (isSooner) next = entry;
    }
    return next;
  }

  function makeRoom(bytes: number): void {
    while (freeBytes() < bytes) {
      const next = findNext();
      if (!next) return;
      const heldBytes = next.bytes;
      remove(next);
      host.onEnded(next.holder, heldBytes);
      next.holder.end();
    }
  }

  function checkGrowth(): void {
    if (grownBytes < GROWTH_BYTES) return;
    grownBytes = 0;
    host.onGrowth();
  }

  return {
    open(holder) {
      const entry: Entry = {holder, bytes: 0};
      const {overheadBytes} = heldKinds[holder.kind];
      entries.add(entry);
      sumOf(holder.kind).count++;
      add(entry, overheadBytes);

      function grow(bytes: number): number {
        return bytes + overheadBytes - entry.bytes;
      }

      return {
        resize(bytes) {
          if (!entries.has(entry)) return;
          add(entry, grow(bytes));
          checkGrowth();
          makeRoom(0);
        },
        tryResize(bytes) {
          if (!entries.has(entry)) return false;
          checkGrowth();
          const growth = grow(bytes);
          if (growth > 0 && growth > freeBytes()) return false;
          add(entry, growth);
          return true;
        },
        close: () => remove(entry),
      };
    },
    heldBytes: kind => (kind ? sumOf(kind).bytes : totalBytes),
    holderCount: kind => sumOf(kind).count,
    freeBytes,
    makeRoom,
  };
}
