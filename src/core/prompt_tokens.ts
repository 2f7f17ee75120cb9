/**
 * Splits prompts into tokens and hashes their prefixes.
 *
 * The router only needs token counts and prefix hashes, not a model's
 * vocabulary, so a token is one word with its preceding white space.
 */

import {FNV_OFFSET, FNV_PRIME, hashFnv1a} from './hash_text.js';

const WORD = /\s*\S+/g;

/** Tokens in one block of the prefix cache. */
export const BLOCK_TOKENS = 16;

/** Returns one number per word. */
export function tokenizePrompt(text: string): readonly number[] {
  return (text.match(WORD) ?? []).map(hashFnv1a);
}

/**
 * Returns a hash for each complete block, up to `maxBlocks`. A hash covers the
 * prompt up to the end of its block, so equal hashes mean equal prefixes.
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
