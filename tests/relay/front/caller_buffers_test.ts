import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {AnswerBodySink} from '../../../src/ports/relay.js';
import type {Caller} from '../../../src/relay/front/caller.js';
import {createCallerBuffers} from '../../../src/relay/front/caller_buffers.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import {createRunWatch} from '../../../src/relay/silence/run_watch.js';
import {
  relayEvents,
  type StreamEnd,
} from '../../../src/relay/streams/stream_events.js';
import {makeResourceLimits} from '../../support/resource_limits.js';
import {silentLog} from '../../support/silent_log.js';
import {makeEngine} from '../placement/lone_scheduler.js';
import {makeFakeSilence} from '../silence/fake_silence.js';

const KB = 1024;

function makeBuffers(memoryMb?: number) {
  const counted: string[] = [];
  const closed: string[] = [];
  const buffers = createCallerBuffers({
    clock: createVirtualClock(),
    log: silentLog,
    metrics: {count: (name, labels = '') => void counted.push(labels)},
    memory: makeResourceLimits({memoryMb}).memory,
  });
  const block = (requestId: string, bufferedBytes: number, isStream = true) => {
    const connection = {
      requestId,
      isStream: () => isStream,
      bufferedBytes: () => bufferedBytes,
      close: () => void closed.push(requestId),
    };
    buffers.noteBlocked(connection);
    return connection;
  };
  return {buffers, block, closed, counted};
}

test('beyond what may be held for callers a stream that reads nothing is closed, and counted', () => {
  // Guards against a host that runs out of memory for callers that read nothing.
  const {buffers, block, closed, counted} = makeBuffers(8);
  block('plain', 200 * KB, false);
  const reading = block('reading', 300 * KB);
  block('slowest', 300 * KB);
  buffers.noteFree(reading);
  block('slow', 300 * KB);
  assert.deepEqual(closed, []);
  block('last', 300 * KB);
  assert.deepEqual(closed, ['slowest']);
  assert.deepEqual(counted, ['cause="all-connections"']);
  assert.equal(buffers.bufferedBytes(), (800 + 2 * 16) * KB);
});

test('one connection holds a bounded amount, also without a known memory', () => {
  const {block, closed} = makeBuffers();
  for (let i = 0; i < 100; i++) block(`slow-${i}`, 500 * KB);
  assert.deepEqual(closed, []);
  block('large', 600 * KB);
  assert.deepEqual(closed, ['large']);
});

/** Relays a run to a caller that takes nothing until `read` is called. */
function relayToSlowCaller() {
  const clock = createVirtualClock();
  let sink: AnswerBodySink | undefined;
  let read = () => {};
  let isPaused = false;
  let end: StreamEnd | undefined;
  const caller: Partial<Caller> = {
    hasBegun: true,
    write: () => false,
    onWritable: listener => void (read = listener),
  };
  const body = {
    isUnframed: false,
    read: (given: AnswerBodySink) => void (sink = given),
    pause: () => void (isPaused = true),
    resume: () => void (isPaused = false),
    destroy: () => {},
  };
  void relayEvents(
    {clock, memory: makeResourceLimits().memory},
    {
      requestId: 'r',
      answer: {
        kind: 'answered',
        status: 200,
        headers: [],
        hasSignature: true,
        body,
      },
      caller: caller as Caller,
      cancellation: createCancellation(),
      wholeEventsOnly: true,
      watch: createRunWatch(makeEngine('d1'), {
        clock,
        silence: makeFakeSilence(),
        requestId: 'q1',
        hasBegun: () => true,
        lastStartAtMs: () => 60_000,
        prepare: () => Promise.resolve('next'),
        onKept: () => {},
      }),
      deadlineAtMs: 60_000,
      onEvents: () => {},
      onResume: () => {},
    },
  ).then(given => void (end = given));
  return {
    clock,
    send: (bytes: string) => sink!.chunk(Buffer.from(bytes)),
    read: () => read(),
    isPaused: () => isPaused,
    end: () => end,
  };
}

test('a run whose caller reads nothing is not taken for stalled', async () => {
  // Guards against a second run, and a failure counted against the engine, for
  // a stream that this host itself has paused.
  const {clock, send, read, isPaused, end} = relayToSlowCaller();
  send('id: 1\n\n');
  assert.ok(isPaused());
  await clock.advance(5_000);
  assert.equal(end(), undefined);
  read();
  assert.ok(!isPaused());
  await clock.advance(1_400);
  assert.equal(end()?.kind, 'left');
});

test('an event without end is not buffered without bound', async () => {
  const {clock, send, end} = relayToSlowCaller();
  for (let i = 0; i < 5; i++) send('x'.repeat(64 * KB));
  await clock.advance(1);
  assert.equal(end()?.kind, 'broken');
});
