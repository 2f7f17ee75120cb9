/**
 * Asks the owner of an account's bucket whether a request fits.
 *
 * Guards against an owner that is dead, frozen or cut off: it answers soon, or
 * the asking host decides by what it was told last.
 */

import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {QuotaAnswer, QuotaAsk} from './quota_messages.js';

export interface QuotaClientHost {
  readonly clock: Clock;
  /** Differs for each start, so that asks of another life are not meant. */
  readonly firstAskId: number;
  tell(hostId: string, ask: QuotaAsk): void;
}

export interface QuotaClient {
  /** Undefined when the owner does not answer. */
  ask(
    owner: string,
    account: string,
    costUnits: number,
  ): Promise<QuotaAnswer | undefined>;
  receive(fromHostId: string, answer: QuotaAnswer): void;
}

/** A lost datagram is sent again after this. */
const ASK_AGAIN_MS = 25;
const ASK_TRIES = 3;

interface OpenAsk {
  readonly owner: string;
  readonly resolve: (answer: QuotaAnswer | undefined) => void;
  timer?: TimerHandle;
}

export function createQuotaClient(host: QuotaClientHost): QuotaClient {
  const {clock} = host;
  const open = new Map<number, OpenAsk>();
  let nextAskId = host.firstAskId;

  function finish(askId: number, answer: QuotaAnswer | undefined): void {
    const ask = open.get(askId);
    if (!ask || !open.delete(askId)) return;
    if (ask.timer) clock.clearTimer(ask.timer);
    ask.resolve(answer);
  }

  return {
    ask(owner, account, costUnits) {
      const askId = nextAskId++;
      return new Promise(resolve => {
        const ask: OpenAsk = {owner, resolve};
        open.set(askId, ask);
        let tries = 0;
        const send = () => {
          if (tries++ === ASK_TRIES) return finish(askId, undefined);
          ask.timer = clock.setTimer(ASK_AGAIN_MS, send);
          host.tell(owner, {kind: 'quota-ask', askId, account, costUnits});
        };
        send();
      });
    },
    receive(fromHostId, answer) {
      if (open.get(answer.askId)?.owner !== fromHostId) return;
      finish(answer.askId, answer);
    },
  };
}
