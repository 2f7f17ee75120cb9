import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {AnswerBodySink, UpstreamAnswer} from '../../../src/ports/relay.js';
import {collectAnswer} from '../../../src/relay/answers/answer_collector.js';
import {passThrough} from '../../../src/relay/answers/answer_delivery.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import type {RelayJob} from '../../../src/relay/relay_types.js';

const KB = 1024;

/** Collects an answer whose body the test sends. */
function collect() {
  let sink: AnswerBodySink | undefined;
  let heldBytes = 0;
  let isPaused = false;
  const answer = {
    status: 200,
    headers: [],
    body: {
      read: (given: AnswerBodySink) => void (sink = given),
      pause: () => void (isPaused = true),
      resume: () => void (isPaused = false),
      destroy: () => {},
    },
  } as unknown as UpstreamAnswer;
  const collected = collectAnswer(answer, bytes => void (heldBytes = bytes));
  return {
    answer,
    collected,
    sink: sink!,
    heldBytes: () => heldBytes,
    isPaused: () => isPaused,
  };
}

test('an answer of one-byte chunks is held as a few buffers', async () => {
  // Guards against hundreds of bytes of objects for each byte that is held.
  const {collected, sink, heldBytes} = collect();
  for (let i = 0; i < 100_000; i++) sink.chunk(Buffer.from([i % 256]));
  assert.equal(heldBytes(), 100_000);
  sink.end();
  const answer = await collected;
  assert.ok(answer.kind === 'whole');
  assert.ok(answer.chunks.length <= 8, `${answer.chunks.length} chunks`);
  const bytes = Buffer.concat(answer.chunks);
  assert.equal(bytes.length, answer.sizeBytes);
  assert.ok(bytes.every((byte, i) => byte === i % 256));
});

test('a large answer is held once and read on when its caller has taken it', async () => {
  // Guards against 770 KB for each caller that reads nothing.
  const {answer, collected, sink, isPaused} = collect();
  const sent = Array.from({length: 5}, () => Buffer.alloc(64 * KB));
  for (const chunk of sent) sink.chunk(chunk);
  const large = await collected;
  assert.ok(large.kind === 'large');
  const written: Buffer[] = [];
  let drain = () => {};
  const job = {
    caller: {
      begin: () => {},
      write(bytes: Buffer) {
        written.push(bytes);
        return false;
      },
      onWritable: (listener: () => void) => void (drain = listener),
    },
    cancellation: createCancellation(),
    deadlineAtMs: 1_000,
  } as unknown as RelayJob;
  const clock = createVirtualClock();
  void passThrough({clock}, job, answer, large.partial);
  assert.ok(written.every((bytes, i) => bytes.buffer === sent[i].buffer));
  assert.equal(written.length, sent.length);
  assert.deepEqual(large.partial.takeChunks(), []);
  assert.ok(isPaused());
  drain();
  assert.ok(!isPaused());
});
