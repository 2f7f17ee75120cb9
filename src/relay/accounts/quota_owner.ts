/** Handles quota requests for buckets that this host owns. */

import type {Clock} from '../../ports/clock.js';
import type {LimitPools} from './limit_pools.js';
import {createPriorityMix} from './priority_mix.js';
import type {QuotaReply, QuotaRequest} from './quota_messages.js';
import {
  maxReserveUnits,
  reserveUnitsBelow,
  reserveUnitsFor,
} from './reserve_rules.js';
import type {SpendingLedger} from './spending_ledger.js';

export interface QuotaOwnerHost {
  readonly clock: Clock;
  readonly ledger: Pick<SpendingLedger, 'grant' | 'level'>;
  /** The part of the limits that this host may grant. */
  readonly pools: Pick<LimitPools, 'quotaHere' | 'share'>;
  /** Called for each invalid field of a request, which is then ignored. */
  onInvalidField(): void;
}

export interface QuotaOwner {
  handle(fromHostId: string, request: QuotaRequest): QuotaReply;
}

/**
 * Time constant of the owner's mix of priorities. The owner is asked for all
 * requests of an account near its limit, a few per second or more, so this
 * suffices for an estimate and follows a caller that changes its routes.
 */
const MIX_DECAY_MS = 4_000;
/**
 * With fewer requests, the estimate of the asking host is used: a new owner has
 * no history, and the hosts know their own.
 */
const MIN_MIX_REQUESTS = 8;

export function createQuotaOwner(host: QuotaOwnerHost): QuotaOwner {
  const {clock, ledger, pools} = host;
  const mix = createPriorityMix(clock, MIX_DECAY_MS);

  /** Returns undefined if the field of a datagram is absent or invalid. */
  function readCount(value: number | undefined): number | undefined {
    if (value === undefined) return undefined;
    if (Number.isFinite(value) && value >= 0) return value;
    host.onInvalidField();
    return undefined;
  }

  /** Returns the units that must stay in the bucket. */
  function findReserve(request: QuotaRequest): number {
    const {account, costUnits} = request;
    const priority = readCount(request.priority);
    const askedUnits = readCount(request.reserveUnits) ?? 0;
    mix.record(account, priority, costUnits);
    const known = mix.of(account);
    const level = ledger.level(account);
    const quota = pools.quotaHere(account);
    if (priority === undefined || !level || !quota) return 0;
    if (known && costUnits > quota.burstUnits) {
      return reserveUnitsBelow(priority, known, level, quota);
    }
    const isLearned = known && known.requestCount >= MIN_MIX_REQUESTS;
    if (!isLearned) {
      return Math.min(askedUnits, maxReserveUnits(quota, costUnits));
    }
    return reserveUnitsFor(priority, known, level, quota, costUnits);
  }

  return {
    handle(fromHostId, request) {
      const {askId, account, costUnits} = request;
      const kind = 'quota-answer';
      // An invalid cost would make the level of the bucket no number.
      if (readCount(costUnits) === undefined) {
        return {kind, askId, isGranted: false, levelUnits: 0};
      }
      const reserveUnits = Math.round(findReserve(request));
      const isGranted = ledger.grant(
        fromHostId,
        account,
        costUnits,
        reserveUnits,
      );
      const share = Math.round(pools.share(account) * 100) / 100;
      const levelUnits = Math.round(ledger.level(account)?.levelUnits ?? 0);
      return {
        kind,
        askId,
        isGranted,
        levelUnits,
        ...(!isGranted && reserveUnits > 0 && {reserveUnits}),
        ...(!isGranted && share < 1 && {share}),
      };
    },
  };
}
