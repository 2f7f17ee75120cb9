/** Creates and connects the parts that share retries among all hosts. */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {Member} from '../fleet/members.js';
import {rankOwners} from '../fleet/owners.js';
import {
  createPeerRequestClient,
  FIRST_ASK_ID_RANGE,
} from '../fleet/peer_request_client.js';
import {createPeerRequestServer} from '../fleet/peer_request_server.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {RoutingState} from '../routing_state.js';
import {
  readUnusedRetries,
  type RetryMessage,
  type RetryReply,
  type RetryRequest,
  type UnusedRetries,
} from './retry_messages.js';
import {isShared, reportIntervalMs, type RetryLimits} from './retry_rules.js';
import {createRetryOwner, type ReportingHost} from './retry_owner.js';
import {createSharedRetries, type RetryAllowance} from './shared_retries.js';

/** What this part reads of the exchange with peers. */
export interface RetryPeers {
  isMesh(): boolean;
  members(): readonly Pick<Member, 'hostId' | 'state'>[];
  coordinatorIds(): readonly string[];
  sendMessage(hostId: string, message: RetryMessage): void;
}

export interface RelayRetriesHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly createLogger: (part: string) => Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  readonly self: ReportingHost;
  readonly peers: RetryPeers;
  /** May change while the process runs. */
  limits(): RetryLimits;
  /** Number of hosts, including this one and those out of reach. */
  hostCount(): number;
  readonly routing: Pick<RoutingState, 'service'>;
}

export interface RelayRetries {
  readonly allowance: RetryAllowance;
  /** For an announcement; undefined if it need not be in this one. */
  report(): readonly UnusedRetries[] | undefined;
  applyPeerState(
    peer: ReportingHost & {readonly unusedRetries?: unknown},
  ): void;
  receive(fromHostId: string, message: RetryMessage): void;
}

/** An owner that does not answer twice, 25 ms apart, denies the retry. */
const MAX_ATTEMPTS = 2;
/** At least one state is sent within this time; they follow each 600 ms. */
const REPORTED_FOR_MS = 700;

export function createRelayRetries(host: RelayRetriesHost): RelayRetries {
  const {clock, peers, self, limits} = host;
  const log = host.createLogger('retries');

  /** The hosts that receive the states of all others. */
  function candidates(): readonly string[] {
    if (!peers.isMesh()) return peers.coordinatorIds();
    const staying = peers.members().filter(({state}) => state !== 'leaving');
    return staying.map(({hostId}) => hostId);
  }

  /** The same on all hosts that know the same hosts. */
  const ownerOf = (service: string) =>
    rankOwners('retries', service, candidates()).at(0);
  const knownCount = host.hostCount;

  /** Delivers a message without a datagram if this host is the receiver. */
  function deliver(toHostId: string, message: RetryMessage): void {
    if (toHostId === self.hostId) receive(self.hostId, message);
    else peers.sendMessage(toHostId, message);
  }

  const client = createPeerRequestClient<RetryRequest, RetryReply>({
    clock,
    firstAskId: host.random.nextInt(FIRST_ASK_ID_RANGE),
    maxAttempts: MAX_ATTEMPTS,
    tell: deliver,
  });
  const shared = createSharedRetries({
    ...{clock, log, metrics: host.metrics, limits},
    ...{client, knownCount, ownerOf},
  });
  const owner = createRetryOwner({
    hostId: self.hostId,
    clock,
    log,
    limits,
    knownCount,
    hasService: service => host.routing.service(service) !== undefined,
    isOwner: service => ownerOf(service) === self.hostId,
  });
  const server = createPeerRequestServer<RetryRequest, RetryReply>({
    decide(fromHostId, {askId, service}) {
      owner.record(self, shared.unused());
      const isGranted = owner.grant(fromHostId, service);
      return {kind: 'retry-answer', askId, isGranted};
    },
    tell: deliver,
  });

  function receive(fromHostId: string, message: RetryMessage): void {
    if (message.kind === 'retry-ask') server.receive(fromHostId, message);
    else client.receive(fromHostId, message);
  }

  return {
    allowance: shared,
    report() {
      const {retrySlack, retryWindowMs} = limits();
      const hosts = {knownCount: knownCount(), windowMs: retryWindowMs};
      if (!isShared(retrySlack, hosts)) return undefined;
      const intervalMs = reportIntervalMs(hosts);
      const isDue = clock.nowMs() % intervalMs < REPORTED_FOR_MS;
      return isDue ? shared.unused() : undefined;
    },
    applyPeerState(peer) {
      const unused = readUnusedRetries(peer.unusedRetries);
      if (!unused) return;
      owner.record(self, shared.unused());
      owner.record(peer, unused);
    },
    receive,
  };
}
