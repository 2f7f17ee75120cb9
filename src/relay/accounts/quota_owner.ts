/** Answers hosts that ask for places in the buckets that this host keeps. */

import type {Clock} from '../../ports/clock.js';
import type {QuotaAnswer, QuotaAsk} from './quota_messages.js';
import type {SpendingLedger} from './spending_ledger.js';

export interface QuotaOwnerHost {
  readonly clock: Clock;
  readonly ledger: SpendingLedger;
  tell(hostId: string, answer: QuotaAnswer): void;
}

export interface QuotaOwner {
  receive(fromHostId: string, ask: QuotaAsk): void;
}

/** An ask that comes again within this time gets the same answer. */
const REMEMBERED_MS = 1_000;

export function createQuotaOwner(host: QuotaOwnerHost): QuotaOwner {
  const {clock, ledger} = host;
  const answers = new Map<string, QuotaAnswer>();

  function answer(fromHostId: string, ask: QuotaAsk): QuotaAnswer {
    const {askId, account, costUnits} = ask;
    const isGranted = ledger.grant(fromHostId, account, costUnits);
    const levelUnits = Math.round(ledger.level(account)?.levelUnits ?? 0);
    return {kind: 'quota-answer', askId, isGranted, levelUnits};
  }

  return {
    receive(fromHostId, ask) {
      const key = `${fromHostId}/${ask.askId}`;
      const known = answers.get(key) ?? answer(fromHostId, ask);
      if (!answers.has(key)) {
        answers.set(key, known);
        clock.setTimer(REMEMBERED_MS, () => answers.delete(key));
      }
      host.tell(fromHostId, known);
    },
  };
}
