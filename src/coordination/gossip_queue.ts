/**
 * Queue of updates to be distributed to all members. Each update is piggybacked
 * on a bounded number of regular datagrams, so a burst of changes takes longer
 * to spread but does not increase traffic.
 */

export interface GossipQueue<T> {
  /** Replaces an older update of the same key. */
  add(key: string, update: T, sizeBytes: number): void;
  /** Takes updates that fit into `roomBytes`, the least sent first. */
  take(roomBytes: number, memberCount: number): readonly T[];
  /** Reports that another host sent the update, so fewer sends are needed. */
  recordEcho(key: string): void;
  size(): number;
}

interface Entry<T> {
  readonly update: T;
  readonly sizeBytes: number;
  sentCount: number;
}

/** Sends beyond the natural logarithm of the member count, to cover loss. */
const EXTRA_SENDS = 5;
/** Sends saved each time another host sends the same update. */
const SENDS_SAVED_BY_ECHO = 0.5;
/** Entries examined per datagram; bounds the work for a long queue. */
const MAX_SCANNED_ENTRIES = 64;

export function createGossipQueue<T>(): GossipQueue<T> {
  const entries = new Map<string, Entry<T>>();

  function pick(roomBytes: number): string[] {
    let leftBytes = roomBytes;
    const candidates = [...entries]
      .slice(0, MAX_SCANNED_ENTRIES)
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
        // Requeued at the end, since only the first entries are examined.
        if (entry.sentCount < limit) entries.set(key, entry);
        return entry.update;
      });
    },
    recordEcho(key) {
      const entry = entries.get(key);
      if (entry) entry.sentCount += SENDS_SAVED_BY_ECHO;
    },
    size: () => entries.size,
  };
}
