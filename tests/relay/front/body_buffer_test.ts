import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {
  createGrowingBuffer,
  createSizedBuffer,
} from '../../../src/relay/front/body_buffer.js';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const SIZES = [1, 2_047, 2_048, 1, 1, 40_000, 3, 16_384, 5, 2_000, 15_000];
const PARTS = SIZES.map((size, index) => Buffer.alloc(size, index + 1));
const WHOLE = Buffer.concat(PARTS);

test('a body is collected in order, whatever the sizes of its parts', () => {
  const sized = createSizedBuffer(WHOLE.length);
  const growing = createGrowingBuffer();
  for (const part of PARTS) {
    sized.append(part);
    growing.append(part);
  }
  assert.ok(sized.take().equals(WHOLE));
  assert.ok(growing.take().equals(WHOLE));
});

test('parts of one byte take little more memory than the body', () => {
  const buffer = createGrowingBuffer();
  const part = Buffer.from('x');
  const before = process.memoryUsage().arrayBuffers;
  for (let i = 0; i < 500_000; i++) buffer.append(part);
  const grownBytes = process.memoryUsage().arrayBuffers - before;
  assert.ok(buffer.heldBytes() < 520_000, String(buffer.heldBytes()));
  assert.ok(grownBytes < 600_000, String(grownBytes));
  assert.equal(buffer.take().length, 500_000);
});

test('a body that was taken or discarded is not kept by its buffer', () => {
  const before = process.memoryUsage().arrayBuffers;
  const kept = [createGrowingBuffer(), createSizedBuffer(2_000_000)].map(
    (buffer, index) => {
      for (let i = 0; i < 20; i++) buffer.append(Buffer.alloc(100_000));
      if (index === 0) buffer.take();
      else buffer.discard();
      return buffer;
    },
  );
  collectGarbage();
  const grownBytes = process.memoryUsage().arrayBuffers - before;
  assert.ok(grownBytes < 1_000_000, String(grownBytes));
  assert.equal(kept.length, 2);
});
