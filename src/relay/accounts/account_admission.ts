/**
 * Decides whether a caller's key lets its request in: the key has to belong to
 * a client account, the configuration that says so has to be recent enough, and
 * the account must not be over its rate limit.
 */

import type {ClientAccount, Route} from '../../core/routing_types.js';
import type {RequestError} from '../../core/error_kinds.js';
import type {Logger} from '../../ports/log.js';
import type {RelayRequest} from '../../ports/relay.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {AccountLimiter, LimitVerdict} from './account_limiter.js';
import {costOf, type AccountTable} from './client_account.js';
import type {ConfigurationFreshness} from './configuration_freshness.js';

export interface AccountAdmissionHost {
  readonly log: Logger;
  readonly metrics: RelayMetrics;
  readonly freshness: ConfigurationFreshness;
  readonly limiter: AccountLimiter;
  /** Of the configuration in force. */
  accounts(): AccountTable;
}

export interface AccountAdmissionOptions {
  /**
   * A withdrawn key stops working everywhere within this time of the
   * withdrawal; undefined where hosts out of touch may go on.
   */
  readonly keyWithdrawalMs?: number;
}

/** A request that may go on, for its account where there is one. */
export interface AdmittedAccount {
  readonly kind: 'admitted';
  readonly account?: ClientAccount;
  /** The request went to no upstream: its cost is not counted. */
  giveBack(): void;
  /** Whether the key was withdrawn since. */
  isWithdrawn(): boolean;
}

export interface RefusedAccount {
  readonly kind: 'refused';
  readonly error: RequestError;
  readonly account?: ClientAccount;
}

export type AccountAdmissionOutcome = AdmittedAccount | RefusedAccount;

export interface AccountAdmission {
  /** A promise only where a key is not known here, or not yet. */
  admit(
    request: RelayRequest,
    route: Route,
  ): AccountAdmissionOutcome | Promise<AccountAdmissionOutcome>;
}

/** Left of the bound on withdrawals for the way of a request to this host. */
const WITHDRAWAL_MARGIN_MS = 250;
/** The configuration is read, or confirmed by peers, within this time. */
const CONFIRM_TIMEOUT_MS = 1_500;
const UNCONFIRMED_RETRY_MS = 500;

const doNothing = () => undefined;

export function createAccountAdmission(
  host: AccountAdmissionHost,
  options: AccountAdmissionOptions,
): AccountAdmission {
  const {log, metrics, freshness, limiter} = host;
  const mostAgeMs =
    options.keyWithdrawalMs === undefined
      ? Number.POSITIVE_INFINITY
      : options.keyWithdrawalMs - WITHDRAWAL_MARGIN_MS;

  const find = (request: RelayRequest) =>
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

  function unconfirmed(
    request: RelayRequest,
    account?: ClientAccount,
  ): RefusedAccount {
    log.warn('Configuration too old for a key.', {
      request: request.requestId,
      account: account?.name,
      ageMs: roundAge(freshness.ageMs()),
    });
    const detail = 'This entry cannot tell whether the key is valid.';
    const retryAfterMs = UNCONFIRMED_RETRY_MS;
    const kind = 'configuration-unconfirmed';
    return refuse({kind, detail, retryAfterMs}, account);
  }

  /** A key may have come with a version that is not yet here. */
  async function admitUnknown(
    request: RelayRequest,
  ): Promise<AccountAdmissionOutcome> {
    const isConfirmed = await freshness.confirmNow(CONFIRM_TIMEOUT_MS);
    const account = find(request);
    if (account) return admitKnown(request, account);
    if (!isConfirmed) return unconfirmed(request);
    const detail = 'No client account has this key.';
    return refuse({kind: 'unauthenticated', detail});
  }

  function admitKnown(
    request: RelayRequest,
    account: ClientAccount,
  ): AccountAdmissionOutcome | Promise<AccountAdmissionOutcome> {
    if (!(freshness.ageMs() <= mostAgeMs)) {
      return unconfirmed(request, account);
    }
    const {name, quota} = account;
    const isWithdrawn = () => find(request)?.name !== name;
    if (!quota) {
      return {kind: 'admitted', account, giveBack: doNothing, isWithdrawn};
    }
    const costUnits = costOf(quota, request.prompt);
    const settle = (verdict: LimitVerdict): AccountAdmissionOutcome => {
      if (verdict.kind === 'limited') {
        return refuseOver(request, account, costUnits, verdict);
      }
      const giveBack = () => limiter.giveBack(name, costUnits);
      return {kind: 'admitted', account, giveBack, isWithdrawn};
    };
    const verdict = limiter.take(name, quota, costUnits);
    return verdict instanceof Promise ? verdict.then(settle) : settle(verdict);
  }

  function refuseOver(
    request: RelayRequest,
    account: ClientAccount,
    costUnits: number,
    verdict: Extract<LimitVerdict, {kind: 'limited'}>,
  ): RefusedAccount {
    const {retryAfterMs, levelUnits, source, ageMs} = verdict;
    log.info('Over the limit of the account.', {
      request: request.requestId,
      account: account.name,
      costUnits,
      levelUnits: Math.round(levelUnits),
      source,
      ageMs: Math.round(ageMs),
      retryAfterMs: Math.round(retryAfterMs),
    });
    const detail = 'The account has used up its limit.';
    return refuse({kind: 'account-limit', detail, retryAfterMs}, account);
  }

  return {
    admit(request, route) {
      const isOpen = host.accounts().isEmpty || route.isPublic;
      const account = find(request);
      if (isOpen) {
        const isWithdrawn = () => false;
        return {kind: 'admitted', account, giveBack: doNothing, isWithdrawn};
      }
      return account ? admitKnown(request, account) : admitUnknown(request);
    },
  };
}

/** Infinite ages have no place in a log line. */
function roundAge(ageMs: number): number | undefined {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}
