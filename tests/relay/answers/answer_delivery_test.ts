import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {AnswerBodySink, UpstreamAnswer} from '../../../src/ports/relay.js';
import {passThrough} from '../../../src/relay/answers/answer_delivery.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import type {RelayJob} from '../../../src/relay/relay_types.js';

const DEADLINE_MS = 1_000;

interface Ending {
  /** Ends the body; absent if it never ends. */
  readonly finish?: (sink: AnswerBodySink) => void;
  readonly end: string;
  readonly isCut: boolean;
  readonly isClosed: boolean;
}

const ENDINGS: Readonly<Record<string, Ending>> = {
  'a body that ends': {
    finish: sink => sink.end(),
    end: 'whole',
    isCut: false,
    isClosed: false,
  },
  'a body that breaks off': {
    finish: sink => sink.broken('it crashed'),
    end: 'answer-cut',
    isCut: true,
    isClosed: false,
  },
  'a body that never ends': {
    end: 'deadline-passed',
    isCut: true,
    isClosed: true,
  },
};

describe('a body is forwarded until its end or the deadline, to a slow caller', () => {
  // Guards against a paused body behind a peer, whose end arrives nowhere.
  for (const [name, expected] of Object.entries(ENDINGS)) {
    test(name, async () => {
      const clock = createVirtualClock();
      let isCut = false;
      let isClosed = false;
      const job = {
        caller: {
          begin: () => {},
          write: () => false,
          end: () => {},
          cut: () => (isCut = true),
          onWritable: () => {},
        },
        cancellation: createCancellation(),
        deadlineAtMs: DEADLINE_MS,
      } as unknown as RelayJob;
      const answer = {
        status: 200,
        headers: [],
        body: {
          read(sink: AnswerBodySink) {
            sink.chunk(Buffer.from('half'));
            expected.finish?.(sink);
          },
          pause: () => {},
          resume: () => {},
          destroy: () => (isClosed = true),
        },
      } as unknown as UpstreamAnswer;
      const result = passThrough({clock}, job, answer);
      await clock.advance(DEADLINE_MS - 1);
      assert.equal(isCut, expected.finish !== undefined && expected.isCut);
      await clock.advance(1);
      const end = await result;
      assert.equal(
        end.kind === 'cut' ? end.error.kind : end.kind,
        expected.end,
      );
      assert.deepEqual([isCut, isClosed], [expected.isCut, expected.isClosed]);
      assert.equal(clock.pendingCount(), 0);
    });
  }
});
