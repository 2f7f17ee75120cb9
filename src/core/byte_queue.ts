/** Bytes in one buffer, to which more can be added at little cost. */

export interface ByteQueue {
  push(bytes: Buffer): void;
  sizeBytes(): number;
  /** What is held, until the next change. */
  bytes(): Buffer;
  /** Returns bytes that stay valid. */
  copy(from: number, to: number): Buffer;
  /** Removes bytes from the front. */
  drop(sizeBytes: number): void;
}

const EMPTY = Buffer.alloc(0);
const MIN_CAPACITY_BYTES = 1024;

export function createByteQueue(): ByteQueue {
  /** Either given and not to be written to, or own, with space at its end. */
  let buffer: Buffer = EMPTY;
  let isOwn = false;
  let size = 0;

  function toOwn(from: number, capacityBytes: number): void {
    const next = Buffer.allocUnsafeSlow(
      Math.max(MIN_CAPACITY_BYTES, capacityBytes),
    );
    buffer.copy(next, 0, from, size);
    buffer = next;
    isOwn = true;
    size -= from;
  }

  return {
    push(bytes) {
      if (size === 0) {
        buffer = bytes;
        isOwn = false;
        size = bytes.length;
        return;
      }
      const needed = size + bytes.length;
      if (!isOwn || needed > buffer.length) toOwn(0, 2 * needed);
      bytes.copy(buffer, size);
      size = needed;
    },
    sizeBytes: () => size,
    bytes: () => buffer.subarray(0, size),
    // A copy of a small part doesn't keep the whole buffer in memory.
    copy: (from, to) =>
      isOwn
        ? Buffer.from(buffer.subarray(from, to))
        : buffer.subarray(from, to),
    drop(sizeBytes) {
      if (sizeBytes === size) {
        buffer = EMPTY;
        isOwn = false;
        size = 0;
        return;
      }
      if (sizeBytes > 0) toOwn(sizeBytes, size - sizeBytes);
    },
  };
}
