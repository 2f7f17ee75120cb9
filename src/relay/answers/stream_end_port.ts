/**
 * Wraps an upstream port so that an event stream that is no whole one counts as
 * broken off, whichever part of the relay reads it:
 *
 * - A stream without length ends with its connection, and an upstream that
 *   crashes closes its connections like one that is done. Such a stream must
 *   not end inside an event.
 * - The answer to a request for a stream must have an event, unless it resumes
 *   a stream, of which nothing may be left.
 */

import type {
  AnswerBody,
  RelayRequest,
  SendOptions,
  UpstreamAnswer,
  UpstreamPort,
} from '../../ports/relay.js';
import {createEventBoundary, type EventBoundary} from './event_boundary.js';

const STATUS_OK = 200;
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

type FindFault = (boundary: EventBoundary) => string | undefined;

const FAULTS = {
  insideEvent: boundary =>
    boundary.isInsideEvent()
      ? 'the connection closed inside an event'
      : undefined,
  noEvent: boundary =>
    boundary.hasEvent() ? undefined : 'the stream has no event',
} satisfies Readonly<Record<string, FindFault>>;

function mustHaveEvent(
  {lastEventId}: RelayRequest,
  {expectsEvents = false, resumeAfterEvent}: SendOptions,
  {status}: UpstreamAnswer,
): boolean {
  const resumes = lastEventId !== undefined || resumeAfterEvent !== undefined;
  return expectsEvents && !resumes && status === STATUS_OK;
}

function checkEnd(body: AnswerBody, checks: readonly FindFault[]): AnswerBody {
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
          const faults = checks.map(find => find(boundary));
          const fault = faults.find(each => each !== undefined);
          if (fault === undefined) sink.end();
          else sink.broken(fault);
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
      if (!isEventStream(outcome, options)) return outcome;
      const checks: readonly FindFault[] = [
        ...(outcome.body.isUnframed ? [FAULTS.insideEvent] : []),
        ...(mustHaveEvent(request, options, outcome) ? [FAULTS.noEvent] : []),
      ];
      if (checks.length === 0) return outcome;
      return {...outcome, body: checkEnd(outcome.body, checks)};
    },
  };
}
