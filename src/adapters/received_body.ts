/** The body of an answer that Node's client receives. */

import type http from 'node:http';
import type {AnswerBody, AnswerBodySink} from '../ports/relay.js';

function isUnframed({headers}: http.IncomingMessage): boolean {
  const hasChunks = /\bchunked\b/i.test(headers['transfer-encoding'] ?? '');
  return headers['content-length'] === undefined && !hasChunks;
}

export interface ReceivedBody {
  readonly body: AnswerBody;
  /** Ends the body as broken and closes its connection. */
  breakOff(detail: string): void;
}

/**
 * Detects when the upstream aborts an answer without a content length: Node
 * takes a reset for the end of such a body and reports it as complete. The
 * error of the request or the state of the connection shows the reset first.
 * An answer with a length or chunks shows its end itself; what the connection
 * carries afterwards doesn't matter.
 */
export function createReceivedBody(
  answer: http.IncomingMessage,
  hasFailed: () => boolean,
  onEnd: () => void,
): ReceivedBody {
  const bodyIsUnframed = isUnframed(answer);
  let sink: AnswerBodySink | undefined;
  /** Set once the body has ended; the connection may close before it is read. */
  let deliverEnd: ((sink: AnswerBodySink) => void) | undefined;
  let isDestroyed = false;
  const end = (deliver: (sink: AnswerBodySink) => void) => {
    if (deliverEnd || isDestroyed) return;
    deliverEnd = deliver;
    onEnd();
    if (sink) deliver(sink);
  };
  const fail = (detail: string) => end(given => given.broken(detail));
  answer.on('end', () => {
    // Node also emits `end` when the connection is lost.
    const isWhole = answer.complete && !(bodyIsUnframed && hasFailed());
    if (isWhole) end(given => given.end());
    else fail('the answer ended early');
  });
  answer.on('error', error => fail(error.message));
  answer.on('close', () => fail('the connection closed'));
  return {
    body: {
      isUnframed: bodyIsUnframed,
      read(given) {
        sink = given;
        if (deliverEnd) deliverEnd(given);
        else answer.on('data', (bytes: Buffer) => given.chunk(bytes));
      },
      pause: () => void answer.pause(),
      resume: () => void answer.resume(),
      destroy() {
        isDestroyed = true;
        onEnd();
        answer.destroy();
      },
    },
    breakOff(detail) {
      fail(detail);
      answer.destroy();
    },
  };
}
