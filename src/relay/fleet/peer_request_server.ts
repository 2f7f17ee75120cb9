/**
 * Answers peers that request a decision of this host. A request that is
 * repeated because its answer was lost gets the same answer, without a second
 * decision.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import type {CorrelatedMessage} from './peer_request_client.js';

export interface PeerRequestServerHost<
  Request extends CorrelatedMessage,
  Answer extends CorrelatedMessage,
> {
  decide(fromHostId: string, request: Request): Answer;
  tell(hostId: string, answer: Answer): void;
}

export interface PeerRequestServer<Request extends CorrelatedMessage> {
  receive(fromHostId: string, request: Request): void;
}

/**
 * Answers are kept by number, not by time: after a suspension of this host, the
 * copies of a request are read after all timers that came due.
 */
const MAX_ANSWERS = 2_048;

export function createPeerRequestServer<
  Request extends CorrelatedMessage,
  Answer extends CorrelatedMessage,
>(host: PeerRequestServerHost<Request, Answer>): PeerRequestServer<Request> {
  const answers = createBoundedMap<Answer>(MAX_ANSWERS);

  return {
    receive(fromHostId, request) {
      const key = `${fromHostId}/${request.askId}`;
      const answer = answers.get(key) ?? host.decide(fromHostId, request);
      if (!answers.has(key)) answers.set(key, answer);
      host.tell(fromHostId, answer);
    },
  };
}
