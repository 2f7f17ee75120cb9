/** Random numbers from Node's generators. */

import {randomBytes, randomInt} from 'node:crypto';
import type {Random} from '../ports/random.js';

const ID_BYTES = 16;

export function createSystemRandom(): Random {
  return {
    nextFloat: () => Math.random(),
    nextInt: bound => randomInt(bound),
    nextId: () => randomBytes(ID_BYTES).toString('hex'),
  };
}
