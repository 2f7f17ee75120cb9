/** Seeded random numbers by xoroshiro128+ of pure-rand. */

import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Random} from '../ports/random.js';

const UINT32_RANGE = 2 ** 32;
const ID_WORDS = 4;

export function createSeededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const nextUint32 = () => generator.next() >>> 0;
  const nextFloat = () => nextUint32() / UINT32_RANGE;
  return {
    nextFloat,
    nextInt: bound => Math.floor(nextFloat() * bound),
    nextId() {
      const words: string[] = [];
      for (let i = 0; i < ID_WORDS; i++) {
        words.push(nextUint32().toString(16).padStart(8, '0'));
      }
      return words.join('');
    },
  };
}
