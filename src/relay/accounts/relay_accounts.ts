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
import {rankOwners} from '../fleet/owners.js';
import type {Peer, Summary} from '../fleet/peer_datagrams.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {RoutingState} from '../routing_state.js';
import {
  createAccountAdmission,
  type AccountAdmission,
  type AccountAdmissionOptions,
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
import {
  createSpendingLedger,
  type HostIncarnation,
  type SpendingRecord,
} from './spending_ledger.js';
import {createStoreTime, type StoreTime} from './store_time.js';

export interface RelayAccountsHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly createLogger: (part: string) => Logger;
  readonly metrics: RelayMetrics;
  readonly routing: RoutingState;
  readonly self: Omit<HostIncarnation, 'aliveMs'>;
  /** Returns whether this host receives the spending of all other hosts. */
  hasAllSpending(): boolean;
  /** Returns the number of known hosts, including this one. */
  hostCount(): number;
  /** Returns the hosts that receive the spending of all hosts, in any order. */
  hostsWithAllSpending(): readonly string[];
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
  /**
   * Returns the accounts near their limit, which a coordinator sends to all.
   */
  nearLimit(): readonly AccountLevel[];
  applyPeerState(peer: Peer): void;
  applySummary(fromHostId: string, summary: Summary): void;
  receive(fromHostId: string, message: QuotaMessage): void;
}

const NO_ROUTES: readonly Route[] = [];

export function createRelayAccounts(
  host: RelayAccountsHost,
  options: AccountAdmissionOptions,
): RelayAccounts {
  const {clock, random, createLogger, metrics, routing, self} = host;
  const startedAtMs = clock.nowMs();
  const aliveMs = () => Math.round(clock.nowMs() - startedAtMs);
  const storeTime = createStoreTime(clock);
  const freshness = createConfigurationFreshness({clock, storeTime});
  const quotaOf = (account: string) => routing.accounts().get(account)?.quota;
  const ledger = createSpendingLedger({clock, quotaOf});
  const owner = createQuotaOwner({
    clock,
    ledger,
    quotaOf,
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

  /** Returns the same owner on all hosts that know the same hosts. */
  const ownerOf = (account: string) =>
    rankOwners('quota', account, host.hostsWithAllSpending()).at(0);

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
    self: () => ({...self, aliveMs: aliveMs()}),
    client,
    ownerOf,
    hasAllSpending: host.hasAllSpending,
    hostCount: host.hostCount,
  });
  const admission = createAccountAdmission(
    {
      log: createLogger('accounts'),
      metrics,
      freshness,
      limiter,
      priorities: createRoutePriorities(
        () => routing.current()?.routes ?? NO_ROUTES,
      ),
      accounts: routing.accounts,
    },
    options,
  );
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
    aliveMs,
    nearLimit: ledger.nearLimit,
    applyPeerState: peer => ledger.record(peer, peer.spending),
    applySummary: (fromHostId, {accountLevels}) =>
      limiter.applyLevels(fromHostId, accountLevels),
    receive,
  };
}
