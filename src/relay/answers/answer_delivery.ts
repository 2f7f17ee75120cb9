/** Hands an upstream's answer on to the caller, unchanged. */

import type {AnswerBodySink, UpstreamAnswer} from '../../ports/relay.js';
import type {BegunAnswer, CollectedAnswer} from './answer_collector.js';
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
 * Passes a body on as it arrives. One that breaks off is cut at the caller,
 * too, so that it never looks whole. Resolves true if it arrived whole.
 */
export function passThrough(
  job: RelayJob,
  answer: UpstreamAnswer,
  begun?: BegunAnswer,
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
    if (begun) {
      caller.write(begun.bytes);
      begun.continueWith(sink);
    } else {
      body.read(sink);
    }
  });
}
