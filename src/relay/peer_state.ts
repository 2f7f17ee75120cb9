/**
 * Builds the state that this host sends to its peers, and passes the state and
 * the messages of peers to the parts of the relay.
 */

import type {RelayAccounts} from './accounts/relay_accounts.js';
import {isQuotaMessage} from './accounts/quota_messages.js';
import type {Backpressure} from './backpressure/backpressure.js';
import {isPermitMessage} from './backpressure/permit_messages.js';
import type {CrashWatch} from './crashes/crash_watch.js';
import type {OwnState, PeerExchangeHost} from './fleet/peer_exchange_types.js';
import type {Forwarding} from './forwarding/forwarding.js';
import type {UpstreamFindings} from './fleet/peer_datagrams.js';
import {MAX_SUSPECTS, type UpstreamIssues} from './placement/peer_view.js';
import type {RelayPlacement} from './placement/relay_placement.js';
import type {PlainPlacement} from './plain/plain_placement.js';
import {isSlotMessage} from './plain/slot_messages.js';
import type {RelayRetries} from './retries/relay_retries.js';
import {isOriginMessage} from './resumption/origin_messages.js';
import type {Resumption} from './resumption/resumption.js';
import {isRetryMessage} from './retries/retry_messages.js';
import type {RoleOrders} from './roles/role_orders.js';
import type {StoreWatch} from './store/store_watch.js';
import type {UpstreamRegistry} from './store/upstream_registry.js';

/** The parts of the relay whose state peers need. */
export interface PeerStateParts {
  readonly watch: StoreWatch;
  readonly placement: RelayPlacement;
  readonly plainPlaces: PlainPlacement;
  readonly accounts: RelayAccounts;
  readonly backpressure: Backpressure;
  readonly crashes: CrashWatch;
  readonly forwarding: Forwarding;
  readonly registry: UpstreamRegistry;
  readonly roleOrders: RoleOrders;
  readonly retries: RelayRetries;
  readonly resumption: Resumption;
}

export interface PeerStateHost {
  ownState(): OwnState;
  /** Called only after all parts were created. */
  parts(): PeerStateParts;
}

export type PeerState = Pick<
  PeerExchangeHost,
  'announcement' | 'summary' | 'onPeerState' | 'onSummary' | 'onMessage'
>;

/**
 * A peer that doesn't reach an upstream may be cut off itself; what this host
 * saw within this time counts for more.
 */
const REACHED_MS = 1_000;

/** Saves space in datagrams for lists that are usually empty. */
function undefinedIfEmpty<T>(list: readonly T[]): readonly T[] | undefined {
  return list.length > 0 ? list : undefined;
}

export function createPeerState({ownState, parts}: PeerStateHost): PeerState {
  function ownFindings(): UpstreamIssues {
    const {placement, registry, roleOrders, forwarding} = parts();
    const {scheduler} = placement;
    const isIsolated = forwarding.links.isIsolated();
    return {
      suspects: isIsolated ? [] : scheduler.suspects(),
      unreachable: isIsolated ? [] : registry.unreachable(),
      changing: [...roleOrders.changing(), ...scheduler.roleMismatches()],
    };
  }

  /** Applies the peers' findings, so that they cost this host no request. */
  function markUnreachable(unreachable: readonly string[]): void {
    const {registry, forwarding} = parts();
    for (const id of unreachable) {
      if (forwarding.links.wasReachedWithin(id, REACHED_MS)) continue;
      registry.markUnreachable(id, 'peer');
    }
  }

  /**
   * Applies what peers found, since the list isn't updated in a store outage.
   */
  function markLeaving({leaving: ids = []}: UpstreamFindings): void {
    const {registry} = parts();
    for (const id of ids) registry.markLeaving(id, 'peer');
  }

  return {
    announcement() {
      const {watch, placement, accounts, backpressure} = parts();
      const {crashes, registry} = parts();
      return {
        ...watch.syncState(),
        ...ownState(),
        load: placement.engineLoads.ownLoad(),
        learned: placement.statistics.ownSums(),
        waiting: placement.waitingRecords(),
        ...ownFindings(),
        full: placement.scheduler.full(),
        losses: crashes.takeFacts(),
        speeds: undefinedIfEmpty(placement.statistics.speeds.takeRecords()),
        limits: undefinedIfEmpty(backpressure.limits.ownRecords()),
        leaving: undefinedIfEmpty(registry.leaving('self')),
        adoptedAskIds: placement.adoptedAskIds(),
        spending: accounts.spending(),
        cededMs: accounts.cededTimes(),
        aliveMs: accounts.aliveMs(),
        unusedRetries: parts().retries.report(),
      };
    },
    summary(hasLoad) {
      const {watch, placement, accounts, backpressure} = parts();
      const {crashes, registry} = parts();
      return {
        ...watch.syncState(),
        isStoreReachable: ownState().isStoreReachable,
        ...placement.found(ownFindings()),
        learned: placement.statistics.totalSums(),
        losses: crashes.takeFacts(),
        limits: undefinedIfEmpty(backpressure.limits.found()),
        leaving: undefinedIfEmpty(registry.leaving('any')),
        load: hasLoad ? placement.engineLoads.totalLoad() : undefined,
        accountLevels: accounts.nearLimit(),
      };
    },
    onPeerState(peer) {
      const {watch, placement, accounts, backpressure, crashes} = parts();
      placement.applyPeer(peer);
      accounts.applyPeerState(peer);
      parts().retries.applyPeerState(peer);
      watch.receivePeerState(peer);
      crashes.applyFacts(peer.losses);
      backpressure.limits.applyRecords(peer.limits ?? [], 'peer');
      markLeaving(peer);
      if (peer.unreachable.length > MAX_SUSPECTS) return;
      markUnreachable(peer.unreachable);
    },
    onSummary(fromHostId, summary) {
      const {watch, placement, accounts, backpressure, crashes} = parts();
      placement.applySummary(fromHostId, summary);
      accounts.applySummary(fromHostId, summary);
      watch.receivePeerState(summary);
      crashes.applyFacts(summary.losses);
      backpressure.limits.applyRecords(summary.limits ?? [], 'relayed');
      markLeaving(summary);
      markUnreachable(summary.unreachable);
    },
    onMessage(fromHostId, message) {
      const {placement, plainPlaces, accounts, backpressure} = parts();
      if (isSlotMessage(message)) plainPlaces.receive(fromHostId, message);
      else if (isQuotaMessage(message)) accounts.receive(fromHostId, message);
      else if (isRetryMessage(message)) {
        parts().retries.receive(fromHostId, message);
      } else if (isPermitMessage(message)) {
        backpressure.receive(fromHostId, message);
      } else if (isOriginMessage(message)) {
        parts().resumption.receive(fromHostId, message);
      } else placement.receive(fromHostId, message);
    },
  };
}
