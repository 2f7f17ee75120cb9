/**
 * Asks one other host something that it alone decides.
 *
 * Guards against a host that is dead, frozen or cut off: it answers soon, or
 * the asking host goes on without its word.
 */

import type {Clock, TimerHandle} from '../../ports/clock.js';

/** A question or its answer; the id is new for each ask of a host's life. */
export interface AskMessage {
  readonly askId: number;
}

export interface AskClientHost<Ask extends AskMessage> {
  readonly clock: Clock;
  /** Differs for each start, so that asks of another life are not meant. */
  readonly firstAskId: number;
  tell(hostId: string, ask: Ask): void;
}

export interface AskClient<Ask extends AskMessage, Answer extends AskMessage> {
  /** Undefined when the host does not answer. */
  ask(
    hostId: string,
    question: Omit<Ask, 'askId'>,
  ): Promise<Answer | undefined>;
  receive(fromHostId: string, answer: Answer): void;
}

/** The first ask of a life is drawn from this many numbers. */
export const FIRST_ASK_IDS = 2 ** 31;
/** A lost datagram is sent again after this. */
const ASK_AGAIN_MS = 25;
const ASK_TRIES = 3;

interface OpenAsk<Answer> {
  readonly hostId: string;
  readonly resolve: (answer: Answer | undefined) => void;
  timer?: TimerHandle;
}

export function createAskClient<
  Ask extends AskMessage,
  Answer extends AskMessage,
>(host: AskClientHost<Ask>): AskClient<Ask, Answer> {
  const {clock} = host;
  const open = new Map<number, OpenAsk<Answer>>();
  let nextAskId = host.firstAskId;

  function finish(askId: number, answer: Answer | undefined): void {
    const ask = open.get(askId);
    if (!ask || !open.delete(askId)) return;
    if (ask.timer) clock.clearTimer(ask.timer);
    ask.resolve(answer);
  }

  return {
    ask(hostId, question) {
      const askId = nextAskId++;
      return new Promise(resolve => {
        const ask: OpenAsk<Answer> = {hostId, resolve};
        open.set(askId, ask);
        let tries = 0;
        const send = () => {
          if (tries++ === ASK_TRIES) return finish(askId, undefined);
          ask.timer = clock.setTimer(ASK_AGAIN_MS, send);
          host.tell(hostId, {...question, askId} as Ask);
        };
        send();
      });
    },
    receive(fromHostId, answer) {
      if (open.get(answer.askId)?.hostId !== fromHostId) return;
      finish(answer.askId, answer);
    },
  };
}
