/** Collects a body in memory, without holding it twice. */

export interface BodyBuffer {
  append(bytes: Buffer): void;
  /** Bytes of the body so far. */
  sizeBytes(): number;
  /** Memory that is used for them. */
  heldBytes(): number;
  /** Returns the body and frees the buffer, which is used no more. */
  take(): Buffer;
  /** Frees the buffer without the cost of joining its parts. */
  drop(): void;
}

/** Smaller parts are copied: each buffer takes about 200 bytes by itself. */
const MIN_PART_BYTES = 2 * 1024;
const BLOCK_BYTES = 16 * 1024;

/** For a body whose length is known before it is read. */
export function createSizedBuffer(lengthBytes: number): BodyBuffer {
  let whole: Buffer | undefined;
  let size = 0;
  return {
    append(bytes) {
      // Most bodies arrive in one part.
      if (bytes.length === lengthBytes) whole = bytes;
      else {
        whole ??= Buffer.allocUnsafeSlow(lengthBytes);
        bytes.copy(whole, size);
      }
      size += bytes.length;
    },
    sizeBytes: () => size,
    heldBytes: () => lengthBytes,
    take() {
      const bytes = whole ?? Buffer.alloc(0);
      whole = undefined;
      return bytes;
    },
    drop: () => void (whole = undefined),
  };
}

/** For a body that comes in chunks. */
export function createGrowingBuffer(): BodyBuffer {
  const parts: Buffer[] = [];
  let size = 0;
  let held = 0;
  let block = Buffer.alloc(0);
  /** The part of the block that is not in `parts`. */
  let begin = 0;
  let end = 0;

  function closePart(): void {
    if (end > begin) parts.push(block.subarray(begin, end));
    begin = end;
  }

  function copy(bytes: Buffer): void {
    if (end + bytes.length > block.length) {
      closePart();
      block = Buffer.allocUnsafeSlow(BLOCK_BYTES);
      held += BLOCK_BYTES;
      begin = end = 0;
    }
    end += bytes.copy(block, end);
  }

  function drop(): void {
    parts.length = 0;
    block = Buffer.alloc(0);
  }

  return {
    append(bytes) {
      const isFirst = size === 0;
      size += bytes.length;
      if (!isFirst && bytes.length < MIN_PART_BYTES) return copy(bytes);
      closePart();
      parts.push(bytes);
      held += bytes.length;
    },
    sizeBytes: () => size,
    heldBytes: () => held,
    take() {
      closePart();
      const bytes = parts.length === 1 ? parts[0] : Buffer.concat(parts, size);
      drop();
      return bytes;
    },
    drop,
  };
}
