import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  BLOCK_TOKENS,
  hashPrefixes,
  tokenizePrompt,
} from '../src/core/prompt_tokens.js';

const words = (count: number, word: string) =>
  Array.from({length: count}, (_, i) => `${word}${i}`).join(' ');

test('prompts with a common prefix share the hashes of its blocks', () => {
  const common = words(BLOCK_TOKENS * 2, 'a');
  const one = hashPrefixes(tokenizePrompt(`${common} ${words(20, 'b')}`), 64);
  const two = hashPrefixes(tokenizePrompt(`${common} ${words(20, 'c')}`), 64);
  assert.equal(one.length, 3);
  assert.deepEqual(one.slice(0, 2), two.slice(0, 2));
  assert.notEqual(one[2], two[2]);
});

test('an incomplete block has no hash, and the count is bounded', () => {
  const tokens = tokenizePrompt(words(BLOCK_TOKENS * 10 + 5, 'a'));
  assert.equal(hashPrefixes(tokens, 64).length, 10);
  assert.equal(hashPrefixes(tokens, 4).length, 4);
});
