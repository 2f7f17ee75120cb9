import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  createFrameReader,
  decodeCall,
  encodeCall,
  encodeFrame,
  type ForwardCall,
  type ForwardOutcome,
  type Frame,
} from '../../../src/relay/forwarding/forward_frames.js';

const anyBytes = fc.uint8Array({maxLength: 300}).map(each => Buffer.from(each));
const anyFrame: fc.Arbitrary<Frame> = fc.oneof(
  anyBytes.map((bytes): Frame => ({kind: 'data', bytes})),
  fc.string().map((detail): Frame => ({kind: 'broken', detail})),
  fc.constant<Frame>({kind: 'end'}),
  fc.string().map((detail): Frame => ({
    kind: 'outcome',
    outcome: {kind: 'unreachable', detail},
  })),
);

test('frames arrive whole and in order however their bytes are split', () => {
  fc.assert(
    fc.property(
      fc.array(anyFrame, {maxLength: 8}),
      fc.integer({min: 1, max: 40}),
      (frames, chunkBytes) => {
        const bytes = Buffer.concat(frames.map(encodeFrame));
        const reader = createFrameReader();
        const read: Frame[] = [];
        for (let from = 0; from < bytes.length; from += chunkBytes) {
          read.push(...reader.push(bytes.subarray(from, from + chunkBytes)));
        }
        assert.deepEqual(read, frames);
      },
    ),
  );
});

test('a message that is no call is rejected', () => {
  // Guards against a peer of another build, or a stranger, that ends the
  // process with an invalid message.
  fc.assert(
    fc.property(anyBytes, bytes => {
      assert.equal(decodeCall(bytes), undefined);
    }),
  );
  const invalid = [
    {kind: 'order', upstreamId: 'u'},
    {kind: 'probe'},
    {kind: 'send', upstreamId: 'u', request: {}, options: {}},
    {kind: 'release', upstreamId: 'u'},
  ] as unknown as readonly ForwardCall[];
  for (const call of invalid) {
    assert.equal(decodeCall(encodeCall(call)), undefined);
  }
  const probe: ForwardCall = {kind: 'probe', upstreamId: 'u'};
  const body = Buffer.from('body');
  assert.deepEqual(decodeCall(encodeCall(probe, body)), {call: probe, body});
});

test('an outcome without the fields of its kind is rejected', () => {
  // Guards against a peer of another build that fails the request of a caller.
  const invalid = [
    null,
    {kind: 'toString'},
    {kind: 'answered', status: '200', headers: []},
    {kind: 'answered', status: 200, headers: [1, 2]},
    {kind: 'prefilled'},
    {kind: 'prefilled', handle: 'a\x01b'},
  ] as unknown as readonly ForwardOutcome[];
  for (const outcome of invalid) {
    const bytes = encodeFrame({kind: 'outcome', outcome});
    assert.throws(() => createFrameReader().push(bytes));
  }
});
