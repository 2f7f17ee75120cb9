/**
 * Requests a decision from the peer that owns it.
 *
 * Guards against a peer that is dead, frozen or cut off: it answers soon, or
 * the caller continues without its decision.
 */

import type {Clock, TimerHandle} from '../../ports/clock.js';

/**
 * A request or its answer; the id is unique within an incarnation of a host.
 */
export interface CorrelatedMessage {
  readonly askId: number;
}

export interface PeerRequestClientHost<Request extends CorrelatedMessage> {
  readonly clock: Clock;
  /**
   * Differs for each start, so that answers to an earlier incarnation are
   * ignored.
   */
  readonly firstAskId: number;
  /** How often a request is sent until it counts as unanswered; 3 if absent. */
  readonly maxAttempts?: number;
  tell(hostId: string, request: Request): void;
}

export interface PeerRequestClient<
  Request extends CorrelatedMessage,
  Answer extends CorrelatedMessage,
> {
  /** Undefined if the peer does not answer. */
  ask(
    hostId: string,
    request: Omit<Request, 'askId'>,
  ): Promise<Answer | undefined>;
  receive(fromHostId: string, answer: Answer): void;
}

/** The first id of an incarnation is drawn at random from this many numbers. */
export const FIRST_ASK_ID_RANGE = 2 ** 31;
/** An unanswered request is sent again after this. */
const RETRY_INTERVAL_MS = 25;
const DEFAULT_MAX_ATTEMPTS = 3;

interface PendingRequest<Answer> {
  readonly hostId: string;
  readonly resolve: (answer: Answer | undefined) => void;
  /** Whether the request has waited longer since this host was suspended. */
  hasExtended: boolean;
  timer?: TimerHandle;
}

export function createPeerRequestClient<
  Request extends CorrelatedMessage,
  Answer extends CorrelatedMessage,
>(host: PeerRequestClientHost<Request>): PeerRequestClient<Request, Answer> {
  const {clock, maxAttempts = DEFAULT_MAX_ATTEMPTS} = host;
  const pending = new Map<number, PendingRequest<Answer>>();
  let nextAskId = host.firstAskId;

  function finish(askId: number, answer: Answer | undefined): void {
    const request = pending.get(askId);
    if (!request || !pending.delete(askId)) return;
    if (request.timer) clock.clearTimer(request.timer);
    request.resolve(answer);
  }

  /**
   * Continues after the interval. If this host was suspended meanwhile, the
   * answer may not have been read yet, so it waits once more.
   */
  function wait(entry: PendingRequest<Answer>, next: () => void): void {
    const dueMs = clock.nowMs() + RETRY_INTERVAL_MS;
    entry.timer = clock.setTimer(RETRY_INTERVAL_MS, () => {
      const isLate = clock.nowMs() - dueMs >= RETRY_INTERVAL_MS;
      if (!isLate || entry.hasExtended) return next();
      entry.hasExtended = true;
      wait(entry, next);
    });
  }

  return {
    ask(hostId, request) {
      const askId = nextAskId++;
      return new Promise(resolve => {
        const entry: PendingRequest<Answer> = {
          hostId,
          resolve,
          hasExtended: false,
        };
        pending.set(askId, entry);
        let attempts = 0;
        const send = () => {
          if (attempts++ === maxAttempts) return finish(askId, undefined);
          wait(entry, send);
          host.tell(hostId, {...request, askId} as Request);
        };
        send();
      });
    },
    receive(fromHostId, answer) {
      if (pending.get(answer.askId)?.hostId !== fromHostId) return;
      finish(answer.askId, answer);
    },
  };
}
