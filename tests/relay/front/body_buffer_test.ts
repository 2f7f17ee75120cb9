import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {
  createGrowingBuffer,
  createSizedBuffer,
  type BodyBuffer,
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

/** Appends parts of 100 kB; returns references that don't keep them. */
function fill(buffer: BodyBuffer, count: number): readonly WeakRef<Buffer>[] {
  return Array.from({length: count}, () => {
    const part = Buffer.alloc(100_000);
    buffer.append(part);
    return new WeakRef(part);
  });
}

test('a body that was taken or discarded is not kept by its buffer', async () => {
  // Guards against refused bodies that are held while their connections linger.
  const buffers = [
    createGrowingBuffer(),
    createGrowingBuffer(),
    createSizedBuffer(100_000),
  ];
  const parts = buffers.flatMap((buffer, i) => fill(buffer, i < 2 ? 20 : 1));
  buffers[0].take();
  for (const buffer of buffers.slice(1)) buffer.discard();
  // References are kept until the current job has ended.
  await new Promise(resolve => setImmediate(resolve));
  collectGarbage();
  const kept = parts.filter(part => part.deref() !== undefined);
  assert.equal(kept.length, 0);
  assert.equal(buffers.length, 3);
});
