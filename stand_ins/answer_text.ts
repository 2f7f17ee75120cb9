/**
 * Answers of a stand-in engine. Each token is a pure function of the prompt and
 * the offset, so that a reader can check a resumed stream token by token.
 */

import {FNV_OFFSET, FNV_PRIME} from '../src/core/hash_text.js';

/** The answer to one prompt. */
export interface ExpectedAnswer {
  /** Number of tokens that the engine generates without a limit. */
  readonly naturalTokenCount: number;
  textAt(offset: number): string;
}

const WORD_RANGE = 46_656;

/** Mixes one 32-bit number into an FNV-1a hash. */
function mixHash(hash: number, value: number): number {
  let mixed = hash;
  for (let shift = 0; shift < 32; shift += 8) {
    mixed = Math.imul(mixed ^ ((value >>> shift) & 0xff), FNV_PRIME);
  }
  return mixed >>> 0;
}

/** Hashes all tokens of a prompt into one number. */
export function hashPrompt(tokens: readonly number[]): number {
  return tokens.reduce(mixHash, FNV_OFFSET);
}

/** The natural length lies between 0.5 and 1.5 times the mean. */
export function expectAnswer(
  promptTokens: readonly number[],
  meanTokenCount: number,
): ExpectedAnswer {
  return expectAnswerByHash(hashPrompt(promptTokens), meanTokenCount);
}

/**
 * Like `expectAnswer`, from the prompt hash that is exported with the KV cache.
 */
export function expectAnswerByHash(
  promptHash: number,
  meanTokenCount: number,
): ExpectedAnswer {
  const shortest = Math.max(1, Math.floor(meanTokenCount / 2));
  return {
    naturalTokenCount: shortest + (promptHash % (meanTokenCount + 1)),
    textAt(offset) {
      const word = mixHash(promptHash, offset) % WORD_RANGE;
      return ` ${word.toString(36)}`;
    },
  };
}
