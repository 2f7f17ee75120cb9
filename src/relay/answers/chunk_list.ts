/** The chunks of a body that is held, of which small ones are joined. */

import {createByteQueue} from '../../core/byte_queue.js';

export interface ChunkList {
  push(bytes: Buffer): void;
  sizeBytes(): number;
  /** Takes the chunks, at most a few for each 64 KB. */
  take(): readonly Buffer[];
}

/** A smaller chunk takes less as bytes than as an object. */
const MIN_CHUNK_BYTES = 4 * 1024;
/** Small chunks are joined up to this size. */
const JOINED_BYTES = 16 * 1024;

export function createChunkList(): ChunkList {
  let chunks: Buffer[] = [];
  const small = createByteQueue();
  let sizeBytes = 0;

  function endSmall(): void {
    const size = small.sizeBytes();
    if (size === 0) return;
    chunks.push(small.copy(0, size));
    small.drop(size);
  }

  return {
    push(bytes) {
      sizeBytes += bytes.length;
      if (bytes.length < MIN_CHUNK_BYTES) {
        small.push(bytes);
        if (small.sizeBytes() >= JOINED_BYTES) endSmall();
        return;
      }
      endSmall();
      chunks.push(bytes);
    },
    sizeBytes: () => sizeBytes,
    take() {
      endSmall();
      const taken = chunks;
      chunks = [];
      sizeBytes = 0;
      return taken;
    },
  };
}
