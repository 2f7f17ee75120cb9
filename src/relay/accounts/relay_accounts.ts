/** What holds client accounts to their keys and limits, put together. */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {Peer, Summary} from '../fleet/peer_datagrams.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {RoutingState} from '../routing_state.js';
import {
  createAccountAdmission,
  type AccountAdmission,
  type AccountAdmissionOptions,
} from './account_admission.js';
import {createAccountLimiter} from './account_limiter.js';
import {
  createConfigurationFreshness,
  type ConfigurationFreshness,
} from './configuration_freshness.js';
import type {AccountLevel} from './quota_rules.js';
import {
  createSpendingLedger,
  type SpendingHost,
  type SpendingRecord,
} from './spending_ledger.js';
import {createStoreTime, type StoreTime} from './store_time.js';

export interface RelayAccountsHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly createLogger: (part: string) => Logger;
  readonly metrics: RelayMetrics;
  readonly routing: RoutingState;
  readonly self: SpendingHost;
  /** Whether this host hears what all others let through. */
  isHearingAll(): boolean;
  /** Hosts known, this one among them. */
  hostCount(): number;
}

export interface RelayAccounts {
  readonly admission: AccountAdmission;
  readonly storeTime: StoreTime;
  readonly freshness: ConfigurationFreshness;
  /** What this host let through, for its peers. */
  spending(): readonly SpendingRecord[];
  /** As a coordinator: accounts near their limit, for all. */
  nearLimit(): readonly AccountLevel[];
  heard(peer: Peer): void;
  told(fromHostId: string, summary: Summary): void;
}

export function createRelayAccounts(
  host: RelayAccountsHost,
  options: AccountAdmissionOptions,
): RelayAccounts {
  const {clock, random, createLogger, metrics, routing, self} = host;
  const storeTime = createStoreTime(clock);
  const freshness = createConfigurationFreshness({clock, storeTime});
  const ledger = createSpendingLedger({
    clock,
    quotaOf: account => routing.accounts().get(account)?.quota,
  });
  const limiter = createAccountLimiter({
    clock,
    random,
    ledger,
    self,
    isHearingAll: host.isHearingAll,
    hostCount: host.hostCount,
  });
  const admission = createAccountAdmission(
    {
      log: createLogger('accounts'),
      metrics,
      freshness,
      limiter,
      accounts: routing.accounts,
    },
    options,
  );
  return {
    admission,
    storeTime,
    freshness,
    spending: limiter.spending,
    nearLimit: ledger.nearLimit,
    heard: peer => ledger.hear(peer, peer.spending),
    told: (fromHostId, {accountLevels}) =>
      limiter.hear(fromHostId, accountLevels),
  };
}
