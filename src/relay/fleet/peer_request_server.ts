/**
 * Answers peers that request a decision of this host. A request that is
 * repeated because its answer was lost gets the same answer, without a second
 * decision.
 */

import type {Clock} from '../../ports/clock.js';
import type {CorrelatedMessage} from './peer_request_client.js';

export interface PeerRequestServerHost<
  Request extends CorrelatedMessage,
  Answer extends CorrelatedMessage,
> {
  readonly clock: Clock;
  decide(fromHostId: string, request: Request): Answer;
  tell(hostId: string, answer: Answer): void;
}

export interface PeerRequestServer<Request extends CorrelatedMessage> {
  receive(fromHostId: string, request: Request): void;
}

/** A request repeated within this time gets the same answer. */
const ANSWER_KEPT_MS = 1_000;

export function createPeerRequestServer<
  Request extends CorrelatedMessage,
  Answer extends CorrelatedMessage,
>(host: PeerRequestServerHost<Request, Answer>): PeerRequestServer<Request> {
  const {clock} = host;
  const answers = new Map<string, Answer>();

  return {
    receive(fromHostId, request) {
      const key = `${fromHostId}/${request.askId}`;
      const answer = answers.get(key) ?? host.decide(fromHostId, request);
      if (!answers.has(key)) {
        answers.set(key, answer);
        clock.setTimer(ANSWER_KEPT_MS, () => answers.delete(key));
      }
      host.tell(fromHostId, answer);
    },
  };
}
