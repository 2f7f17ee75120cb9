/** Handles quota requests for buckets that this host owns. */

import type {QuotaReply, QuotaRequest} from './quota_messages.js';
import type {SpendingLedger} from './spending_ledger.js';

export function handleQuotaRequest(
  ledger: SpendingLedger,
  fromHostId: string,
  request: QuotaRequest,
): QuotaReply {
  const {askId, account, costUnits} = request;
  const isGranted = ledger.grant(fromHostId, account, costUnits);
  const levelUnits = Math.round(ledger.level(account)?.levelUnits ?? 0);
  return {kind: 'quota-answer', askId, isGranted, levelUnits};
}
