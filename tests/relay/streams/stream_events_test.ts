import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {AnswerBodySink} from '../../../src/ports/relay.js';
import type {Caller} from '../../../src/relay/front/caller.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import {
  relayEvents,
  type StreamEnd,
} from '../../../src/relay/streams/stream_events.js';
import {makeResourceLimits} from '../../support/resource_limits.js';

const READ_BYTES = 64 * 1024;

/** Relays a run to a caller that takes all or nothing. */
function relay({
  wholeEventsOnly = true,
  takes = true,
  memory = makeResourceLimits().memory,
} = {}) {
  const written: Buffer[] = [];
  let sink: AnswerBodySink | undefined;
  let events = 0;
  let end: StreamEnd | undefined;
  const caller: Partial<Caller> & {hasBegun: boolean} = {
    hasBegun: false,
    begin: () => void (caller.hasBegun = true),
    write(bytes) {
      written.push(bytes);
      return takes;
    },
    end: () => {},
    onWritable: () => {},
  };
  void relayEvents(
    {clock: createVirtualClock(), memory},
    {
      requestId: 'r',
      answer: {
        kind: 'answered',
        status: 200,
        headers: [],
        hasSignature: true,
        body: {
          isUnframed: false,
          read: given => void (sink = given),
          pause: () => {},
          resume: () => {},
          destroy: () => {},
        },
      },
      caller: caller as Caller,
      cancellation: createCancellation(),
      wholeEventsOnly,
      deadlineAtMs: 60_000,
      onEvents: ({count}) => void (events += count),
      onResume: () => {},
    },
  ).then(given => void (end = given));
  return {
    caller,
    written,
    send: (text: string) => sink!.chunk(Buffer.from(text)),
    events: () => events,
    end: async () => {
      await Promise.resolve();
      return end;
    },
  };
}

/** What one read of a connection brings. */
const fill = (part: string) =>
  part.repeat(Math.floor(READ_BYTES / part.length));

describe('one read of many parts is written at once', () => {
  // Guards against thousands of pending writes for each read, which fill the
  // memory of the host.
  for (const part of ['id: 1\n\n', ':\n\n', 'data: x\n\n']) {
    for (const wholeEventsOnly of [true, false]) {
      test(`${JSON.stringify(part)}, whole only: ${wholeEventsOnly}`, () => {
        const {send, written, events} = relay({wholeEventsOnly, takes: false});
        const text = `id: 0\n\n${fill(part)}`;
        send(text);
        assert.equal(written.length, 1);
        assert.equal(written[0].length, text.length);
        const others = part === ':\n\n' ? 0 : fill(part).length / part.length;
        assert.equal(events(), 1 + others);
      });
    }
  }
});

describe('comments are no events', () => {
  test('they are held back until the first event', () => {
    const {send, written, caller} = relay();
    send(': waiting\n\n');
    assert.equal(caller.hasBegun, false);
    send('id: 1\n\n');
    assert.equal(Buffer.concat(written).toString(), ': waiting\n\nid: 1\n\n');
  });

  test('those between events are forwarded as they arrive', async () => {
    const {send, written, end} = relay();
    for (let i = 0; i < 100; i++) {
      send('id: 1\n\n');
      for (let j = 0; j < 1_000; j++) send(': heartbeat\n\n');
    }
    assert.equal(written.length, 100 * 1_001);
    assert.equal(await end(), undefined);
  });

  for (const first of ['', 'id: 1\n\n']) {
    test(`without end, they end the run, after ${first.length} bytes`, async () => {
      // Guards against an engine in trouble that never makes an event and
      // fills the host and the link of the caller until the deadline.
      const {send, end, caller} = relay();
      send(first);
      for (let i = 0; i < 5; i++) send(fill(': c\n\n'));
      const ended = await end();
      assert.equal(ended?.kind, 'broken');
      assert.equal(caller.hasBegun, first !== '');
    });
  }
});

test('an event for which there is no room is given up', async () => {
  const {memory} = makeResourceLimits({memoryMb: 1});
  const {send, end} = relay({memory});
  send(`data: ${'x'.repeat(READ_BYTES)}`);
  assert.ok(memory.heldBytes('answer') > READ_BYTES);
  send('x'.repeat(READ_BYTES));
  assert.equal((await end())?.kind, 'dropped');
  assert.equal(memory.heldBytes(), 0);
});
