/** What holds client accounts to their keys and limits, put together. */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import {createAskClient, FIRST_ASK_IDS} from '../fleet/ask_client.js';
import {createAskDesk} from '../fleet/ask_desk.js';
import {rankOwners} from '../fleet/owners.js';
import type {Peer, Summary} from '../fleet/peer_datagrams.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {RoutingState} from '../routing_state.js';
import {
  createAccountAdmission,
  type AccountAdmission,
  type AccountAdmissionOptions,
} from './account_admission.js';
import {createAccountLimiter} from './account_limiter.js';
import {answerQuotaAsk} from './quota_desk.js';
import type {QuotaAnswer, QuotaAsk, QuotaMessage} from './quota_messages.js';
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
  readonly self: Omit<SpendingHost, 'aliveMs'>;
  /** Whether this host hears what all others let through. */
  isHearingAll(): boolean;
  /** Hosts known, this one among them. */
  hostCount(): number;
  /** Hosts that hear what all let through, in any order. */
  hearingAll(): readonly string[];
  tell(hostId: string, message: QuotaMessage): void;
}

export interface RelayAccounts {
  readonly admission: AccountAdmission;
  readonly storeTime: StoreTime;
  readonly freshness: ConfigurationFreshness;
  /** Since this process began. */
  aliveMs(): number;
  /** What this host let through, for its peers. */
  spending(): readonly SpendingRecord[];
  /** As a coordinator: accounts near their limit, for all. */
  nearLimit(): readonly AccountLevel[];
  heard(peer: Peer): void;
  told(fromHostId: string, summary: Summary): void;
  receive(fromHostId: string, message: QuotaMessage): void;
}

export function createRelayAccounts(
  host: RelayAccountsHost,
  options: AccountAdmissionOptions,
): RelayAccounts {
  const {clock, random, createLogger, metrics, routing, self} = host;
  const startedAtMs = clock.nowMs();
  const aliveMs = () => Math.round(clock.nowMs() - startedAtMs);
  const storeTime = createStoreTime(clock);
  const freshness = createConfigurationFreshness({clock, storeTime});
  const ledger = createSpendingLedger({
    clock,
    quotaOf: account => routing.accounts().get(account)?.quota,
  });
  /** A host that owns the bucket itself is told without a datagram. */
  function tell(toHostId: string, message: QuotaMessage): void {
    if (toHostId === self.hostId) receive(self.hostId, message);
    else host.tell(toHostId, message);
  }

  function receive(fromHostId: string, message: QuotaMessage): void {
    if (message.kind === 'quota-ask') desk.receive(fromHostId, message);
    else client.receive(fromHostId, message);
  }

  /** The same at all hosts that know the same ones. */
  const ownerOf = (account: string) =>
    rankOwners('quota', account, host.hearingAll()).at(0);

  const firstAskId = random.nextInt(FIRST_ASK_IDS);
  const client = createAskClient<QuotaAsk, QuotaAnswer>({
    clock,
    firstAskId,
    tell,
  });
  const desk = createAskDesk<QuotaAsk, QuotaAnswer>({
    clock,
    decide: (fromHostId, ask) => answerQuotaAsk(ledger, fromHostId, ask),
    tell,
  });
  const limiter = createAccountLimiter({
    clock,
    random,
    ledger,
    self: () => ({...self, aliveMs: aliveMs()}),
    client,
    ownerOf,
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
    aliveMs,
    nearLimit: ledger.nearLimit,
    heard: peer => ledger.hear(peer, peer.spending),
    told: (fromHostId, {accountLevels}) =>
      limiter.hear(fromHostId, accountLevels),
    receive,
  };
}
