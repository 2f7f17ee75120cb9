import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {HttpExchange} from '../../../src/adapters/http_exchange.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {AnswerBody, AnswerBodySink} from '../../../src/ports/relay.js';
import {createForwardClient} from '../../../src/relay/forwarding/forward_client.js';
import {
  encodeFrame,
  type Frame,
} from '../../../src/relay/forwarding/forward_frames.js';
import type {ForwardPeers} from '../../../src/relay/forwarding/forward_peers.js';

const OUTCOME: Frame = {
  kind: 'outcome',
  outcome: {kind: 'answered', status: 200, headers: [], hasSignature: true},
};
const END: Frame = {kind: 'end'};
const data = (text: string): Frame => ({
  kind: 'data',
  bytes: Buffer.from(text),
});

/** Gets an answer from a peer, of which the test sends the frames. */
async function callPeer() {
  let sink: AnswerBodySink | undefined;
  const body: AnswerBody = {
    isUnframed: false,
    read: given => void (sink = given),
    pause: () => {},
    resume: () => {},
    destroy: () => {},
  };
  const exchange = {
    start: () => Promise.resolve({kind: 'answered', status: 200, body}),
  } as unknown as HttpExchange;
  const nothing = () => {};
  const client = createForwardClient({
    clock: createVirtualClock(),
    exchange,
    hostId: 'h-1',
    peers: {
      candidates: () => [{hostId: 'h-2', peerAddress: 'h-2:1'}],
      begin: nothing,
      end: nothing,
      noteServed: nothing,
    } as unknown as ForwardPeers,
    onCalled: nothing,
  });
  const called = client.call(
    {kind: 'probe', upstreamId: 'u'},
    {maxUnreached: 1, timeoutMs: 1_000},
  );
  while (!sink) await Promise.resolve();
  const peer = sink;
  const send = (...frames: readonly Frame[]) =>
    peer.chunk(Buffer.concat(frames.map(encodeFrame)));
  send(OUTCOME);
  const forwarded = await called;
  assert.ok(forwarded.kind === 'outcome');
  return {body: forwarded.body, peer, send};
}

/** Reads a body and pauses it after each chunk. */
function readPaused(body: AnswerBody): readonly string[] {
  const log: string[] = [];
  body.read({
    chunk(bytes) {
      log.push(bytes.toString());
      body.pause();
    },
    end: () => void log.push('end'),
    broken: () => void log.push('broken'),
  });
  return log;
}

test('what a peer sends at once is one chunk, and its end waits for the reader', async () => {
  // Guards against thousands of chunks after a pause, and against an answer
  // whose end is lost while it is paused.
  const {body, send} = await callPeer();
  const log = readPaused(body);
  send(...Array.from({length: 1_000}, () => data('x')), END);
  assert.deepEqual(log, ['x'.repeat(1_000)]);
  body.resume();
  assert.deepEqual(log.slice(1), ['end']);
});

test('a peer that breaks off while the answer is paused is reported at once', async () => {
  const {body, peer, send} = await callPeer();
  const log = readPaused(body);
  send(data('a'));
  send(data('b'));
  peer.broken('reset');
  assert.deepEqual(log, ['a', 'broken']);
});
