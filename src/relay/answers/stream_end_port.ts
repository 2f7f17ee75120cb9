/**
 * Wraps an upstream port so that an event stream without length that ends
 * inside an event counts as broken off, whichever part of the relay reads it.
 *
 * Such a stream ends with its connection, and an upstream that crashes closes
 * its connections like one that is done.
 */

import type {
  AnswerBody,
  SendOptions,
  UpstreamAnswer,
  UpstreamPort,
} from '../../ports/relay.js';
import {createEventBoundary} from './event_boundary.js';

const EVENT_STREAM = /^text\/event-stream\b/i;

function findContentType({headers}: UpstreamAnswer): string | undefined {
  const index = headers.findIndex(
    (name, i) => i % 2 === 0 && name.toLowerCase() === 'content-type',
  );
  return index < 0 ? undefined : headers[index + 1];
}

function isEventStream(
  answer: UpstreamAnswer,
  {expectsEvents = false}: SendOptions,
): boolean {
  const contentType = findContentType(answer);
  return contentType === undefined
    ? expectsEvents
    : EVENT_STREAM.test(contentType);
}

function checkEnd(body: AnswerBody): AnswerBody {
  return {
    ...body,
    read(sink) {
      const boundary = createEventBoundary();
      body.read({
        chunk(bytes) {
          boundary.push(bytes);
          sink.chunk(bytes);
        },
        end() {
          if (boundary.isInsideEvent()) {
            sink.broken('the connection closed inside an event');
          } else {
            sink.end();
          }
        },
        broken: (detail, cause) => sink.broken(detail, cause),
      });
    },
  };
}

export function createStreamEndPort(port: UpstreamPort): UpstreamPort {
  return {
    ...port,
    async send(request, options, cancellation) {
      const outcome = await port.send(request, options, cancellation);
      if (outcome.kind !== 'answered') return outcome;
      const isChecked =
        outcome.body.isUnframed && isEventStream(outcome, options);
      return isChecked ? {...outcome, body: checkEnd(outcome.body)} : outcome;
    },
  };
}
