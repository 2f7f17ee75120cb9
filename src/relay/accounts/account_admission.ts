/**
 * Authenticates a request by its key and applies the rate limit of its client
 * account. The key must belong to an account in a configuration that is recent
 * enough, and the account must be within its rate limit.
 */

import type {ClientAccount, Route} from '../../core/routing_types.js';
import type {RequestError} from '../../core/error_kinds.js';
import type {Logger} from '../../ports/log.js';
import type {RelayRequest} from '../../ports/relay.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {AccountLimiter, Charge, LimitVerdict} from './account_limiter.js';
import {costOf, type AccountTable} from './client_account.js';
import type {ConfigurationFreshness} from './configuration_freshness.js';
import type {RoutePriorities} from './route_priorities.js';

export interface AccountAdmissionHost {
  readonly log: Logger;
  readonly metrics: RelayMetrics;
  readonly freshness: ConfigurationFreshness;
  readonly limiter: AccountLimiter;
  readonly priorities: RoutePriorities;
  /** Returns the accounts of the configuration in force. */
  accounts(): AccountTable;
  /**
   * Maximum time for which a key works on any host after its withdrawal.
   * Undefined if hosts without a current configuration may go on accepting
   * keys.
   */
  keyWithdrawalMs(): number | undefined;
}

/** The request is accepted. */
export interface AdmittedAccount {
  readonly kind: 'admitted';
  readonly account?: ClientAccount;
  /** Returns the cost of a request that was sent to no upstream. */
  refund(): void;
  /** Returns whether the key was withdrawn after the request was admitted. */
  isWithdrawn(): boolean;
}

export interface RefusedAccount {
  readonly kind: 'refused';
  readonly error: RequestError;
  readonly account?: ClientAccount;
}

export type AccountAdmissionOutcome = AdmittedAccount | RefusedAccount;

export interface AccountAdmission {
  /**
   * Returns a promise only if the key is unknown to this host or the account
   * has a limit.
   */
  admit(
    request: RelayRequest,
    route: Route,
  ): AccountAdmissionOutcome | Promise<AccountAdmissionOutcome>;
}

/** Part of `keyWithdrawalMs` that is reserved for a request's network delay. */
const WITHDRAWAL_MARGIN_MS = 250;
/** Hosts read the configuration, or confirm it with peers, within this time. */
const CONFIRM_TIMEOUT_MS = 1_500;
const UNCONFIRMED_RETRY_MS = 500;

const doNothing = () => undefined;

export function createAccountAdmission(
  host: AccountAdmissionHost,
): AccountAdmission {
  const {log, metrics, freshness, limiter} = host;

  function maxAgeMs(): number {
    const withdrawalMs = host.keyWithdrawalMs();
    return withdrawalMs === undefined
      ? Number.POSITIVE_INFINITY
      : withdrawalMs - WITHDRAWAL_MARGIN_MS;
  }

  const findAccount = (request: RelayRequest) =>
    request.keyDigest === undefined
      ? undefined
      : host.accounts().findByKey(request.keyDigest);

  function refuse(
    error: RequestError,
    account?: ClientAccount,
  ): RefusedAccount {
    const name = account?.name ?? '';
    const labels = `account="${name}",reason="${error.kind}"`;
    metrics.count('account_refusals', labels);
    return {kind: 'refused', error, account};
  }

  function refuseUnconfirmed(
    request: RelayRequest,
    account?: ClientAccount,
  ): RefusedAccount {
    log.warn('Configuration too old for a key.', {
      request: request.requestId,
      account: account?.name,
      ageMs: toFiniteMs(freshness.ageMs()),
    });
    const detail = 'This entry cannot tell whether the key is valid.';
    const retryAfterMs = UNCONFIRMED_RETRY_MS;
    const kind = 'configuration-unconfirmed';
    return refuse({kind, detail, retryAfterMs}, account);
  }

  /** Waits for a newer configuration version, which may contain the key. */
  async function admitUnknown(
    request: RelayRequest,
    route: Route,
  ): Promise<AccountAdmissionOutcome> {
    const isConfirmed = await freshness.confirmNow(CONFIRM_TIMEOUT_MS);
    const account = findAccount(request);
    if (account) return admitKnown(request, route, account);
    if (!isConfirmed) return refuseUnconfirmed(request);
    const detail = 'No client account has this key.';
    return refuse({kind: 'unauthenticated', detail});
  }

  function admitKnown(
    request: RelayRequest,
    route: Route,
    account: ClientAccount,
  ): AccountAdmissionOutcome | Promise<AccountAdmissionOutcome> {
    if (!(freshness.ageMs() <= maxAgeMs())) {
      return refuseUnconfirmed(request, account);
    }
    const {name, quota} = account;
    const isWithdrawn = () => findAccount(request)?.name !== name;
    if (!quota) {
      return {kind: 'admitted', account, refund: doNothing, isWithdrawn};
    }
    const costUnits = costOf(quota, request.prompt);
    // Calls without a prompt cost next to nothing of a limit in tokens, so holding
    // them back would free no room for urgent requests.
    const priority = request.prompt && host.priorities.of(route);
    const charge: Charge = {account: name, quota, costUnits, priority};
    const takeCharge = async () => limiter.take(charge);
    const toOutcome = (verdict: LimitVerdict): AccountAdmissionOutcome => {
      if (verdict.kind === 'limited') {
        return refuseOverLimit(request, charge, verdict, account);
      }
      const refund = () => limiter.refund(name, costUnits);
      return {kind: 'admitted', account, refund, isWithdrawn};
    };
    return takeCharge().then(toOutcome);
  }

  function refuseOverLimit(
    request: RelayRequest,
    {costUnits, priority}: Charge,
    verdict: Extract<LimitVerdict, {kind: 'limited'}>,
    account: ClientAccount,
  ): RefusedAccount {
    const {retryAfterMs, levelUnits, reserveUnits, owner, share} = verdict;
    if (priority !== undefined) {
      metrics.count('limit_refusals', `priority="${priority}"`);
    }
    log.info('Over the limit of the account.', {
      request: request.requestId,
      account: account.name,
      priority,
      costUnits,
      levelUnits: Math.round(levelUnits),
      reserveUnits:
        priority === undefined ? undefined : Math.round(reserveUnits),
      owner,
      share,
      retryAfterMs: Math.round(retryAfterMs),
    });
    const detail = 'The account has used up its limit.';
    return refuse({kind: 'account-limit', detail, retryAfterMs}, account);
  }

  return {
    admit(request, route) {
      const needsNoKey = !host.accounts().requiresKey || route.isPublic;
      const account = findAccount(request);
      if (needsNoKey) {
        const isWithdrawn = () => false;
        return {kind: 'admitted', account, refund: doNothing, isWithdrawn};
      }
      return account
        ? admitKnown(request, route, account)
        : admitUnknown(request, route);
    },
  };
}

/** Returns undefined for an infinite age, which a log line can't show. */
function toFiniteMs(ageMs: number): number | undefined {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}
