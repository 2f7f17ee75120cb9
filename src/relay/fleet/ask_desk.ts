/**
 * Answers hosts that ask for this one's decision. An ask that comes again, as
 * its answer was lost, gets the same answer and is not decided twice.
 */

import type {Clock} from '../../ports/clock.js';
import type {AskMessage} from './ask_client.js';

export interface AskDeskHost<
  Ask extends AskMessage,
  Answer extends AskMessage,
> {
  readonly clock: Clock;
  decide(fromHostId: string, ask: Ask): Answer;
  tell(hostId: string, answer: Answer): void;
}

export interface AskDesk<Ask extends AskMessage> {
  receive(fromHostId: string, ask: Ask): void;
}

/** An ask that comes again within this time gets the same answer. */
const REMEMBERED_MS = 1_000;

export function createAskDesk<
  Ask extends AskMessage,
  Answer extends AskMessage,
>(host: AskDeskHost<Ask, Answer>): AskDesk<Ask> {
  const {clock} = host;
  const answers = new Map<string, Answer>();

  return {
    receive(fromHostId, ask) {
      const key = `${fromHostId}/${ask.askId}`;
      const known = answers.get(key) ?? host.decide(fromHostId, ask);
      if (!answers.has(key)) {
        answers.set(key, known);
        clock.setTimer(REMEMBERED_MS, () => answers.delete(key));
      }
      host.tell(fromHostId, known);
    },
  };
}
