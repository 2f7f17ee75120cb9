/**
 * Wraps an upstream port to observe how every run ends, whichever part of the
 * relay sent it and whether its answer was read to the end, and to send nothing
 * that is known to crash upstreams.
 */

import type {RequestError} from '../../core/error_kinds.js';
import {isGenuine} from '../answers/answer_rules.js';
import type {
  AnswerBody,
  PrefillOutcome,
  RelayRequest,
  SendFailure,
  UpstreamAnswer,
  UpstreamPort,
} from '../../ports/relay.js';
import type {Upstream} from '../../core/upstream.js';

/** How a run ended, as its host saw it. */
export type RunEnd =
  /** A whole success arrived: the request and its parts are harmless. */
  | 'complete'
  /** A whole answer to the caller's error arrived: the request is harmless. */
  | 'declined'
  /** An answer arrived that doesn't show that the request ran to its end. */
  | 'answered'
  /** The request did not reach the upstream. */
  | 'not-run'
  /** The upstream refused to run the request. */
  | 'rejected'
  /** Another instance at its address refused to run the request. */
  | 'replaced'
  /** The upstream broke off. */
  | 'broken'
  /** This host broke off: the caller left, or the time was up. */
  | 'abandoned';

export interface WatchedRun {
  /** The head of an answer arrived. */
  noteAnswer(): void;
  /** Bytes of the answer arrived. */
  noteData(): void;
  /** Later calls have no effect. */
  end(how: RunEnd): void;
}

export interface WatchedUpstreamPortHost {
  readonly port: UpstreamPort;
  /** Called before a request is sent. */
  startRun(request: RelayRequest, upstream: Upstream): WatchedRun;
  /** Returns an error if the request must not be sent. */
  findRefusal(request: RelayRequest): RequestError | undefined;
}

const FIRST_ERROR = 400;
const SERVER_ERROR = 500;

function toEndOfWhole(answer: UpstreamAnswer): RunEnd {
  if (!isGenuine(answer) || answer.status >= SERVER_ERROR) return 'answered';
  return answer.status < FIRST_ERROR ? 'complete' : 'declined';
}

function toRunEnd(failure: SendFailure): RunEnd {
  switch (failure.kind) {
    case 'unreachable':
    case 'withheld':
    case 'quarantined':
      return 'not-run';
    case 'rejected':
      return failure.reason === 'other-instance' ? 'replaced' : 'rejected';
    case 'broken':
      return 'broken';
    case 'cancelled':
      return 'abandoned';
  }
}

function watchBody(
  body: AnswerBody,
  run: WatchedRun,
  atEnd: RunEnd,
): AnswerBody {
  return {
    ...body,
    read(sink) {
      body.read({
        chunk(bytes) {
          run.noteData();
          sink.chunk(bytes);
        },
        end() {
          run.end(atEnd);
          sink.end();
        },
        broken(detail, cause) {
          run.end('broken');
          sink.broken(detail, cause);
        },
      });
    },
    destroy() {
      run.end('abandoned');
      body.destroy();
    },
  };
}

function watchAnswer(answer: UpstreamAnswer, run: WatchedRun): UpstreamAnswer {
  run.noteAnswer();
  return {...answer, body: watchBody(answer.body, run, toEndOfWhole(answer))};
}

export function createWatchedUpstreamPort(
  host: WatchedUpstreamPortHost,
): UpstreamPort {
  const {port} = host;

  function findQuarantine(request: RelayRequest): SendFailure | undefined {
    const error = host.findRefusal(request);
    return error && {kind: 'quarantined', detail: error.detail, error};
  }

  return {
    ...port,
    async send(request, options, cancellation) {
      const quarantine = findQuarantine(request);
      if (quarantine) return quarantine;
      const run = host.startRun(request, options.upstream);
      const outcome = await port.send(request, options, cancellation);
      if (outcome.kind === 'answered') return watchAnswer(outcome, run);
      run.end(toRunEnd(outcome));
      return outcome;
    },
    async prefill(request, options, cancellation): Promise<PrefillOutcome> {
      const quarantine = findQuarantine(request);
      if (quarantine) return quarantine;
      const run = host.startRun(request, options.upstream);
      const outcome = await port.prefill(request, options, cancellation);
      if (outcome.kind === 'prefilled') {
        run.noteAnswer();
        run.end('answered');
      } else {
        run.end(toRunEnd(outcome));
      }
      return outcome;
    },
  };
}
