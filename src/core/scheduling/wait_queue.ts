/**
 * A queue of requests that wait for a grant, in order of urgency, with sums of
 * the work queued before a given position.
 */

/** Properties of a waiting request used by the queue. */
export interface QueueItem {
  readonly account: string;
  /** Sort key, smallest first: the latest start or the arrival time. */
  readonly orderMs: number;
  readonly prefillMs: number;
  readonly kvBytes: number;
}

/** Work queued before a given time. */
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
  /** Returns the work queued up to and including `orderMs`. */
  workBefore(orderMs: number): WorkAhead;
  /** Returns the waiting requests of one account, in order of arrival. */
  ofAccount(account: string): readonly T[];
  accounts(): IterableIterator<string>;
  /** Returns the waiting requests in queue order. */
  items(): readonly T[];
}

const BIN_MS = 64;
const BINS_PER_BLOCK = 64;
const BLOCKS = 64;
const BINS = BINS_PER_BLOCK * BLOCKS;

/** Sums over a ring of time bins, with block sums as a second level. */
function createBinSums() {
  const bins = new Float64Array(BINS);
  const blocks = new Float64Array(BLOCKS);
  return {
    add(bin: number, amount: number): void {
      bins[bin] += amount;
      blocks[Math.floor(bin / BINS_PER_BLOCK)] += amount;
    },
    /** Returns the sum of the bins from `first` to `last`, inclusive. */
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
  const countSums = createBinSums();
  const prefillSums = createBinSums();
  const kvSums = createBinSums();
  const binOf = new Map<T, number>();

  /** Returns the index of the first item after `orderMs`. */
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

  function getBin(orderMs: number): number {
    return Math.max(0, Math.floor(orderMs / BIN_MS));
  }

  function addSums(item: T, bin: number, sign: 1 | -1): void {
    countSums.add(bin, sign);
    prefillSums.add(bin, sign * item.prefillMs);
    kvSums.add(bin, sign * item.kvBytes);
  }

  return {
    add(item) {
      order.splice(upperBound(item.orderMs), 0, item);
      const bin = getBin(item.orderMs) % BINS;
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
      const first = getBin(order[0].orderMs);
      const last = Math.min(getBin(orderMs), first + BINS - 1);
      return {
        count: Math.round(countSums.between(first, last)),
        prefillMs: Math.max(0, prefillSums.between(first, last)),
        kvBytes: Math.max(0, kvSums.between(first, last)),
      };
    },
    ofAccount: account => byAccount.get(account) ?? [],
    accounts: () => byAccount.keys(),
    items: () => order,
  };
}
