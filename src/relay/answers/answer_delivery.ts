/** Forwards an upstream's answer to the caller, unchanged. */

import type {AnswerBodySink, UpstreamAnswer} from '../../ports/relay.js';
import type {PartialAnswer, CollectedAnswer} from './answer_collector.js';
import type {Caller} from '../front/caller.js';
import type {RelayJob} from '../relay_types.js';

export function deliverCollected(
  caller: Caller,
  answer: CollectedAnswer,
): void {
  caller.begin(answer.status, answer.headers, answer.body.length);
  if (answer.body.length > 0) caller.write(answer.body);
  caller.end();
}

/**
 * Forwards a body as it arrives and resolves to whether it was complete. If the
 * body breaks off, the caller's connection is closed as well, so that the
 * answer doesn't look complete.
 */
export function passThrough(
  job: RelayJob,
  answer: UpstreamAnswer,
  partial?: PartialAnswer,
): Promise<boolean> {
  const {caller, cancellation} = job;
  const {body} = answer;
  return new Promise(resolve => {
    const sink: AnswerBodySink = {
      chunk(bytes) {
        if (!caller.write(bytes)) body.pause();
      },
      end() {
        caller.end();
        resolve(true);
      },
      broken() {
        caller.cut();
        resolve(false);
      },
    };
    caller.onWritable(() => body.resume());
    cancellation.onCancel(() => {
      body.destroy();
      resolve(false);
    });
    caller.begin(answer.status, answer.headers);
    if (partial) {
      caller.write(partial.bytes);
      partial.continueWith(sink);
    } else {
      body.read(sink);
    }
  });
}
