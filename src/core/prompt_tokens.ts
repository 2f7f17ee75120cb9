/**
 * Prompts as token numbers, and hashes of their prefixes.
 *
 * The router needs counts and prefix hashes, not a model's own vocabulary: a
 * token here is one word with the white space before it.
 */

import {FNV_OFFSET, FNV_PRIME, hashFnv1a} from './hash_text.js';

const WORD = /\s*\S+/g;

/** Tokens in one block of the prefix cache. */
export const BLOCK_TOKENS = 16;

/** One number a word. */
export function tokenizePrompt(text: string): readonly number[] {
  return (text.match(WORD) ?? []).map(hashFnv1a);
}

/**
 * A hash for each whole block of the prompt; each covers the prompt up to the
 * block's end, so equal hashes mean equal prefixes. At most `maxBlocks`.
 */
export function hashPrefixes(
  tokens: readonly number[],
  maxBlocks: number,
): readonly string[] {
  const hashes: string[] = [];
  let low = FNV_OFFSET;
  let high = FNV_PRIME;
  const blockCount = Math.min(
    maxBlocks,
    Math.floor(tokens.length / BLOCK_TOKENS),
  );
  for (let i = 0; i < blockCount * BLOCK_TOKENS; i++) {
    low = Math.imul(low ^ tokens[i], FNV_PRIME);
    high = Math.imul(high + tokens[i], FNV_OFFSET) ^ (low >>> 15);
    if ((i + 1) % BLOCK_TOKENS === 0) {
      hashes.push(
        (low >>> 0).toString(16).padStart(8, '0') +
          (high >>> 0).toString(16).padStart(8, '0'),
      );
    }
  }
  return hashes;
}
