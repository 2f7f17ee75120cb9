/** What hosts that ask for places in the buckets of this host are told. */

import type {QuotaAnswer, QuotaAsk} from './quota_messages.js';
import type {SpendingLedger} from './spending_ledger.js';

export function answerQuotaAsk(
  ledger: SpendingLedger,
  fromHostId: string,
  ask: QuotaAsk,
): QuotaAnswer {
  const {askId, account, costUnits} = ask;
  const isGranted = ledger.grant(fromHostId, account, costUnits);
  const levelUnits = Math.round(ledger.level(account)?.levelUnits ?? 0);
  return {kind: 'quota-answer', askId, isGranted, levelUnits};
}
