/**
 * Updates on their way to all members. Each rides on a bounded number of
 * datagrams that are sent anyway, so many changes at once cost time and not
 * bytes.
 */

export interface GossipQueue<T> {
  /** Replaces an older update of the same key. */
  add(key: string, update: T, sizeBytes: number): void;
  /** Takes updates, the least sent first, that fit into `roomBytes`. */
  take(roomBytes: number, memberCount: number): readonly T[];
  /** Others spread it too, so this host may stop sooner. */
  heardAgain(key: string): void;
  size(): number;
}

interface Entry<T> {
  readonly update: T;
  readonly sizeBytes: number;
  sentCount: number;
}

/** Sends beyond the natural logarithm of the member count, against loss. */
const EXTRA_SENDS = 5;
/** Sends that hearing an update back from another saves. */
const SENDS_SAVED_BY_ECHO = 0.5;
/** Entries looked at for each datagram; bounds the work of a long queue. */
const MAX_SCAN = 64;

export function createGossipQueue<T>(): GossipQueue<T> {
  const entries = new Map<string, Entry<T>>();

  function pick(roomBytes: number): string[] {
    let leftBytes = roomBytes;
    const candidates = [...entries]
      .slice(0, MAX_SCAN)
      .sort(([, a], [, b]) => a.sentCount - b.sentCount);
    const picked: string[] = [];
    for (const [key, entry] of candidates) {
      if (entry.sizeBytes > leftBytes) continue;
      leftBytes -= entry.sizeBytes;
      picked.push(key);
    }
    return picked;
  }

  return {
    add(key, update, sizeBytes) {
      entries.delete(key);
      entries.set(key, {update, sizeBytes, sentCount: 0});
    },
    take(roomBytes, memberCount) {
      if (entries.size === 0) return [];
      const limit = Math.ceil(Math.log(memberCount + 1)) + EXTRA_SENDS;
      return pick(roomBytes).map(key => {
        const entry = entries.get(key)!;
        entry.sentCount++;
        entries.delete(key);
        // Back at the end, so that a long queue goes round.
        if (entry.sentCount < limit) entries.set(key, entry);
        return entry.update;
      });
    },
    heardAgain(key) {
      const entry = entries.get(key);
      if (entry) entry.sentCount += SENDS_SAVED_BY_ECHO;
    },
    size: () => entries.size,
  };
}
