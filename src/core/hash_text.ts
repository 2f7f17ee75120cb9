/** Hashes of texts that are identical on all hosts. */

/** Offset basis and prime of 32-bit FNV-1a. */
export const FNV_OFFSET = 0x811c9dc5;
export const FNV_PRIME = 0x01000193;

/** Returns the 32-bit FNV-1a hash of the text's UTF-16 code units. */
export function hashFnv1a(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return hash >>> 0;
}

/** Returns 32-bit FNV-1a with a finalizer, for buckets, ranks and digests. */
export function hashText(text: string): number {
  let hash = hashFnv1a(text);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
