/**
 * Wraps an upstream port to observe how every run ends, whichever part of the
 * relay sent it and whether its answer was read to the end.
 */

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
  /** The whole answer arrived: the request is harmless. */
  | 'complete'
  /** An answer arrived that doesn't show that the request ran to its end. */
  | 'answered'
  /** The upstream did not run the request. */
  | 'not-run'
  /** The upstream broke off. */
  | 'broken'
  /** This host broke off: the caller left, or the time was up. */
  | 'abandoned';

export interface WatchedRun {
  /** Later calls have no effect. */
  end(how: RunEnd): void;
}

export interface WatchedUpstreamPortHost {
  readonly port: UpstreamPort;
  /** Called before a request is sent. */
  startRun(request: RelayRequest, upstream: Upstream): WatchedRun;
}

const SERVER_ERROR = 500;

const END_OF_FAILURE: Readonly<Record<SendFailure['kind'], RunEnd>> = {
  unreachable: 'not-run',
  withheld: 'not-run',
  rejected: 'not-run',
  broken: 'broken',
  cancelled: 'abandoned',
};

function watchBody(
  body: AnswerBody,
  run: WatchedRun,
  atEnd: RunEnd,
): AnswerBody {
  return {
    ...body,
    read(sink) {
      body.read({
        chunk: bytes => sink.chunk(bytes),
        end() {
          run.end(atEnd);
          sink.end();
        },
        broken(detail) {
          run.end('broken');
          sink.broken(detail);
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
  const isSuccess = isGenuine(answer) && answer.status < SERVER_ERROR;
  const atEnd = isSuccess ? 'complete' : 'answered';
  return {...answer, body: watchBody(answer.body, run, atEnd)};
}

export function createWatchedUpstreamPort(
  host: WatchedUpstreamPortHost,
): UpstreamPort {
  const {port} = host;

  return {
    ...port,
    async send(request, options, cancellation) {
      const run = host.startRun(request, options.upstream);
      const outcome = await port.send(request, options, cancellation);
      if (outcome.kind === 'answered') return watchAnswer(outcome, run);
      run.end(END_OF_FAILURE[outcome.kind]);
      return outcome;
    },
    async prefill(request, options, cancellation): Promise<PrefillOutcome> {
      const run = host.startRun(request, options.upstream);
      const outcome = await port.prefill(request, options, cancellation);
      const isPrefilled = outcome.kind === 'prefilled';
      run.end(isPrefilled ? 'answered' : END_OF_FAILURE[outcome.kind]);
      return outcome;
    },
  };
}
