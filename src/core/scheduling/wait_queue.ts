/**
 * Requests waiting for a grant in order of urgency, with running sums of the
 * work that goes before a given place.
 */

/** What the queue needs to know of a waiting request. */
export interface QueueItem {
  readonly account: string;
  /** Smaller goes first: the latest start, or the arrival. */
  readonly orderMs: number;
  readonly prefillMs: number;
  readonly kvBytes: number;
}

/** Work queued before some time. */
export interface WorkAhead {
  readonly count: number;
  readonly prefillMs: number;
  readonly kvBytes: number;
}

export interface WaitQueue<T extends QueueItem> {
  add(item: T): void;
  remove(item: T): boolean;
  size(): number;
  at(index: number): T;
  /** What goes before, or with, `orderMs`. */
  workBefore(orderMs: number): WorkAhead;
  /** Waiting requests of one account, in order of arrival. */
  ofAccount(account: string): readonly T[];
  accounts(): IterableIterator<string>;
  /** Waiting requests in order. */
  items(): readonly T[];
}

const BIN_MS = 64;
const BINS_PER_BLOCK = 64;
const BLOCKS = 64;
const BINS = BINS_PER_BLOCK * BLOCKS;

/** Sums in a ring of time bins, two levels deep. */
function createBinSums() {
  const bins = new Float64Array(BINS);
  const blocks = new Float64Array(BLOCKS);
  return {
    add(bin: number, amount: number): void {
      bins[bin] += amount;
      blocks[Math.floor(bin / BINS_PER_BLOCK)] += amount;
    },
    /** Sum over the ring from bin `first` up to and with `last`. */
    between(first: number, last: number): number {
      let sum = 0;
      let bin = first;
      while (bin <= last) {
        const ringBin = bin % BINS;
        if (
          ringBin % BINS_PER_BLOCK === 0 &&
          bin + BINS_PER_BLOCK - 1 <= last
        ) {
          sum += blocks[ringBin / BINS_PER_BLOCK];
          bin += BINS_PER_BLOCK;
        } else {
          sum += bins[ringBin];
          bin++;
        }
      }
      return sum;
    },
  };
}

export function createWaitQueue<T extends QueueItem>(): WaitQueue<T> {
  const order: T[] = [];
  const byAccount = new Map<string, T[]>();
  const counts = createBinSums();
  const prefills = createBinSums();
  const kvs = createBinSums();
  const binOf = new Map<T, number>();

  /** Index of the first item that goes after `orderMs`. */
  function upperBound(orderMs: number): number {
    let low = 0;
    let high = order.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (order[middle].orderMs <= orderMs) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  function binFor(orderMs: number): number {
    return Math.max(0, Math.floor(orderMs / BIN_MS));
  }

  function addSums(item: T, bin: number, sign: 1 | -1): void {
    counts.add(bin, sign);
    prefills.add(bin, sign * item.prefillMs);
    kvs.add(bin, sign * item.kvBytes);
  }

  return {
    add(item) {
      order.splice(upperBound(item.orderMs), 0, item);
      const bin = binFor(item.orderMs) % BINS;
      binOf.set(item, bin);
      addSums(item, bin, 1);
      const own = byAccount.get(item.account);
      if (own) own.push(item);
      else byAccount.set(item.account, [item]);
    },
    remove(item) {
      const bin = binOf.get(item);
      if (bin === undefined) return false;
      binOf.delete(item);
      addSums(item, bin, -1);
      let index = upperBound(item.orderMs) - 1;
      while (order[index] !== item) index--;
      order.splice(index, 1);
      const own = byAccount.get(item.account)!;
      own.splice(own.indexOf(item), 1);
      if (own.length === 0) byAccount.delete(item.account);
      return true;
    },
    size: () => order.length,
    at: index => order[index],
    workBefore(orderMs) {
      if (order.length === 0) return {count: 0, prefillMs: 0, kvBytes: 0};
      const first = binFor(order[0].orderMs);
      const last = Math.min(binFor(orderMs), first + BINS - 1);
      return {
        count: Math.round(counts.between(first, last)),
        prefillMs: Math.max(0, prefills.between(first, last)),
        kvBytes: Math.max(0, kvs.between(first, last)),
      };
    },
    ofAccount: account => byAccount.get(account) ?? [],
    accounts: () => byAccount.keys(),
    items: () => order,
  };
}
