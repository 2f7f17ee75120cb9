/** Collects a body in memory, without holding it twice. */

export interface BodyBuffer {
  append(bytes: Buffer): void;
  /** Bytes of the body so far. */
  sizeBytes(): number;
  /** Memory that is used for them. */
  heldBytes(): number;
  /** Returns the body, and keeps nothing of it. */
  take(): Buffer;
  /** Keeps nothing of the body; what is appended afterwards isn't kept. */
  discard(): void;
}

/** Smaller parts are copied: each buffer takes about 200 bytes by itself. */
const MIN_PART_BYTES = 2 * 1024;
const BLOCK_BYTES = 16 * 1024;

/** For a body whose length is known before it is read. */
export function createSizedBuffer(lengthBytes: number): BodyBuffer {
  let whole: Buffer | undefined;
  let size = 0;
  let isDiscarded = false;

  function discard(): void {
    isDiscarded = true;
    whole = undefined;
  }

  return {
    append(bytes) {
      if (isDiscarded) return;
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
      const taken = whole ?? Buffer.alloc(0);
      discard();
      return taken;
    },
    discard,
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
  let isDiscarded = false;

  function discard(): void {
    isDiscarded = true;
    parts.length = 0;
    block = Buffer.alloc(0);
    begin = end = 0;
  }

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

  return {
    append(bytes) {
      if (isDiscarded) return;
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
      const taken = parts.length === 1 ? parts[0] : Buffer.concat(parts, size);
      discard();
      return taken;
    },
    discard,
  };
}
