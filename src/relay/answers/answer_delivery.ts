/** Forwards an upstream's answer to the caller, unchanged. */

import type {RequestError} from '../../core/error_kinds.js';
import type {Clock} from '../../ports/clock.js';
import type {AnswerBodySink, UpstreamAnswer} from '../../ports/relay.js';
import type {PartialAnswer, CollectedAnswer} from './answer_collector.js';
import type {Caller} from '../front/caller.js';
import {leftMs, type RelayJob} from '../relay_types.js';

export function deliverCollected(
  caller: Caller,
  answer: CollectedAnswer,
): void {
  caller.begin(answer.status, answer.headers, answer.sizeBytes);
  for (const bytes of answer.chunks) caller.write(bytes);
  caller.end();
}

/** How the forwarding of a body ended. */
export type PassEnd =
  | {readonly kind: 'whole'}
  | {readonly kind: 'caller-gone'}
  /** The caller's connection was closed, as its answer is not whole. */
  | {readonly kind: 'cut'; readonly error: RequestError};

/**
 * Forwards a body as it arrives. If it breaks off, or has not ended by the
 * deadline, the caller's connection is closed as well, so that the answer
 * doesn't look complete.
 */
export function passThrough(
  {clock}: {readonly clock: Clock},
  job: RelayJob,
  answer: UpstreamAnswer,
  partial?: PartialAnswer,
): Promise<PassEnd> {
  const {caller, cancellation, deadlineAtMs} = job;
  const {body} = answer;
  return new Promise(resolve => {
    const settle = (end: PassEnd) => {
      clock.clearTimer(deadlineTimer);
      resolve(end);
    };
    const cut = (error: RequestError) => {
      caller.cut();
      settle({kind: 'cut', error});
    };
    const deadlineTimer = clock.setTimer(
      leftMs(deadlineAtMs, clock.nowMs()),
      () => {
        body.destroy();
        cut({kind: 'deadline-passed', detail: 'no whole answer in time'});
      },
    );
    const sink: AnswerBodySink = {
      chunk(bytes) {
        if (!caller.write(bytes)) body.pause();
      },
      end() {
        caller.end();
        settle({kind: 'whole'});
      },
      broken: detail => cut({kind: 'answer-cut', detail}),
    };
    caller.onWritable(() => body.resume());
    cancellation.onCancel(() => {
      body.destroy();
      settle({kind: 'caller-gone'});
    });
    caller.begin(answer.status, answer.headers);
    if (partial) {
      partial.continueWith(sink);
      const areTaken = partial.takeChunks().map(each => caller.write(each));
      if (areTaken.at(-1)) body.resume();
    } else {
      body.read(sink);
    }
  });
}
