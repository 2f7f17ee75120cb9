/** Creates and connects the parts that check account keys and rate limits. */

import type {Route} from '../../core/routing_types.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import {
  createPeerRequestClient,
  FIRST_ASK_ID_RANGE,
} from '../fleet/peer_request_client.js';
import {createPeerRequestServer} from '../fleet/peer_request_server.js';
import type {Peer, Summary} from '../fleet/peer_datagrams.js';
import type {RelayBounds} from '../relay_bounds.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {RoutingState} from '../routing_state.js';
import {
  createAccountAdmission,
  type AccountAdmission,
} from './account_admission.js';
import {createServiceShares, type ServiceShares} from './service_shares.js';
import {createAccountLimiter} from './account_limiter.js';
import {createQuotaOwner} from './quota_owner.js';
import type {QuotaReply, QuotaRequest, QuotaMessage} from './quota_messages.js';
import {
  createConfigurationFreshness,
  type ConfigurationFreshness,
} from './configuration_freshness.js';
import type {AccountLevel} from './quota_rules.js';
import {createRoutePriorities} from './route_priorities.js';
import type {CededTimes} from './limit_parts.js';
import {createLimitPools, type HostIncarnation} from './limit_pools.js';
import {createSpendingLedger, type SpendingRecord} from './spending_ledger.js';
import {createStoreTime, type StoreTime} from './store_time.js';

export interface RelayAccountsHost {
  readonly clock: Clock;
  /** The bounds in use, which may change while the process runs. */
  bounds(): Pick<RelayBounds, 'limitSlack' | 'keyWithdrawalMs'>;
  readonly random: Random;
  readonly createLogger: (part: string) => Logger;
  readonly metrics: RelayMetrics;
  readonly routing: RoutingState;
  readonly self: Omit<HostIncarnation, 'aliveMs'>;
  /**
   * Returns the number of hosts that share the limits, including this one and
   * those out of reach. Infinite if unknown.
   */
  hostCount(): number;
  /** Returns the hosts that receive the reports of all hosts, in any order. */
  ownerCandidates(): readonly string[];
  send(hostId: string, message: QuotaMessage): void;
}

export interface RelayAccounts {
  readonly admission: AccountAdmission;
  /** The accounts' use of services, for the order of waiting requests. */
  readonly shares: ServiceShares;
  readonly storeTime: StoreTime;
  readonly freshness: ConfigurationFreshness;
  /** Returns the time since this process started. */
  aliveMs(): number;
  /** Returns the totals of this host, which its peers need. */
  spending(): readonly SpendingRecord[];
  /** Undefined if no account has a limit. */
  cededTimes(): CededTimes | undefined;
  /**
   * Returns the accounts near their limit, which a coordinator sends to all.
   */
  nearLimit(): readonly AccountLevel[];
  applyPeerState(peer: Peer): void;
  applySummary(fromHostId: string, summary: Summary): void;
  receive(fromHostId: string, message: QuotaMessage): void;
}

/**
 * Hosts that are cut off share this part of the slack; the rest covers units
 * that are on their way between hosts.
 */
const TOLERANCE_SHARE = 3 / 4;
const NO_ROUTES: readonly Route[] = [];

export function createRelayAccounts(host: RelayAccountsHost): RelayAccounts {
  const {clock, random, createLogger, metrics, routing, self} = host;
  const startedAtMs = clock.nowMs();
  const aliveMs = () => Math.round(clock.nowMs() - startedAtMs);
  const storeTime = createStoreTime(clock);
  const freshness = createConfigurationFreshness({clock, storeTime});
  const quotaOf = (account: string) => routing.accounts().get(account)?.quota;
  const pools = createLimitPools({
    ...{clock, random, hostId: self.hostId, quotaOf},
    hostCount: host.hostCount,
    toleranceUnits: () => (host.bounds().limitSlack ?? 0) * TOLERANCE_SHARE,
  });
  const ledger = createSpendingLedger({clock, pools, quotaOf});
  const owner = createQuotaOwner({
    clock,
    ledger,
    pools,
    onInvalidField: () => metrics.count('quota_fields_ignored'),
  });
  /** Delivers a message without a datagram if this host is the receiver. */
  function tell(toHostId: string, message: QuotaMessage): void {
    if (toHostId === self.hostId) receive(self.hostId, message);
    else host.send(toHostId, message);
  }

  function receive(fromHostId: string, message: QuotaMessage): void {
    if (message.kind === 'quota-ask') server.receive(fromHostId, message);
    else client.receive(fromHostId, message);
  }

  const selfNow = () => ({...self, aliveMs: aliveMs()});

  /** Records its own report, as the other owners do when they receive it. */
  function reportCeded(): CededTimes | undefined {
    if (!routing.accounts().hasLimits) return undefined;
    const ceded = limiter.cededTimes();
    ledger.record(selfNow(), limiter.spending(), ceded);
    return ceded;
  }

  const firstAskId = random.nextInt(FIRST_ASK_ID_RANGE);
  const client = createPeerRequestClient<QuotaRequest, QuotaReply>({
    clock,
    firstAskId,
    tell,
  });
  const server = createPeerRequestServer<QuotaRequest, QuotaReply>({
    decide: owner.handle,
    tell,
  });
  const limiter = createAccountLimiter({
    clock,
    random,
    ledger,
    self: selfNow,
    client,
    hostId: self.hostId,
    ownerCandidates: host.ownerCandidates,
  });
  const admission = createAccountAdmission({
    log: createLogger('accounts'),
    metrics,
    freshness,
    limiter,
    priorities: createRoutePriorities(
      () => routing.current()?.routes ?? NO_ROUTES,
    ),
    accounts: routing.accounts,
    keyWithdrawalMs: () => host.bounds().keyWithdrawalMs,
  });
  const shares = createServiceShares({
    clock,
    weightOf: account => quotaOf(account)?.unitsPerS ?? 1,
  });
  metrics.gauge(
    'accounts_over_share',
    'Accounts that use more than their share of a service.',
    shares.overShareCount,
  );
  return {
    admission,
    shares,
    storeTime,
    freshness,
    spending: limiter.spending,
    cededTimes: reportCeded,
    aliveMs,
    nearLimit: ledger.nearLimit,
    applyPeerState: peer => ledger.record(peer, peer.spending, peer.cededMs),
    applySummary: (fromHostId, {accountLevels}) =>
      limiter.applyLevels(fromHostId, accountLevels),
    receive,
  };
}
